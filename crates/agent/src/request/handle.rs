//! The task of one request.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use admit::{
    Attempt, Failure, Progress, RefusalReason, RequestInfo, RequestOutcome, RetryDecision,
};
use auth::Credentials;
use bytes::Bytes;
use h3::{
    error::{Code, StreamError},
    server::{RequestResolver, RequestStream},
};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::BodyExt;
use tokio::{sync::watch, time::timeout};
use types::{ClassName, ServiceId, ServiceState};
use wire::ClaimHeader;

use super::{
    Answer, Call, CallerBody, Failed, Head, RequestIds, Slot, Target, body::RecvStream,
    deadline_of, is_idempotent, keyed,
};
use crate::{
    connection::{self, Link, StreamEnds},
    process::{AdmissionCommand, AdmissionHandle, Grant, KeysHandle, Metrics},
};

/// Seconds after which a caller may try again when nothing is free.
const RETRY_AFTER_SECS: &str = "1";

/// Time to wait for the end of a stream without a body; a lost packet is
/// repeated within it. After it the body is passed on as it comes.
const BODY_END: Duration = Duration::from_secs(1);

/// Sending half of a caller's stream.
pub(super) type SendStream = RequestStream<connection::SendStream<Bytes>, Bytes>;

/// What the requests of an agent share.
#[derive(Clone)]
pub struct RequestContext {
    /// The admission task.
    pub admission: AdmissionHandle,
    /// Numbers of requests.
    pub ids: RequestIds,
    /// The agent's own upstream.
    pub upstream: SocketAddr,
    /// State of the service; none while it is not configured.
    pub service: watch::Receiver<Option<ServiceState>>,
    /// The task that keeps results under idempotency keys.
    pub keys: KeysHandle,
    /// Metrics of the agent.
    pub metrics: Metrics,
    /// Proofs of identity towards peers; plain HTTP without them.
    pub credentials: Option<Credentials>,
}

/// A request as the caller sent it.
pub(super) struct Exchange {
    pub(super) cx: RequestContext,
    service: ServiceId,
    class: ClassName,
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    head: Head,
    deadline: Option<Instant>,
    body: CallerBody,
    started_at: Instant,
}

/// What the caller gets when there is no answer to pass on.
pub(super) enum Refusal {
    /// The request was not run.
    NotRun(Option<RefusalReason>),
    /// The request may have run.
    Unknown(Failure),
    /// The caller is gone.
    Gone,
}

/// Serves one request from its head until the caller has all of its answer.
///
/// # Errors
///
/// The caller's stream or connection has ended.
pub async fn handle(
    cx: RequestContext,
    resolver: RequestResolver<Link, Bytes>,
    ends: StreamEnds,
) -> Result<(), StreamError> {
    let (req, stream) = resolver.resolve_request().await?;
    let Some(mut end) = ends.take(stream.id()) else {
        return Ok(());
    };
    let (mut send, recv) = stream.split();
    let served = tokio::select! {
        served = serve(cx, &req, recv, &mut send) => Some(served),
        // The caller stopped the answer. Whatever the request held is dropped,
        // which gives back its slot and cancels it at the upstream.
        () = end.wait() => None,
    };
    match served {
        // The connection may be closed when this returns, so the caller must
        // have the answer by then.
        Some(Ok(())) => end.wait().await,
        Some(Err(e)) => return Err(e),
        None => send.stop_stream(Code::H3_REQUEST_CANCELLED),
    }
    Ok(())
}

async fn serve(
    cx: RequestContext,
    req: &Request<()>,
    recv: RecvStream,
    send: &mut SendStream,
) -> Result<(), StreamError> {
    let found = cx
        .service
        .borrow()
        .as_ref()
        .and_then(|state| class_of(state, req.uri()));
    let Some((service, class)) = found else {
        return refuse(send, &Refusal::NotRun(Some(RefusalReason::UnknownClass))).await;
    };
    let now = Instant::now();
    let remaining = req.headers().get(ClaimHeader::TIMEOUT_MS);
    let exchange = Exchange {
        service,
        class,
        method: req.method().clone(),
        uri: path_of(req.uri()),
        head: head_of(req),
        deadline: deadline_of(now, remaining.map(HeaderValue::as_bytes)),
        body: CallerBody::new(recv),
        started_at: now,
        cx,
    };
    if expects_no_body(req)
        && let Ok(ahead) = timeout(BODY_END, exchange.body.read_ahead()).await
    {
        ahead?;
    }
    if let Some(key) = keyed::key_of(req) {
        return keyed::serve(exchange, key, send).await;
    }
    match exchange.run().await {
        Ok((answer, slot)) => exchange.pass(answer, slot, send).await,
        Err(refusal) => {
            exchange.count(refusal.label());
            refuse(send, &refusal).await
        }
    }
}

impl Exchange {
    /// Attempts the request until there is an answer or a refusal.
    pub(super) async fn run(&self) -> Result<(Answer, Option<Slot>), Refusal> {
        let mut elsewhere = false;
        loop {
            let id = self.cx.ids.next();
            let mut slot = Slot::new(id, self.cx.admission.clone());
            let info = RequestInfo {
                deadline: self.deadline,
                exclude_local: elsewhere,
                ..RequestInfo::new(id, self.class.clone())
            };
            let grant = self
                .cx
                .admission
                .ask(|tx| AdmissionCommand::Arrive(info, tx))
                .await;
            let failed = match grant {
                None => return Err(Refusal::NotRun(None)),
                Some(Grant::Refuse(reason)) => return Err(Refusal::NotRun(Some(reason))),
                Some(Grant::Run) => match self.run_here().await {
                    Ok(answer) => return Ok((answer, Some(slot))),
                    Err(failed) => {
                        slot.set(outcome_of(failed));
                        elsewhere |= failed.failure == Failure::Connect;
                        failed
                    }
                },
                Some(Grant::Pass {
                    upstream,
                    peer,
                    reservation,
                }) => {
                    let target = Target::Peer {
                        peer,
                        upstream,
                        service: self.service,
                        reservation,
                    };
                    let call = self.call(target);
                    match call.send_to_peer(self.cx.credentials.as_ref()).await {
                        Ok(answer) => return Ok((answer, None)),
                        Err(failed) => failed,
                    }
                }
            };
            drop(slot);
            self.judge(&failed).await?;
        }
    }

    async fn run_here(&self) -> Result<Answer, Failed> {
        let result = self.call(Target::Upstream(self.cx.upstream)).send().await;
        self.cx.admission.note_attempt(&result);
        result
    }

    fn call(&self, target: Target) -> Call<CallerBody> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        Call {
            target,
            request,
            head: self.head.clone(),
            deadline: self.deadline,
        }
    }

    /// Returns if the request is to be attempted again.
    async fn judge(&self, failed: &Failed) -> Result<(), Refusal> {
        let not_run = failed.progress == Progress::NotStarted;
        if self.body.started() {
            // The body is spent, so there is nothing to repeat.
            return Err(if not_run {
                Refusal::NotRun(None)
            } else {
                Refusal::Unknown(failed.failure)
            });
        }
        let attempt = Attempt {
            progress: failed.progress,
            failure: failed.failure,
            idempotent: is_idempotent(&self.method),
            deadline: self.deadline,
        };
        let verdict = self
            .cx
            .admission
            .ask(|tx| AdmissionCommand::Judge(attempt, tx))
            .await;
        match verdict {
            Some(RetryDecision::Retry) => Ok(()),
            Some(RetryDecision::Done) => Err(Refusal::Gone),
            _ if not_run => Err(Refusal::NotRun(None)),
            _ => Err(Refusal::Unknown(failed.failure)),
        }
    }

    /// Passes an answer on to the caller, whole or ended by a reset.
    async fn pass(
        &self,
        answer: Answer,
        mut slot: Option<Slot>,
        send: &mut SendStream,
    ) -> Result<(), StreamError> {
        let (parts, mut body, _connection) = answer.into_parts();
        self.cx
            .metrics
            .answer_seconds
            .with_label_values(&[self.class.as_str()])
            .observe(self.started_at.elapsed().as_secs_f64());
        let mut response = Response::new(());
        *response.status_mut() = parts.status;
        *response.headers_mut() = Head::of(&parts.headers).headers;
        send.send_response(response).await?;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                // The upstream broke off; a clean end would pass a part off as
                // the whole answer.
                send.stop_stream(Code::H3_INTERNAL_ERROR);
                if let Some(slot) = &mut slot {
                    slot.set(RequestOutcome::Failed);
                }
                self.count("broken");
                return Ok(());
            };
            if let Ok(data) = frame.into_data() {
                send.send_data(data).await?;
            }
        }
        if let Some(slot) = &mut slot {
            slot.set(ended(parts.status));
        }
        drop(slot);
        self.count("answered");
        send.finish().await
    }

    pub(super) fn count(&self, result: &str) {
        self.cx.metrics.count_request(self.class.as_str(), result);
    }
}

impl Refusal {
    pub(super) fn label(&self) -> &'static str {
        match self {
            Refusal::NotRun(_) => "not_run",
            Refusal::Unknown(_) => "unknown",
            Refusal::Gone => "cancelled",
        }
    }
}

/// Outcome of a request whose whole answer came.
pub(crate) fn ended(status: StatusCode) -> RequestOutcome {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        RequestOutcome::Shed
    } else {
        RequestOutcome::Completed
    }
}

/// Outcome of a request without an answer.
pub(crate) fn outcome_of(failed: Failed) -> RequestOutcome {
    match failed.progress {
        Progress::NotStarted => RequestOutcome::NotStarted,
        _ => RequestOutcome::Failed,
    }
}

/// Status and outcome field of a request without an answer.
pub(crate) fn status_of(failed: Failed) -> (StatusCode, &'static str) {
    match (failed.progress, failed.failure) {
        (Progress::NotStarted, _) => (StatusCode::SERVICE_UNAVAILABLE, ClaimHeader::NOT_RUN),
        (_, Failure::Deadline) => (StatusCode::GATEWAY_TIMEOUT, ClaimHeader::UNKNOWN),
        _ => (StatusCode::BAD_GATEWAY, ClaimHeader::UNKNOWN),
    }
}

fn class_of(state: &ServiceState, uri: &Uri) -> Option<(ServiceId, ClassName)> {
    let (class, _) = state.service.class_of(uri.path().as_bytes())?;
    Some((state.service.id, class.clone()))
}

/// The form of the target that HTTP/1.1 sends to an upstream.
fn path_of(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}

/// Header fields for the upstream. HTTP/3 carries the authority outside the
/// fields, HTTP/1.1 in `Host`.
fn head_of(req: &Request<()>) -> Head {
    let mut head = Head::of(req.headers());
    head.join_cookies();
    if let Some(authority) = req.uri().authority() {
        head.set(header::HOST.as_str(), authority);
    }
    head
}

/// Whether the request most likely has no body, so that waiting for the end of
/// its stream costs nothing and spares the upstream an empty chunked body.
fn expects_no_body(req: &Request<()>) -> bool {
    let length = req.headers().get(header::CONTENT_LENGTH);
    let bodiless = matches!(
        *req.method(),
        Method::GET | Method::HEAD | Method::DELETE | Method::OPTIONS | Method::TRACE
    );
    length.is_none() && bodiless
}

pub(super) async fn refuse(send: &mut SendStream, refusal: &Refusal) -> Result<(), StreamError> {
    let (status, outcome, text) = match refusal {
        Refusal::Gone => {
            send.stop_stream(Code::H3_REQUEST_CANCELLED);
            return Ok(());
        }
        Refusal::NotRun(reason) => (
            StatusCode::SERVICE_UNAVAILABLE,
            ClaimHeader::NOT_RUN,
            reason.map_or_else(
                || "no upstream could be reached".to_owned(),
                |r| r.to_string(),
            ),
        ),
        Refusal::Unknown(failure) => {
            let failed = Failed {
                progress: Progress::Started,
                failure: *failure,
            };
            let (status, outcome) = status_of(failed);
            (
                status,
                outcome,
                "the answer of the upstream was lost".into(),
            )
        }
    };
    answer_text(send, status, outcome, &text).await
}

/// Answers in the name of the system.
pub(super) async fn answer_text(
    send: &mut SendStream,
    status: StatusCode,
    outcome: &'static str,
    text: &str,
) -> Result<(), StreamError> {
    let mut head = Head::default();
    head.set(ClaimHeader::OUTCOME, &outcome);
    head.set(header::CONTENT_TYPE.as_str(), &"text/plain");
    if status == StatusCode::SERVICE_UNAVAILABLE {
        head.set(header::RETRY_AFTER.as_str(), &RETRY_AFTER_SECS);
    }
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = head.headers;
    send.send_response(response).await?;
    send.send_data(Bytes::from(format!("{text}\n"))).await?;
    send.finish().await
}
