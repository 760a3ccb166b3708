//! A minimal HTTP server.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::request::{BufferedRequest, BufferedResponse, Handler};

/// Limits and timeouts of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections that are open at a time; others wait in the listen backlog.
    pub max_connections: usize,
    /// Size of a request body; larger ones get status 413.
    pub max_body_bytes: usize,
    /// Time to receive the header of a request, also on a connection that is kept open.
    pub header_timeout: Duration,
    /// Time to receive the body and to produce the response; status 503 after that.
    pub request_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        ServerLimits {
            max_connections: 128,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(15),
            request_timeout: Duration::from_secs(10),
        }
    }
}

/// Maximum number of bytes read of a body that is too large.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Delay before the next accept after a failed one. Most failures are a lack of file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves connections until the future is dropped. Must run in a Tokio `LocalSet`.
pub async fn serve<H: Handler>(listener: TcpListener, handler: H, limits: ServerLimits) {
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, client_address)) => {
                let handler = handler.clone();
                spawn_local(async move {
                    serve_connection(stream, client_address, handler, limits).await;
                    drop(permit);
                });
            }
            Err(e) => {
                log::warn!(event = "accept_failed", error:% = e; "cannot accept an HTTP connection");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    client_address: SocketAddr,
    handler: H,
    limits: ServerLimits,
) {
    // This fails only if the socket is already closed.
    let _ = stream.set_nodelay(true);
    let service = service_fn(|req| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(respond(req, client_address, &handler, limits).await) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(e) = served {
        log::debug!(event = "connection_failed", from:% = client_address, error:% = e; "HTTP connection failed");
    }
}

async fn respond<H: Handler>(
    req: Request<Incoming>,
    client_address: SocketAddr,
    handler: &H,
    limits: ServerLimits,
) -> Response<Full<Bytes>> {
    let buffered_response = async {
        let (head, body) = req.into_parts();
        let max_body_bytes = u64::try_from(limits.max_body_bytes).unwrap_or(u64::MAX);
        if body.size_hint().lower() > max_body_bytes {
            discard(body).await;
            return too_large(limits.max_body_bytes);
        }
        let body = match Limited::new(body, limits.max_body_bytes).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) if e.is::<LengthLimitError>() => {
                return too_large(limits.max_body_bytes);
            }
            Err(_) => return BufferedResponse::empty(StatusCode::BAD_REQUEST),
        };
        let request = BufferedRequest {
            method: head.method,
            path: head.uri.path().to_owned(),
            body,
            client_address,
        };
        handler.handle(request).await
    };
    let buffered_response = timeout(limits.request_timeout, buffered_response).await;
    let buffered_response = buffered_response
        .unwrap_or_else(|_| BufferedResponse::empty(StatusCode::SERVICE_UNAVAILABLE));
    let mut response = Response::new(Full::new(buffered_response.body));
    *response.status_mut() = buffered_response.status;
    if !buffered_response.content_type.is_empty() {
        let value = header::HeaderValue::from_static(buffered_response.content_type);
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    if let Ok(value) = header::HeaderValue::from_str(&buffered_response.location)
        && !value.is_empty()
    {
        response.headers_mut().insert(header::LOCATION, value);
    }
    response
}

/// Response to a request whose body exceeds the limit.
fn too_large(limit: usize) -> BufferedResponse {
    let reason = format!(r#"{{"error":"the request body exceeds {limit} bytes"}}"#);
    BufferedResponse {
        status: StatusCode::PAYLOAD_TOO_LARGE,
        ..BufferedResponse::ok("application/json", reason)
    }
}

/// Reads a body without keeping it, up to a limit. A connection that is closed while the
/// client still sends is reset, and the client may not see the response.
async fn discard(mut body: Incoming) {
    let mut rest = MAX_DISCARDED_BYTES;
    while let Some(Ok(frame)) = body.frame().await {
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        match rest.checked_sub(bytes) {
            Some(left) => rest = left,
            None => return,
        }
    }
}
