//! Mutual TLS between the processes of a site, and with operators.

mod harness;

use std::{
    io,
    net::SocketAddr,
    process::Command,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::time::timeout;
use auth::CertificateIdentity;
use client::Category;
use harness::{
    SERVICE, Site, SitePlan, WAIT_TIMEOUT,
    certificates::{CertificateAuthority, read_credentials, tls_flags},
    control_address, get_text, peer_address, request, wait_for,
};
use rustls::{
    ClientConfig, HandshakeKind, RootCertStore,
    client::Resumption,
    pki_types::{CertificateDer, ServerName, pem::PemObject},
    version::TLS13,
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::TcpStream,
};
use tokio_rustls::{TlsAcceptor, TlsConnector};
use types::{Change, ChangeId, ChangeRequest, MemberId, Revision, Role, Version};
use wire::{
    ServiceSubset, SyncRequest,
    request::{GroupChangeRequest, GroupRequest, Hello, Query, QueryReply},
};

fn plan(range: u8) -> SitePlan {
    SitePlan {
        range,
        control: 1,
        tls: true,
        ..SitePlan::default()
    }
}

/// Guards against functions that fail with mutual TLS: the control group, sync, a
/// change by an operator, and hand-off between agents.
#[actix_rt::test]
async fn site_serves_hands_off_and_accepts_changes() {
    let site = Site::start_serving(SitePlan {
        control: 3,
        carry: 1,
        ..plan(84)
    })
    .await;
    let mut caller = site.connect().await;
    let own = get_text(&mut caller, "/").await;
    let mut feed = caller.send(request("GET", "/feed", "")).await.unwrap();
    assert!(feed.next_chunk().await.unwrap().is_some());
    // The agent of this connection has no slot left.
    let handed_off = get_text(&mut caller, "/").await;
    assert!(own.starts_with("served by upstream-"), "{own}");
    assert!(
        handed_off.starts_with("served by upstream-"),
        "{handed_off}"
    );
    assert_ne!(own, handed_off);

    let base = service_revision(&site).await;
    site.set_target(base, 2).await;
    let records = audit(&site).await;
    assert_eq!(records[0].author.to_string(), "operator");
    for n in 0..3 {
        for reason in ["no_certificate", "role", "path", "author"] {
            assert_eq!(forbidden_requests(&site, n, reason).await, 0, "{reason}");
        }
    }
}

/// Guards against clients that read or change anything at the control port or the
/// peer port without a certificate, with a certificate of another CA, with an
/// expired one, or with one for another role.
#[actix_rt::test]
async fn unauthorized_clients_read_and_change_nothing() {
    let site = Site::start_serving(plan(82)).await;
    let before = observable_state(&site).await;
    let ca = site.authority.as_ref().unwrap();
    let other = CertificateAuthority::new(site.dir.path(), "other");
    let mut foreign = other.issue("operator.operator.limpetplank.internal", None);
    // The client accepts the site's CA, while the site does not accept the
    // client's.
    foreign.ca = ca.ca();
    let expired = ca.issue_expired("operator.operator.limpetplank.internal");
    let unauthenticated_clients = [
        ("no certificate", client_without_certificate(ca)),
        ("another CA", read_credentials(&foreign).client_config()),
        ("expired", read_credentials(&expired).client_config()),
    ];
    let authenticated_clients = [
        ("no role", "app1.example", &[][..]),
        (
            "control",
            CertificateIdentity::CONTROL_DNS_NAME,
            &["/v1/consensus", "/v1/hello"],
        ),
        ("node", CertificateIdentity::NODE_DNS_NAME, &["/v1/sync"]),
        (
            "operator",
            "alice.operator.limpetplank.internal",
            &["/v1/hello", "/v1/change", "/v1/query", "/v1/group"],
        ),
    ]
    .map(|(role, name, allowed_paths)| {
        (
            role,
            read_credentials(&ca.issue(name, None)).client_config(),
            allowed_paths,
        )
    });

    let (control, peer) = (control_address(site.plan, 0), peer_address(site.plan, 0));
    let mut refused = [0, 0];
    for (port, (address, paths)) in [(control, CONTROL_PATHS), (peer, PEER_PATHS)]
        .into_iter()
        .enumerate()
    {
        for path in paths {
            let body = request_body(path);
            let answer = exchange_plaintext(address, path, &body).await;
            let http = answer.is_some_and(|text| text.contains("HTTP/1.1"));
            assert!(!http, "{path}");
            for (who, config) in &unauthenticated_clients {
                let answer = exchange(config, address, path, &body).await;
                assert!(answer.is_err(), "{who} {path}: {answer:?}");
            }
            for (who, config, allowed_paths) in &authenticated_clients {
                let allowed =
                    port == 0 && allowed_paths.contains(path) || port == 1 && *who == "node";
                if allowed {
                    continue;
                }
                let answer = exchange(config, address, path, &body).await.unwrap();
                let (head, rest) = answer.split_once("\r\n\r\n").unwrap();
                assert!(head.starts_with("HTTP/1.1 403"), "{who} {path}: {answer}");
                assert!(rest.is_empty(), "{who} {path}: {answer}");
                refused[port] += 1;
            }
        }
    }
    assert_eq!(observable_state(&site).await, before);
    assert_eq!(forbidden_requests(&site, 0, "role").await, refused[0]);
    let name = "limpet_agent_forbidden_requests_total{reason=\"role\"}";
    assert_eq!(counter_value(site.agent_metric(0, name).await), refused[1]);
}

/// Guards against a change whose author is not the operator in the certificate,
/// and against a refusal that comes only after the change was written to the log.
#[actix_rt::test]
async fn operator_cannot_make_changes_as_another_author() {
    let site = Site::start_serving(plan(83)).await;
    let before = observable_state(&site).await;
    let ca = site.authority.as_ref().unwrap();
    let alice =
        read_credentials(&ca.issue("alice.operator.limpetplank.internal", None)).client_config();
    let control = control_address(site.plan, 0);
    let send = async |author: &str| {
        let body = wire::encode(&unauthorized_request(author)).unwrap();
        let answer = exchange(&alice, control, "/v1/change", &body).await;
        answer.unwrap()[..12].to_owned()
    };
    for (n, author) in ["operator", "bob", "limpetd"].into_iter().enumerate() {
        assert_eq!(send(author).await, "HTTP/1.1 403", "{author}");
        assert_eq!(forbidden_requests(&site, 0, "author").await, n + 1);
    }
    assert_eq!(observable_state(&site).await, before);
    assert_eq!(send("alice").await, "HTTP/1.1 200");
    assert_eq!(audit(&site).await[0].author.to_string(), "alice");
}

/// Guards against a client that accepts a server whose certificate is of another
/// CA or for another address.
#[actix_rt::test]
async fn client_rejects_a_server_without_a_certificate_for_its_address() {
    let dir = tempfile::tempdir().unwrap();
    let ca = CertificateAuthority::new(dir.path(), "site");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let own =
        read_credentials(&ca.issue(CertificateIdentity::CONTROL_DNS_NAME, Some(address.ip())));
    let other = CertificateAuthority::new(dir.path(), "other");
    let foreign = other.issue(CertificateIdentity::CONTROL_DNS_NAME, Some(address.ip()));
    let elsewhere = ca.issue(
        CertificateIdentity::CONTROL_DNS_NAME,
        Some(harness::address(84, 1, 1).ip()),
    );
    let cases = [
        ("own", own.clone(), true),
        ("another CA", read_credentials(&foreign), false),
        ("another address", read_credentials(&elsewhere), false),
    ];
    let http = client::HttpClient::new(Some(&own));
    for (which, server, accepted) in cases {
        let serve = async {
            let (stream, _) = listener.accept().await.unwrap();
            let acceptor = TlsAcceptor::from(Arc::new(server.server_config()));
            let mut stream = acceptor.accept(stream).await?;
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).await?;
            stream.shutdown().await?;
            io::Result::Ok(len)
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let post = http.post::<_, ()>(address, "/v1/query", &Query::Status, deadline);
        let (served, posted) = tokio::join!(serve, post);
        let received = served.is_ok_and(|len| len > 0);
        assert_eq!(
            received, accepted,
            "{which}: whether the server received the request"
        );
        let category = posted.unwrap_err().category();
        let expected = if accepted {
            Category::MaybeSent
        } else {
            Category::NotSent
        };
        assert_eq!(category, expected, "{which}");
    }

    // TLS for requests between agents.
    for (which, server, accepted) in [
        ("own", &own, true),
        ("foreign", &read_credentials(&foreign), false),
    ] {
        let serve = async {
            let (stream, _) = listener.accept().await.unwrap();
            let acceptor = TlsAcceptor::from(Arc::new(server.server_config()));
            acceptor.accept(stream).await.map(drop)
        };
        let stream = TcpStream::connect(address).await.unwrap();
        let (_, secured) = tokio::join!(serve, own.connect_tls(address, stream));
        assert_eq!(secured.is_ok(), accepted, "{which}");
    }
}

/// Guards against a resumed session, which would skip the check of the
/// certificate although it may have expired.
#[actix_rt::test]
async fn sessions_are_not_resumed() {
    let dir = tempfile::tempdir().unwrap();
    let ca = CertificateAuthority::new(dir.path(), "site");
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let own =
        read_credentials(&ca.issue(CertificateIdentity::CONTROL_DNS_NAME, Some(address.ip())));
    let mut config = (*own.client_config()).clone();
    config.resumption = Resumption::default();
    let connector = TlsConnector::from(Arc::new(config));
    for _ in 0..3 {
        let serve = async {
            let (stream, _) = listener.accept().await?;
            let acceptor = TlsAcceptor::from(Arc::new(own.server_config()));
            let mut stream = acceptor.accept(stream).await?;
            stream.write_all(b"x").await?;
            stream.shutdown().await
        };
        let ask = async {
            let stream = TcpStream::connect(address).await?;
            let name = ServerName::from(address.ip());
            let mut stream = connector.connect(name, stream).await?;
            // Session tickets arrive with the first data.
            stream.read_to_end(&mut Vec::new()).await?;
            io::Result::Ok(stream.get_ref().1.handshake_kind())
        };
        let (served, kind) = tokio::join!(serve, ask);
        served.unwrap();
        assert_eq!(kind.unwrap(), Some(HandshakeKind::Full));
    }
}

/// Guards against a wrong TLS file that is detected only after a socket was
/// opened, and against an error message without the flag and the file.
#[actix_rt::test]
async fn wrong_tls_files_are_reported_before_any_socket_opens() {
    let dir = tempfile::tempdir().unwrap();
    let ca = CertificateAuthority::new(dir.path(), "site");
    let good = ca.issue(CertificateIdentity::CONTROL_DNS_NAME, None);
    let node = ca.issue(CertificateIdentity::NODE_DNS_NAME, None);
    let missing = dir.path().join("missing.pem");
    let empty = dir.path().join("empty.pem");
    std::fs::write(&empty, "").unwrap();
    // The address is in use, so that binding it would fail with another message.
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let taken = taken.local_addr().unwrap();
    let with = |change: &dyn Fn(&mut auth::CredentialFiles)| {
        let mut files = good.clone();
        change(&mut files);
        files
    };
    let cases = [
        (with(&|f| f.ca = missing.clone()), "--tls-ca", &missing),
        (with(&|f| f.ca = empty.clone()), "--tls-ca", &empty),
        (
            with(&|f| f.certificate = empty.clone()),
            "--tls-certificate",
            &empty,
        ),
        (with(&|f| f.key = missing.clone()), "--tls-key", &missing),
        (
            with(&|f| f.key = node.key.clone()),
            "--tls-certificate",
            &good.certificate,
        ),
        (node.clone(), "--tls-certificate", &node.certificate),
    ];
    let run = |flags: &[String]| {
        let output = Command::new(env!("CARGO_BIN_EXE_limpetd"))
            .arg("control")
            .arg(format!("--listen={taken}"))
            .arg(format!("--metrics-listen={taken}"))
            .arg(format!("--data-dir={}", dir.path().join("data").display()))
            .args(flags)
            .output()
            .unwrap();
        let text = String::from_utf8(output.stderr).unwrap();
        (output.status.code(), text)
    };
    for (files, flag, file) in cases {
        let (code, text) = run(&tls_flags(&files));
        assert_eq!(code, Some(2), "{text}");
        let expected = format!("{flag} {}", file.display());
        assert!(text.contains(&expected), "{expected}: {text}");
    }
    // One of the three flags without the others is refused.
    for n in 0..3 {
        let (code, text) = run(&tls_flags(&good)[n..=n]);
        assert_eq!(code, Some(2), "{text}");
    }
}

const CONTROL_PATHS: &[&str] = &[
    "/v1/consensus",
    "/v1/hello",
    "/v1/sync",
    "/v1/change",
    "/v1/query",
    "/v1/group",
];

const PEER_PATHS: &[&str] = &[
    "/v1/reserve",
    "/v1/release",
    "/v1/offer",
    "/v1/begin",
    "/v1/end",
    "/claim/1",
];

/// A valid request body for `path`, which would change or return something if
/// the request were accepted.
fn request_body(path: &str) -> Vec<u8> {
    let encoded = match path {
        "/v1/consensus" => wire::encode(&Vec::<u8>::new()),
        "/v1/hello" => wire::encode(&Hello),
        "/v1/sync" => wire::encode(&SyncRequest {
            host: "stranger".parse().unwrap(),
            role: Role::Balancer,
            data_centre: "dc0".parse().unwrap(),
            applied_version: None::<Version>,
            subset: ServiceSubset::All,
            max_wait: Duration::ZERO,
            upstream: None,
            balancer: None,
        }),
        "/v1/change" => wire::encode(&unauthorized_request("operator")),
        "/v1/query" => wire::encode(&Query::Status),
        "/v1/group" => {
            let address = harness::address(82, 99, 7000);
            wire::encode(&GroupChangeRequest {
                author: "operator".parse().unwrap(),
                change: GroupRequest::AddLearner(MemberId(7), address),
            })
        }
        _ => Ok(Vec::new()),
    };
    encoded.unwrap()
}

fn unauthorized_change() -> Change {
    Change::CreateService {
        name: "stolen".parse().unwrap(),
        address: harness::address(82, 101, 4433),
    }
}

fn unauthorized_request(author: &str) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::generate(),
        author: author.parse().unwrap(),
        base: Revision(0),
        change: unauthorized_change(),
    }
}

/// A TLS client configuration without a client certificate.
fn client_without_certificate(ca: &CertificateAuthority) -> Arc<ClientConfig> {
    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_file(ca.ca()).unwrap())
        .unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&TLS13])
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    Arc::new(config)
}

/// Sends a request over TLS and returns the complete answer.
async fn exchange(
    config: &Arc<ClientConfig>,
    address: SocketAddr,
    path: &str,
    body: &[u8],
) -> io::Result<String> {
    let stream = TcpStream::connect(address).await?;
    let name = ServerName::from(address.ip());
    let connector = TlsConnector::from(config.clone());
    let stream = connector.connect(name, stream).await?;
    send_request(stream, path, body).await
}

/// Sends a request without TLS. `None` if the connection fails.
async fn exchange_plaintext(address: SocketAddr, path: &str, body: &[u8]) -> Option<String> {
    let stream = TcpStream::connect(address).await.ok()?;
    send_request(stream, path, body).await.ok()
}

async fn send_request<S>(mut stream: S, path: &str, body: &[u8]) -> io::Result<String>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(body).await?;
    let mut answer = String::new();
    let mut buf = [0; 4096];
    // Stops at the announced length, because a server that has not read the
    // request body closes the connection only later.
    while !is_complete(&answer) {
        let read = timeout(WAIT_TIMEOUT, stream.read(&mut buf)).await;
        match read.map_err(io::Error::other)?? {
            0 => break,
            len => answer.push_str(&String::from_utf8_lossy(&buf[..len])),
        }
    }
    Ok(answer)
}

/// Whether the body is as long as the head's `content-length`.
fn is_complete(answer: &str) -> bool {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return false;
    };
    let mut lengths = head
        .lines()
        .filter_map(|l| l.strip_prefix("content-length: "));
    lengths
        .next()
        .is_some_and(|len| len.parse() == Ok(body.len()))
}

/// Number of requests that control host `n` refused with 403 for `reason`.
async fn forbidden_requests(site: &Site, n: u8, reason: &str) -> usize {
    let name = format!("limpet_control_forbidden_requests_total{{reason=\"{reason}\"}}");
    counter_value(site.control_metric(n, &name).await)
}

/// Converts the value of a counter metric to an integer.
fn counter_value(value: f64) -> usize {
    format!("{value:.0}").parse().unwrap()
}

async fn query(site: &Site, query: &Query) -> QueryReply {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let reply = site.operator.query("/v1/query", query, deadline).await;
    reply.unwrap()
}

async fn audit(site: &Site) -> Vec<config::AuditRecord> {
    match query(site, &Query::Audit { limit: 100 }).await {
        QueryReply::Audit(records) => records,
        other => panic!("unexpected reply {other:?}"),
    }
}

async fn service_revision(site: &Site) -> Revision {
    let name = SERVICE.parse().unwrap();
    match query(site, &Query::Service(name)).await {
        QueryReply::Service(Some(service)) => service.revision,
        other => panic!("unexpected reply {other:?}"),
    }
}

/// State that an unauthorized request could change: the audit trail, the group
/// and the nodes.
async fn observable_state(site: &Site) -> (String, String) {
    let mut hosts = Vec::new();
    wait_for("all nodes", async || {
        let status = site.status().await;
        hosts = vec![format!("{:?}", status.group)];
        hosts.extend(status.nodes.iter().map(|n| n.host.to_string()));
        status.nodes.len() >= usize::from(site.plan.balancers + site.plan.upstreams)
    })
    .await;
    (format!("{:?}", audit(site).await), hosts.join(" "))
}
