//! Handler of one request of a caller.

use std::{
    net::{IpAddr, SocketAddr},
    time::{Duration, Instant},
};

use admit::{
    Attempt, Failure, Progress, Refusal, RefusalReason, RequestInfo, RequestOutcome, RetryDecision,
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
use types::{ClassName, RetryAfter, ServiceId, ServiceState};
use wire::ClaimHeader;

use super::{
    AttemptError, CallerBody, EndToEndHeaders, ForwardTarget, ForwardedRequest, ForwardedResponse,
    RequestGuard, RequestIdGenerator, body::RecvStream, deadline_of, hedge::Winner, idempotency,
    is_idempotent,
};
use crate::{
    connection::{self, H3Connection, StreamCompletions},
    process::{AdmissionCommand, AdmissionHandle, AdmissionReply, IdempotencyHandle, Metrics},
};

/// Value of `Retry-After` if no upstream could be reached, so that the backlog is unknown.
const UNKNOWN_BACKLOG_RETRY: RetryAfter = RetryAfter(1);

/// Time to wait for the end of the stream of a request that has no body; it
/// covers the retransmission of a lost packet. After it the body is forwarded
/// as it arrives.
const EMPTY_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Sending half of a caller's stream.
pub(super) type SendStream = RequestStream<connection::SendStream<Bytes>, Bytes>;

/// State that all requests of an agent share.
#[derive(Clone)]
pub struct RequestContext {
    /// The admission task.
    pub admission: AdmissionHandle,
    /// Generator of request ids.
    pub request_ids: RequestIdGenerator,
    /// Address of the agent's own upstream.
    pub upstream_address: SocketAddr,
    /// State of the service; `None` while it is not configured.
    pub service: watch::Receiver<Option<ServiceState>>,
    /// The task that stores responses by idempotency key.
    pub idempotency: IdempotencyHandle,
    /// Metrics of the agent.
    pub metrics: Metrics,
    /// Certificates for mutual TLS with peers; `None` means plain HTTP.
    pub credentials: Option<Credentials>,
}

/// A request of a caller, as received.
pub(super) struct CallerRequest {
    pub(super) cx: RequestContext,
    caller: IpAddr,
    pub(super) service: ServiceId,
    pub(super) class: ClassName,
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    headers: EndToEndHeaders,
    deadline: Option<Instant>,
    pub(super) body: CallerBody,
    pub(super) started_at: Instant,
}

/// Why a request has no response of an upstream.
pub(super) enum RequestFailure {
    /// The request was not run.
    NotRun(Option<Refusal>),
    /// The request may have been run.
    OutcomeUnknown(Failure),
    /// The caller no longer waits.
    CallerGone,
}

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

impl CallerRequest {
    /// Repeats attempts until there is a response or no further retry is
    /// allowed.
    pub(super) async fn run(
        &self,
    ) -> Result<(ForwardedResponse, Option<RequestGuard>), RequestFailure> {
        let mut elsewhere = false;
        let mut repeatable = Some(self.repeatable());
        loop {
            let id = self.cx.request_ids.next();
            let mut request_guard = RequestGuard::new(id, self.cx.admission.clone());
            let info = RequestInfo {
                caller: Some(self.caller),
                deadline: self.deadline,
                exclude_local: elsewhere,
                ..RequestInfo::new(id, self.class.clone())
            };
            let hedging = repeatable.take();
            let reply = self
                .cx
                .admission
                .ask(|tx| AdmissionCommand::Arrive(info, hedging, tx))
                .await;
            let attempt_error = match reply {
                None => return Err(RequestFailure::NotRun(None)),
                Some(AdmissionReply::Refuse(refusal)) => {
                    return Err(RequestFailure::NotRun(Some(refusal)));
                }
                Some(AdmissionReply::Run { hedge }) => match self.forward_or_hedge(hedge).await {
                    Ok(Winner::Primary(forwarded)) => return Ok((forwarded, Some(request_guard))),
                    Ok(Winner::Hedge(forwarded, primary_error)) => {
                        // Without an outcome, the request counts as cancelled.
                        if let Some(attempt_error) = primary_error {
                            request_guard.set_outcome(outcome_of_error(attempt_error));
                        }
                        return Ok((forwarded, None));
                    }
                    Err(attempt_error) => {
                        request_guard.set_outcome(outcome_of_error(attempt_error));
                        elsewhere |= attempt_error.failure == Failure::Connect;
                        attempt_error
                    }
                },
                Some(AdmissionReply::HandOff {
                    upstream,
                    peer,
                    reservation,
                }) => {
                    let target = ForwardTarget::Peer {
                        peer,
                        upstream,
                        service: self.service,
                        reservation,
                    };
                    let forwarded_request = self.forwarded_request(target);
                    match forwarded_request
                        .send_to_peer(self.cx.credentials.as_ref())
                        .await
                    {
                        Ok(forwarded) => return Ok((forwarded, None)),
                        Err(attempt_error) => attempt_error,
                    }
                }
            };
            drop(request_guard);
            self.check_retry(&attempt_error).await?;
        }
    }

    pub(super) async fn forward_to_upstream(&self) -> Result<ForwardedResponse, AttemptError> {
        let result = self
            .forwarded_request(ForwardTarget::Upstream(self.cx.upstream_address))
            .send()
            .await;
        self.cx.admission.report_attempt(&result);
        result
    }

    pub(super) fn forwarded_request(&self, target: ForwardTarget) -> ForwardedRequest<CallerBody> {
        let mut request = Request::new(self.body.clone());
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        ForwardedRequest {
            target,
            request,
            headers: self.headers.clone(),
            deadline: self.deadline,
        }
    }

    /// Returns `Ok` if the request may be retried.
    async fn check_retry(&self, attempt_error: &AttemptError) -> Result<(), RequestFailure> {
        let not_started = attempt_error.progress == Progress::NotStarted;
        if self.body.is_consumed() {
            // The body is consumed and cannot be resent.
            return Err(if not_started {
                RequestFailure::NotRun(None)
            } else {
                RequestFailure::OutcomeUnknown(attempt_error.failure)
            });
        }
        let attempt = Attempt {
            progress: attempt_error.progress,
            failure: attempt_error.failure,
            idempotent: is_idempotent(&self.method),
            deadline: self.deadline,
        };
        let verdict = self
            .cx
            .admission
            .ask(|tx| AdmissionCommand::CheckRetry(attempt, tx))
            .await;
        match verdict {
            Some(RetryDecision::Retry) => Ok(()),
            Some(RetryDecision::Done) => Err(RequestFailure::CallerGone),
            _ if not_started => Err(RequestFailure::NotRun(None)),
            _ => Err(RequestFailure::OutcomeUnknown(attempt_error.failure)),
        }
    }

    /// Forwards a response to the caller. Resets the stream if the response is
    /// incomplete.
    async fn forward_response(
        &self,
        forwarded: ForwardedResponse,
        mut request_guard: Option<RequestGuard>,
        send: &mut SendStream,
    ) -> Result<(), StreamError> {
        let (parts, mut body, _connection) = forwarded.into_parts();
        self.cx
            .metrics
            .answer_seconds
            .with_label_values(&[self.class.as_str()])
            .observe(self.started_at.elapsed().as_secs_f64());
        let mut response = Response::new(());
        *response.status_mut() = parts.status;
        *response.headers_mut() = EndToEndHeaders::from_headers(&parts.headers).headers;
        send.send_response(response).await?;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                // The response is truncated. Finishing the stream would make it
                // look complete.
                send.stop_stream(Code::H3_INTERNAL_ERROR);
                if let Some(request_guard) = &mut request_guard {
                    request_guard.set_outcome(RequestOutcome::Failed);
                }
                self.count_result("broken");
                return Ok(());
            };
            if let Ok(data) = frame.into_data() {
                send.send_data(data).await?;
            }
        }
        if let Some(request_guard) = &mut request_guard {
            request_guard.set_outcome(outcome_of_status(parts.status));
        }
        drop(request_guard);
        self.count_result("answered");
        send.finish().await
    }

    pub(super) fn count_result(&self, result: &str) {
        self.cx.metrics.count_request(self.class.as_str(), result);
    }
}

impl RequestFailure {
    pub(super) fn label(&self) -> &'static str {
        match self {
            RequestFailure::NotRun(_) => "not_run",
            RequestFailure::OutcomeUnknown(_) => "unknown",
            RequestFailure::CallerGone => "cancelled",
        }
    }
}

/// Outcome of a request whose response was received completely.
pub(crate) fn outcome_of_status(status: StatusCode) -> RequestOutcome {
    if status == StatusCode::SERVICE_UNAVAILABLE {
        RequestOutcome::Shed
    } else {
        RequestOutcome::Completed
    }
}

/// Outcome of a request whose attempt failed.
pub(crate) fn outcome_of_error(attempt_error: AttemptError) -> RequestOutcome {
    match attempt_error.progress {
        Progress::NotStarted => RequestOutcome::NotStarted,
        _ => RequestOutcome::Failed,
    }
}

/// Status and outcome field of the response to a request whose attempt failed.
pub(crate) fn status_of_error(attempt_error: AttemptError) -> (StatusCode, &'static str) {
    match (attempt_error.progress, attempt_error.failure) {
        (Progress::NotStarted, _) => (StatusCode::SERVICE_UNAVAILABLE, ClaimHeader::NOT_RUN),
        (_, Failure::Deadline) => (StatusCode::GATEWAY_TIMEOUT, ClaimHeader::UNKNOWN),
        _ => (StatusCode::BAD_GATEWAY, ClaimHeader::UNKNOWN),
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

pub(super) async fn send_failure(
    send: &mut SendStream,
    request_failure: &RequestFailure,
) -> Result<(), StreamError> {
    let (status, outcome, retry_after, text) = match request_failure {
        RequestFailure::CallerGone => {
            send.stop_stream(Code::H3_REQUEST_CANCELLED);
            return Ok(());
        }
        RequestFailure::NotRun(refusal) => (
            StatusCode::SERVICE_UNAVAILABLE,
            ClaimHeader::NOT_RUN,
            Some(refusal.map_or(UNKNOWN_BACKLOG_RETRY, |refusal| refusal.retry_after)),
            refusal.map_or_else(
                || "no upstream could be reached".to_owned(),
                |refusal| refusal.reason.to_string(),
            ),
        ),
        RequestFailure::OutcomeUnknown(failure) => {
            let attempt_error = AttemptError {
                progress: Progress::Started,
                failure: *failure,
            };
            let (status, outcome) = status_of_error(attempt_error);
            (
                status,
                outcome,
                None,
                "the answer of the upstream was lost".into(),
            )
        }
    };
    send_text(send, status, outcome, retry_after, &text).await
}

/// Sends a text response that the agent itself generates. Only a request that has not run
/// has a `retry_after`.
pub(super) async fn send_text(
    send: &mut SendStream,
    status: StatusCode,
    outcome: &'static str,
    retry_after: Option<RetryAfter>,
    text: &str,
) -> Result<(), StreamError> {
    let mut headers = EndToEndHeaders::default();
    headers.set(ClaimHeader::OUTCOME, &outcome);
    headers.set(header::CONTENT_TYPE.as_str(), &"text/plain");
    if let Some(retry_after) = retry_after {
        headers.set(header::RETRY_AFTER.as_str(), &retry_after);
    }
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers.headers;
    send.send_response(response).await?;
    send.send_data(Bytes::from(format!("{text}\n"))).await?;
    send.finish().await
}
