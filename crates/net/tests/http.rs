//! The HTTP server and client.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::{System, spawn};
use bytes::Bytes;
use http::{Method, StatusCode};
use net::{
    BufferedRequest, BufferedResponse, Handler, RequestError, ServerLimits, send_request, serve,
};
use tokio::net::TcpListener;

#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, req: BufferedRequest) -> BufferedResponse {
        match req.path.as_str() {
            "/echo" => BufferedResponse::ok("text/plain", req.body),
            "/slow" => {
                actix_rt::time::sleep(Duration::from_secs(5)).await;
                BufferedResponse::empty(StatusCode::OK)
            }
            _ => BufferedResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let limits = ServerLimits {
        max_body_bytes: 1000,
        request_timeout: Duration::from_millis(200),
        ..ServerLimits::default()
    };
    spawn(serve(listener, Echo, limits));
    address
}

async fn post(
    address: SocketAddr,
    path: &str,
    len: usize,
) -> Result<(StatusCode, Bytes), RequestError> {
    let deadline = Instant::now() + Duration::from_secs(2);
    let body = Bytes::from(vec![7; len]);
    send_request(address, Method::POST, path, body, 1000, deadline).await
}

/// Guards against truncated bodies, and against oversized ones that are accepted.
#[test]
fn status_depends_on_body_size_and_path() {
    System::new().block_on(async {
        let address = start_server().await;
        let (status, body) = post(address, "/echo", 1000).await.unwrap();
        assert_eq!((status, body.len()), (StatusCode::OK, 1000));
        let cases = [
            ("/echo", 1001, StatusCode::PAYLOAD_TOO_LARGE),
            ("/none", 1, StatusCode::NOT_FOUND),
            ("/slow", 1, StatusCode::SERVICE_UNAVAILABLE),
        ];
        for (path, len, expected) in cases {
            assert_eq!(
                post(address, path, len).await.unwrap().0,
                expected,
                "{path} {len}"
            );
        }
    });
}

/// Guards against a request that waits forever for a host that accepts the
/// connection and sends nothing.
#[test]
fn a_request_to_an_unresponsive_host_ends_at_the_deadline() {
    System::new().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let start = Instant::now();
        let deadline = start + Duration::from_millis(100);
        let result = send_request(address, Method::GET, "/", Bytes::new(), 10, deadline).await;
        assert!(matches!(result, Err(RequestError::Deadline)));
        assert!(start.elapsed() < Duration::from_secs(2));
    });
}

/// Guards against a server that stops after bytes that are not HTTP.
#[test]
fn invalid_http_does_not_stop_the_server() {
    System::new().block_on(async {
        let address = start_server().await;
        for bytes in [
            &b"\x00\xff\x00"[..],
            b"GET",
            b"POST /echo HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        ] {
            let stream = tokio::net::TcpStream::connect(address).await.unwrap();
            stream.writable().await.unwrap();
            stream.try_write(bytes).unwrap();
        }
        assert_eq!(post(address, "/echo", 1).await.unwrap().0, StatusCode::OK);
    });
}
