//! Requests with an idempotency key.

use admit::RequestOutcome;
use bytes::{Bytes, BytesMut};
use dedup::{BeginReply, Fingerprint, IdempotencyKey, KeyedOutcome, StoredAnswer};
use h3::error::{Code, StreamError};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, response};
use http_body_util::BodyExt;
use rand::Rng;
use tokio::sync::mpsc;
use wire::ClaimHeader;

use super::{
    EndToEndHeaders, ForwardedResponse, KeyPermit, RequestGuard,
    answer::{RequestFailure, SendStream, send_failure, send_text},
    caller_request::CallerRequest,
    is_idempotent, outcome_of_status,
};
use crate::process::HomeReply;

/// Header field of the idempotency key
/// (draft-ietf-httpapi-idempotency-key-header).
const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";

/// Events of one response that may be queued for the caller.
const EVENT_QUEUE_LEN: usize = 16;

/// Largest response body that is stored for replay.
const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// Events that the forwarding task sends to the caller's task.
enum ResponseEvent {
    Head(Box<response::Parts>),
    Data(Bytes),
    /// The response body is incomplete.
    Truncated,
    Failed(RequestFailure),
}

/// Returns the key of a request that must not be run twice. Keys without a
/// timestamp are left to the upstream.
pub(super) fn key_of(req: &Request<()>) -> Option<IdempotencyKey> {
    if is_idempotent(req.method()) || req.method() == Method::CONNECT {
        return None;
    }
    let text = req.headers().get(IDEMPOTENCY_KEY_FIELD)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}

/// Serves a request with an idempotency key.
pub(super) async fn serve(
    caller_request: CallerRequest,
    key: IdempotencyKey,
    send: &mut SendStream,
) -> Result<(), StreamError> {
    let fingerprint = Fingerprint::of(
        caller_request.method.as_str(),
        &caller_request.uri.to_string(),
    );
    let attempt = rand::rng().random();
    let HomeReply { home, begin } = caller_request
        .cx
        .idempotency
        .query_home(key, fingerprint, attempt)
        .await;
    match (begin, home) {
        (BeginReply::Run, Some(home)) => {
            let key_permit = KeyPermit::new(key, home, caller_request.cx.idempotency.clone());
            let (tx, rx) = mpsc::channel(EVENT_QUEUE_LEN);
            // The request runs in its own task and continues when the caller
            // disconnects, because the caller may retry for the result.
            actix_rt::spawn(run_to_end(caller_request, key_permit, tx));
            send_events(rx, send).await
        }
        (BeginReply::Answered(kept), _) => {
            caller_request.count_result("kept");
            replay(kept, send).await
        }
        (begin, _) => {
            caller_request.count_result("key_refused");
            send_key_failure(&begin, send).await
        }
    }
}

/// Runs the request to its end, even if the caller disconnects.
async fn run_to_end(
    caller_request: CallerRequest,
    mut key_permit: KeyPermit,
    tx: mpsc::Sender<ResponseEvent>,
) {
    key_permit.set_end(KeyedOutcome::AnswerLost);
    // Sending to the caller's task fails once the caller has disconnected.
    match caller_request.run().await {
        Ok((forwarded, request_guard)) => {
            forward_and_store(
                &caller_request,
                forwarded,
                request_guard,
                &mut key_permit,
                &tx,
            )
            .await;
        }
        Err(request_failure) => {
            if matches!(request_failure, RequestFailure::NotRun(_)) {
                key_permit.set_end(KeyedOutcome::NotRun);
            }
            caller_request.count_result(request_failure.label());
            drop(key_permit);
            let _ = tx.send(ResponseEvent::Failed(request_failure)).await;
        }
    }
}

/// Forwards a response to the caller's task and collects it for storage.
async fn forward_and_store(
    caller_request: &CallerRequest,
    forwarded: ForwardedResponse,
    mut request_guard: Option<RequestGuard>,
    key_permit: &mut KeyPermit,
    tx: &mpsc::Sender<ResponseEvent>,
) {
    let (parts, mut body, _connection) = forwarded.into_parts();
    let status = parts.status;
    let head = EndToEndHeaders::from_headers(&parts.headers).headers;
    let _ = tx.send(ResponseEvent::Head(Box::new(parts))).await;
    let mut collected = Some(BytesMut::new());
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            if let Some(request_guard) = &mut request_guard {
                request_guard.set_outcome(RequestOutcome::Failed);
            }
            caller_request.count_result("broken");
            let _ = tx.send(ResponseEvent::Truncated).await;
            return;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        collected = collected.and_then(|body| append_chunk(body, &data));
        let caller_gone = tx.send(ResponseEvent::Data(data)).await.is_err();
        if caller_gone && collected.is_none() {
            // The caller has disconnected and the body is too large to store.
            key_permit.set_end(KeyedOutcome::AnswerTooLarge);
            return;
        }
    }
    if let Some(request_guard) = &mut request_guard {
        request_guard.set_outcome(outcome_of_status(status));
    }
    key_permit.set_end(match collected {
        Some(body) => KeyedOutcome::Answered(StoredAnswer::new(
            status.as_u16(),
            fields(&head),
            body.freeze(),
        )),
        None => KeyedOutcome::AnswerTooLarge,
    });
    caller_request.count_result("answered");
}

/// Appends a chunk to the collected body; `None` if the result is too large to
/// store.
fn append_chunk(mut body: BytesMut, data: &Bytes) -> Option<BytesMut> {
    body.extend_from_slice(data);
    (body.len() <= MAX_STORED_BODY_BYTES).then_some(body)
}

fn fields(head: &HeaderMap) -> Vec<(Bytes, Bytes)> {
    let copy = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
    head.iter()
        .map(|(name, value)| (copy(name.as_str().as_bytes()), copy(value.as_bytes())))
        .collect()
}

/// Sends the events to the caller. Resets the stream if the response is
/// incomplete.
async fn send_events(
    mut rx: mpsc::Receiver<ResponseEvent>,
    send: &mut SendStream,
) -> Result<(), StreamError> {
    while let Some(part) = rx.recv().await {
        match part {
            ResponseEvent::Head(parts) => {
                let mut response = Response::new(());
                *response.status_mut() = parts.status;
                *response.headers_mut() = EndToEndHeaders::from_headers(&parts.headers).headers;
                send.send_response(response).await?;
            }
            ResponseEvent::Data(data) => send.send_data(data).await?,
            ResponseEvent::Truncated => {
                send.stop_stream(Code::H3_INTERNAL_ERROR);
                return Ok(());
            }
            ResponseEvent::Failed(request_failure) => {
                return send_failure(send, &request_failure).await;
            }
        }
    }
    send.finish().await
}

/// Sends a stored response.
async fn replay(kept: StoredAnswer, send: &mut SendStream) -> Result<(), StreamError> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or_default();
    for (name, value) in &kept.fields {
        // The fields were valid when they were stored.
        if let (Ok(name), Ok(value)) =
            (HeaderName::from_bytes(name), HeaderValue::from_bytes(value))
        {
            response.headers_mut().append(name, value);
        }
    }
    send.send_response(response).await?;
    if !kept.body.is_empty() {
        send.send_data(kept.body).await?;
    }
    send.finish().await
}

/// Responds to a request whose key does not allow it to run now.
async fn send_key_failure(begin: &BeginReply, send: &mut SendStream) -> Result<(), StreamError> {
    let (status, outcome, text) = match begin {
        BeginReply::AnswerNotKept => (
            StatusCode::CONFLICT,
            ClaimHeader::RAN,
            "a request with this key has run; its answer is not kept",
        ),
        BeginReply::InProgress => (
            StatusCode::CONFLICT,
            ClaimHeader::UNKNOWN,
            "a request with this key is in progress",
        ),
        BeginReply::AnswerLost => (
            StatusCode::BAD_GATEWAY,
            ClaimHeader::UNKNOWN,
            "a request with this key may have run; its answer was lost",
        ),
        BeginReply::Mismatch => (
            StatusCode::UNPROCESSABLE_ENTITY,
            ClaimHeader::NOT_RUN,
            "the key was used for another request",
        ),
        BeginReply::InFuture => (
            StatusCode::BAD_REQUEST,
            ClaimHeader::UNKNOWN,
            "the key's date is ahead of the clock",
        ),
        _ => (
            StatusCode::SERVICE_UNAVAILABLE,
            ClaimHeader::UNKNOWN,
            "whether a request with this key has run is not known",
        ),
    };
    send_text(send, status, outcome, None, text).await
}
