//! Attempts to forward a request to scripted servers: the reported outcome must
//! be correct whatever the server does.

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

const INTENDED: UpstreamId = UpstreamId(0xa1);
const OTHER: UpstreamId = UpstreamId(0xb2);

/// Accepts one connection, reads the headers of a request, sends `text` and
/// closes. Returns what it read.
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

fn forwarded_request(target: ForwardTarget) -> ForwardedRequest<Full<Bytes>> {
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
        upstream: INTENDED,
        service: ServiceId(7),
        reservation: ReservationId(3),
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("socket");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

fn response_text(status: &str, fields: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{fields}content-length: 2\r\n\r\nok")
}

fn attempt_error(progress: Progress, failure: Failure) -> AttemptError {
    AttemptError { progress, failure }
}

/// P4, P5. Guards against accepting a response from a server other than the
/// intended peer, and against reporting "not started" unless an agent said so:
/// the address may have a new owner, or a server may respond before its handlers
/// run.
#[actix_rt::test]
async fn only_the_intended_peer_is_trusted() {
    let lost = Err(attempt_error(Progress::Started, Failure::Broken));
    let refused = Err(attempt_error(Progress::NotStarted, Failure::PeerRefused));
    let from = |id: UpstreamId| format!("limpet-upstream: {id}\r\n");
    let outcome = |id, value| format!("{}limpet-outcome: {value}\r\n", from(id));
    let cases = [
        (response_text("200 OK", &from(INTENDED)), Ok(200)),
        (response_text("503 Busy", &from(INTENDED)), Ok(503)),
        (response_text("200 OK", ""), lost),
        (response_text("400 Bad Request", ""), lost),
        (response_text("408 Request Timeout", ""), lost),
        (
            response_text("404 Not Found", "limpet-upstream: x\r\n"),
            lost,
        ),
        (response_text("200 OK", &from(OTHER)), lost),
        (
            response_text("503 Busy", "limpet-outcome: not-run\r\n"),
            lost,
        ),
        (
            response_text("503 Busy", &outcome(INTENDED, "not-run")),
            refused,
        ),
        (
            response_text("503 Busy", &outcome(OTHER, "not-run")),
            refused,
        ),
        (
            response_text("502 Bad", &outcome(INTENDED, "unknown")),
            lost,
        ),
        ("garbage\r\n\r\n".into(), lost),
        ("HTTP/1.1 200 O".into(), lost),
        (String::new(), lost),
    ];
    for (text, expected) in cases {
        let (listener, address) = listen().await;
        let (read, result) = tokio::join!(
            serve_once(listener, text.clone()),
            forwarded_request(peer(address)).send()
        );
        assert!(read.contains("limpet-reservation: "), "{read}");
        let status = result.map(|forwarded| forwarded.response.status().as_u16());
        assert_eq!(status, expected, "{text}");
    }
}

/// P4. Guards against reporting "started" for a refused connection, and "not
/// started" once a byte may have been sent.
#[actix_rt::test]
async fn a_failed_attempt_reports_its_progress() {
    let (listener, address) = listen().await;
    drop(listener);
    for target in [ForwardTarget::Upstream(address), peer(address)] {
        let e = forwarded_request(target).send().await.err();
        assert_eq!(
            e,
            Some(attempt_error(Progress::NotStarted, Failure::Connect))
        );
    }

    let (listener, address) = listen().await;
    let (_, result) = tokio::join!(
        serve_once(listener, String::new()),
        forwarded_request(ForwardTarget::Upstream(address)).send()
    );
    let broken = attempt_error(Progress::Started, Failure::Broken);
    assert_eq!(result.err(), Some(broken));

    let (_listener, address) = listen().await;
    let mut expired = forwarded_request(ForwardTarget::Upstream(address));
    expired.deadline = Some(Instant::now() + Duration::from_millis(50));
    let e = expired.send().await.err();
    assert_eq!(e, Some(attempt_error(Progress::Started, Failure::Deadline)));
}

/// P3. Guards against a truncated body that looks complete when the connection
/// closes early.
#[actix_rt::test]
async fn a_truncated_body_is_an_error() {
    for head in ["content-length: 9", "transfer-encoding: chunked"] {
        let (listener, address) = listen().await;
        let text = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n2\r\nok\r\n");
        let (_, result) = tokio::join!(
            serve_once(listener, text),
            forwarded_request(ForwardTarget::Upstream(address)).send()
        );
        let (_, body, _connection) = result.expect("head").into_parts();
        assert!(body.collect().await.is_err(), "{head}");
    }
}

/// Guards against accepting a response without the id of the intended upstream,
/// or one with an unknown outcome.
#[test]
fn a_peer_response_carries_its_upstream_id() {
    let mut headers = HeaderMap::new();
    assert_eq!(
        PeerOutcome::from_headers(&headers, INTENDED),
        PeerOutcome::Unknown
    );
    let id = HeaderValue::from_str(&INTENDED.to_string()).expect("id");
    headers.insert("limpet-upstream", id);
    assert_eq!(
        PeerOutcome::from_headers(&headers, INTENDED),
        PeerOutcome::Response
    );
    assert_eq!(
        PeerOutcome::from_headers(&headers, OTHER),
        PeerOutcome::Unknown
    );
    headers.insert("limpet-outcome", HeaderValue::from_static("later"));
    assert_eq!(
        PeerOutcome::from_headers(&headers, INTENDED),
        PeerOutcome::Unknown
    );
}

/// Guards against forwarding hop-by-hop fields, fields that `Connection` names
/// and fields that agents exchange.
#[test]
fn only_end_to_end_fields_are_copied() {
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
    let headers = EndToEndHeaders::from_fields(fields).headers;
    let names: Vec<&HeaderName> = headers.keys().collect();
    assert_eq!(names, ["accept"]);
    assert_eq!(headers.get_all("accept").iter().count(), 2);
}

/// Guards against several cookie fields in an HTTP/1.1 request, of which most
/// servers read only the first.
#[test]
fn cookies_are_joined() {
    let mut head =
        EndToEndHeaders::from_fields([("cookie", &b"a=1"[..]), ("x", b"1"), ("cookie", b"b=2")]);
    head.join_cookies();
    let cookies: Vec<_> = head.headers.get_all("cookie").iter().collect();
    assert_eq!(cookies, ["a=1; b=2"]);
}

/// Guards against a deadline that is computed from a malformed value.
#[test]
fn a_malformed_timeout_sets_no_deadline() {
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
