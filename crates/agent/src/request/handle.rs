//! Handler of one request of a caller.

use std::{
    net::IpAddr,
    time::{Duration, Instant},
};

use admit::{Refusal, RefusalReason};
use bytes::Bytes;
use h3::{
    error::{Code, StreamError},
    server::RequestResolver,
};
use http::{HeaderValue, Method, Request, Uri, header};
use tokio::time::timeout;
use types::{ClassName, ServiceId, ServiceState};
use wire::ClaimHeader;

use super::{
    CallerBody, EndToEndHeaders, RequestContext,
    answer::{RequestFailure, SendStream, send_failure},
    body::RecvStream,
    caller_request::CallerRequest,
    deadline_of, idempotency,
};
use crate::connection::{H3Connection, StreamCompletions};

/// Time to wait for the end of the stream of a request that has no body; it
/// covers the retransmission of a lost packet. After it the body is forwarded
/// as it arrives.
const EMPTY_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves one request until the caller has received the whole response.
///
/// # Errors
///
/// Fails if the caller's stream or connection has ended.
pub async fn handle(
    cx: RequestContext,
    caller: IpAddr,
    resolver: RequestResolver<H3Connection, Bytes>,
    completions: StreamCompletions,
) -> Result<(), StreamError> {
    let (req, stream) = resolver.resolve_request().await?;
    let Some(mut completion) = completions.take(stream.id()) else {
        return Ok(());
    };
    let (mut send, recv) = stream.split();
    let result = tokio::select! {
        result = serve(cx, caller, &req, recv, &mut send) => Some(result),
        // The caller stopped reading. Dropping the handler's future releases the
        // slot and cancels the request at the upstream.
        () = completion.wait() => None,
    };
    match result {
        // The connection may be closed when this returns, so wait until the
        // caller has acknowledged the whole response.
        Some(Ok(())) => completion.wait().await,
        Some(Err(e)) => return Err(e),
        None => send.stop_stream(Code::H3_REQUEST_CANCELLED),
    }
    Ok(())
}

async fn serve(
    cx: RequestContext,
    caller: IpAddr,
    req: &Request<()>,
    recv: RecvStream,
    send: &mut SendStream,
) -> Result<(), StreamError> {
    let matched = cx
        .service
        .borrow()
        .as_ref()
        .and_then(|state| match_class(state, req.uri()));
    let Some((service, class)) = matched else {
        return send_failure(
            send,
            &RequestFailure::NotRun(Some(Refusal::without_backlog(RefusalReason::UnknownClass))),
        )
        .await;
    };
    let now = Instant::now();
    let remaining = req.headers().get(ClaimHeader::TIMEOUT_MS);
    let caller_request = CallerRequest {
        caller,
        service,
        class,
        method: req.method().clone(),
        uri: origin_form(req.uri()),
        headers: upstream_headers(req),
        deadline: deadline_of(now, remaining.map(HeaderValue::as_bytes)),
        body: CallerBody::new(recv),
        started_at: now,
        cx,
    };
    if expects_no_body(req)
        && let Ok(first_chunk) =
            timeout(EMPTY_BODY_TIMEOUT, caller_request.body.wait_first_chunk()).await
    {
        first_chunk?;
    }
    if let Some(key) = idempotency::key_of(req) {
        return idempotency::serve(caller_request, key, send).await;
    }
    match caller_request.run().await {
        Ok((forwarded, request_guard)) => {
            caller_request
                .forward_response(forwarded, request_guard, send)
                .await
        }
        Err(request_failure) => {
            caller_request.count_result(request_failure.label());
            send_failure(send, &request_failure).await
        }
    }
}

fn match_class(state: &ServiceState, uri: &Uri) -> Option<(ServiceId, ClassName)> {
    let (class, _) = state.service.class_of(uri.path().as_bytes())?;
    Some((state.service.id, class.clone()))
}

/// Returns the origin form of a request target, which HTTP/1.1 sends to an
/// upstream (RFC 9112, section 3.2.1).
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Header fields of the request to the upstream. The authority is a
/// pseudo-header field in HTTP/3 and the `Host` field in HTTP/1.1.
fn upstream_headers(req: &Request<()>) -> EndToEndHeaders {
    let mut headers = EndToEndHeaders::from_headers(req.headers());
    headers.join_cookies();
    if let Some(authority) = req.uri().authority() {
        headers.set(header::HOST.as_str(), authority);
    }
    headers
}

/// Whether the request most likely has no body. Waiting for the end of its
/// stream then costs nothing and avoids an empty chunked body to the upstream.
fn expects_no_body(req: &Request<()>) -> bool {
    let length = req.headers().get(header::CONTENT_LENGTH);
    let bodiless = matches!(
        *req.method(),
        Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS | Method::TRACE
    );
    length.is_none() && bodiless
}
