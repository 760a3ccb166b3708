//! One attempt of a request against scripted servers: what is said of it must
//! be true, whatever the server does.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use admit::{Failure, Progress};
use agent::{
    request::{
        AttemptError, EndToEndHeaders, ForwardTarget, ForwardedRequest, PeerOutcome, deadline_of,
    },
    version::Peer,
};
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request};
use http_body_util::{BodyExt, Full};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};
use types::{ReservationId, ServiceId, UpstreamId};

const MEANT: UpstreamId = UpstreamId(0xa1);
const OTHER: UpstreamId = UpstreamId(0xb2);

/// Takes one connection, reads the head of a request, answers with `text` and
/// closes; returns what it read.
async fn serve_once(listener: TcpListener, text: String) -> String {
    let (mut stream, _) = listener.accept().await.expect("connection");
    let mut read = Vec::new();
    let mut buf = [0; 4096];
    while !read.windows(4).any(|w| w == b"\r\n\r\n") {
        match stream.read(&mut buf).await {
            Ok(len) if len > 0 => read.extend_from_slice(&buf[..len]),
            _ => break,
        }
    }
    stream.write_all(text.as_bytes()).await.expect("write");
    String::from_utf8_lossy(&read).into_owned()
}

fn call(target: ForwardTarget) -> ForwardedRequest<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from_static(b"seat")));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = "/claim/1".parse().expect("path");
    ForwardedRequest {
        target,
        request,
        headers: EndToEndHeaders::default(),
        deadline: Some(Instant::now() + Duration::from_secs(5)),
    }
}

fn peer(address: SocketAddr) -> ForwardTarget {
    ForwardTarget::Peer {
        peer: Peer {
            data_centre: "dc1".parse().expect("name"),
            address,
        },
        upstream: MEANT,
        service: ServiceId(7),
        reservation: ReservationId(3),
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("socket");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

fn answer(status: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}content-length: 2\r\n\r\nok")
}

fn failed(progress: Progress, failure: Failure) -> AttemptError {
    AttemptError { progress, failure }
}

/// P4, P5. Guards against an answer of a server that is not the peer that is
/// taken for the upstream's, and against "not started" on any word but an
/// agent's: another owner of the address, or a server that answers before its
/// handlers run.
#[actix_rt::test]
async fn only_the_peer_that_was_meant_is_believed() {
    let lost = Err(failed(Progress::Started, Failure::Broken));
    let refused = Err(failed(Progress::NotStarted, Failure::PeerRefused));
    let from = |id: UpstreamId| format!("limpet-upstream: {id}\r\n");
    let outcome = |id, value| format!("{}limpet-outcome: {value}\r\n", from(id));
    let cases = [
        (answer("200 OK", &from(MEANT)), Ok(200)),
        (answer("503 Busy", &from(MEANT)), Ok(503)),
        (answer("200 OK", ""), lost),
        (answer("400 Bad Request", ""), lost),
        (answer("408 Request Timeout", ""), lost),
        (answer("404 Not Found", "limpet-upstream: x\r\n"), lost),
        (answer("200 OK", &from(OTHER)), lost),
        (answer("503 Busy", "limpet-outcome: not-run\r\n"), lost),
        (answer("503 Busy", &outcome(MEANT, "not-run")), refused),
        (answer("503 Busy", &outcome(OTHER, "not-run")), refused),
        (answer("502 Bad", &outcome(MEANT, "unknown")), lost),
        ("garbage\r\n\r\n".into(), lost),
        ("HTTP/1.1 200 O".into(), lost),
        (String::new(), lost),
    ];
    for (text, expected) in cases {
        let (listener, address) = listen().await;
        let (read, sent) = tokio::join!(
            serve_once(listener, text.clone()),
            call(peer(address)).send()
        );
        assert!(read.contains("limpet-reservation: "), "{read}");
        let got = sent.map(|answer| answer.response.status().as_u16());
        assert_eq!(got, expected, "{text}");
    }
}

/// P4. Guards against "started" for a connection that was refused, and against
/// "not started" once a byte may have gone out.
#[actix_rt::test]
async fn a_failed_attempt_says_how_far_it_came() {
    let (listener, address) = listen().await;
    drop(listener);
    for target in [ForwardTarget::Upstream(address), peer(address)] {
        let e = call(target).send().await.err();
        assert_eq!(e, Some(failed(Progress::NotStarted, Failure::Connect)));
    }

    let (listener, address) = listen().await;
    let (_, sent) = tokio::join!(
        serve_once(listener, String::new()),
        call(ForwardTarget::Upstream(address)).send()
    );
    let broken = failed(Progress::Started, Failure::Broken);
    assert_eq!(sent.err(), Some(broken));

    let (_listener, address) = listen().await;
    let mut late = call(ForwardTarget::Upstream(address));
    late.deadline = Some(Instant::now() + Duration::from_millis(50));
    let e = late.send().await.err();
    assert_eq!(e, Some(failed(Progress::Started, Failure::Deadline)));
}

/// P3. Guards against a body that ends like a whole one when the connection
/// closes too early.
#[actix_rt::test]
async fn a_short_body_is_an_error() {
    for head in ["content-length: 9", "transfer-encoding: chunked"] {
        let (listener, address) = listen().await;
        let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n2\r\nok\r\n");
        let (_, sent) = tokio::join!(
            serve_once(listener, text),
            call(ForwardTarget::Upstream(address)).send()
        );
        let (_, body, _connection) = sent.expect("head").into_parts();
        assert!(body.collect().await.is_err(), "{head}");
    }
}

/// Guards against a word of an agent that is read differently than meant.
#[test]
fn an_answer_of_a_peer_names_it() {
    let mut headers = HeaderMap::new();
    assert_eq!(
        PeerOutcome::from_headers(&headers, MEANT),
        PeerOutcome::Unknown
    );
    let id = HeaderValue::from_str(&MEANT.to_string()).expect("id");
    headers.insert("limpet-upstream", id);
    assert_eq!(
        PeerOutcome::from_headers(&headers, MEANT),
        PeerOutcome::Response
    );
    assert_eq!(
        PeerOutcome::from_headers(&headers, OTHER),
        PeerOutcome::Unknown
    );
    headers.insert("limpet-outcome", HeaderValue::from_static("later"));
    assert_eq!(
        PeerOutcome::from_headers(&headers, MEANT),
        PeerOutcome::Unknown
    );
}

/// Guards against fields that cross a hop: those of the connection, those that
/// it names and those of this system.
#[test]
fn a_head_keeps_only_what_crosses_a_hop() {
    let fields: [(&str, &[u8]); 12] = [
        ("accept", b"a"),
        ("accept", b"b"),
        ("Connection", b"close, X-Hop"),
        ("connection", b"x-other"),
        ("x-hop", b"1"),
        ("x-other", b"1"),
        ("keep-alive", b"1"),
        ("te", b"trailers"),
        ("transfer-encoding", b"chunked"),
        ("limpet-outcome", b"not-run"),
        ("Limpet-Timeout-Ms", b"1"),
        ("bad name", b"1"),
    ];
    let head = EndToEndHeaders::from_fields(fields).headers;
    let names: Vec<&HeaderName> = head.keys().collect();
    assert_eq!(names, ["accept"]);
    assert_eq!(head.get_all("accept").iter().count(), 2);
}

/// Guards against a cookie that reaches an upstream in parts, of which most
/// servers read only the first.
#[test]
fn cookies_are_joined() {
    let mut head =
        EndToEndHeaders::from_fields([("cookie", &b"a=1"[..]), ("x", b"1"), ("cookie", b"b=2")]);
    head.join_cookies();
    let cookies: Vec<_> = head.headers.get_all("cookie").iter().collect();
    assert_eq!(cookies, ["a=1; b=2"]);
}

/// Guards against a deadline from a malformed value.
#[test]
fn a_deadline_is_read_strictly() {
    let now = Instant::now();
    let read = |text: &str| deadline_of(now, Some(text.as_bytes()));
    assert_eq!(deadline_of(now, None), None);
    assert_eq!(read("250"), Some(now + Duration::from_millis(250)));
    assert_eq!(read("0"), Some(now));
    for malformed in ["", "+5", "-5", "5.0", " 5", "5s", "99999999999999999999"] {
        assert_eq!(read(malformed), None, "{malformed:?}");
    }
    assert!(read(&u64::MAX.to_string()).is_none_or(|at| at > now));
}
