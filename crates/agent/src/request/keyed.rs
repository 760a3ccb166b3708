//! Requests under an idempotency key.

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
    Answer, Head, Permit, Slot, ended,
    handle::{Exchange, Refusal, SendStream, refuse},
    is_idempotent,
};
use crate::process::Asked;

/// Header field of the key
/// (draft-ietf-httpapi-idempotency-key-header).
const KEY_FIELD: &str = "idempotency-key";

/// Parts of an answer that may wait for the caller.
const PARTS: usize = 16;

/// Largest body that is collected to be kept.
const MAX_BODY: usize = 64 << 10;

/// What the caller's side of a request is told.
enum Part {
    Head(Box<response::Parts>),
    Data(Bytes),
    /// The answer broke off.
    Broken,
    Refused(Refusal),
}

/// The key of a request that must not run twice. Keys without a date are left
/// to the upstream.
pub(super) fn key_of(req: &Request<()>) -> Option<IdempotencyKey> {
    if is_idempotent(req.method()) || req.method() == Method::CONNECT {
        return None;
    }
    let text = req.headers().get(KEY_FIELD)?.to_str().ok()?;
    text.trim_matches('"').parse().ok()
}

/// Serves a request under a key.
pub(super) async fn serve(
    exchange: Exchange,
    key: IdempotencyKey,
    send: &mut SendStream,
) -> Result<(), StreamError> {
    let fingerprint = Fingerprint::of(exchange.method.as_str(), &exchange.uri.to_string());
    let attempt = rand::rng().random();
    let Asked { home, begin } = exchange.cx.keys.ask(key, fingerprint, attempt).await;
    match (begin, home) {
        (BeginReply::Run, Some(home)) => {
            let permit = Permit::new(key, home, exchange.cx.keys.clone());
            let (tx, rx) = mpsc::channel(PARTS);
            // The request runs in a task of its own: a caller that goes away
            // will ask for the result again.
            actix_rt::spawn(run(exchange, permit, tx));
            relay(rx, send).await
        }
        (BeginReply::Answered(kept), _) => {
            exchange.count("kept");
            replay(kept, send).await
        }
        (begin, _) => {
            exchange.count("key_refused");
            refuse_key(&begin, send).await
        }
    }
}

/// Runs the request to its end, whether or not the caller stays.
async fn run(exchange: Exchange, mut permit: Permit, tx: mpsc::Sender<Part>) {
    permit.note(KeyedOutcome::AnswerLost);
    // The caller may be gone, whenever something is sent to it.
    match exchange.run().await {
        Ok((answer, slot)) => pump(&exchange, answer, slot, &mut permit, &tx).await,
        Err(refusal) => {
            if matches!(refusal, Refusal::NotRun(_)) {
                permit.note(KeyedOutcome::NotRun);
            }
            exchange.count(refusal.label());
            drop(permit);
            let _ = tx.send(Part::Refused(refusal)).await;
        }
    }
}

/// Passes an answer on to the caller's side and collects it to be kept.
async fn pump(
    exchange: &Exchange,
    answer: Answer,
    mut slot: Option<Slot>,
    permit: &mut Permit,
    tx: &mpsc::Sender<Part>,
) {
    let (parts, mut body, _connection) = answer.into_parts();
    let status = parts.status;
    let head = Head::of(&parts.headers).headers;
    let _ = tx.send(Part::Head(Box::new(parts))).await;
    let mut collected = Some(BytesMut::new());
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            if let Some(slot) = &mut slot {
                slot.set(RequestOutcome::Failed);
            }
            exchange.count("broken");
            let _ = tx.send(Part::Broken).await;
            return;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        collected = collected.and_then(|body| append(body, &data));
        let gone = tx.send(Part::Data(data)).await.is_err();
        if gone && collected.is_none() {
            // Nobody waits for the rest, and it is too large to be kept.
            permit.note(KeyedOutcome::AnswerTooLarge);
            return;
        }
    }
    if let Some(slot) = &mut slot {
        slot.set(ended(status));
    }
    permit.note(match collected {
        Some(body) => KeyedOutcome::Answered(StoredAnswer::new(
            status.as_u16(),
            fields(&head),
            body.freeze(),
        )),
        None => KeyedOutcome::AnswerTooLarge,
    });
    exchange.count("answered");
}

/// The collected body with one more part; `None` if it is too large.
fn append(mut body: BytesMut, data: &Bytes) -> Option<BytesMut> {
    body.extend_from_slice(data);
    (body.len() <= MAX_BODY).then_some(body)
}

fn fields(head: &HeaderMap) -> Vec<(Bytes, Bytes)> {
    let copy = |bytes: &[u8]| Bytes::copy_from_slice(bytes);
    head.iter()
        .map(|(name, value)| (copy(name.as_str().as_bytes()), copy(value.as_bytes())))
        .collect()
}

/// Passes the parts on to the caller, whole or ended by a reset.
async fn relay(mut rx: mpsc::Receiver<Part>, send: &mut SendStream) -> Result<(), StreamError> {
    while let Some(part) = rx.recv().await {
        match part {
            Part::Head(parts) => {
                let mut response = Response::new(());
                *response.status_mut() = parts.status;
                *response.headers_mut() = Head::of(&parts.headers).headers;
                send.send_response(response).await?;
            }
            Part::Data(data) => send.send_data(data).await?,
            Part::Broken => {
                send.stop_stream(Code::H3_INTERNAL_ERROR);
                return Ok(());
            }
            Part::Refused(refusal) => return refuse(send, &refusal).await,
        }
    }
    send.finish().await
}

/// Sends a kept answer again.
async fn replay(kept: StoredAnswer, send: &mut SendStream) -> Result<(), StreamError> {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::from_u16(kept.status).unwrap_or_default();
    for (name, value) in &kept.fields {
        // The fields were valid when they were kept.
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

/// Tells the caller why a request under a key is not run now.
async fn refuse_key(begin: &BeginReply, send: &mut SendStream) -> Result<(), StreamError> {
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
    super::handle::answer_text(send, status, outcome, text).await
}
