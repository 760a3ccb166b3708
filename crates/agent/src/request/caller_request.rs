//! One request of a caller, and the attempts to get a response for it.

use std::{
    net::{IpAddr, SocketAddr},
    time::Instant,
};

use admit::{Attempt, Failure, Progress, RequestInfo, RequestOutcome, RetryDecision};
use auth::Credentials;
use h3::error::{Code, StreamError};
use hedge::Repeatable;
use http::{Method, Request, Response, Uri};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::sync::watch;
use types::{ClassName, ServiceId, ServiceState};

use super::{
    AttemptError, CallerBody, EndToEndHeaders, ForwardTarget, ForwardedRequest, ForwardedResponse,
    HedgeRace, RequestGuard, RequestIdGenerator, Winner,
    answer::{RequestFailure, SendStream, outcome_of_error, outcome_of_status},
    is_idempotent,
};
use crate::process::{
    AdmissionCommand, AdmissionHandle, AdmissionReply, HedgeTimer, IdempotencyHandle, Metrics,
    PeerSlot,
};

/// Largest part of a response body that is read before the response counts as
/// complete. It bounds the memory of a hedged request.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

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
    pub(super) caller: IpAddr,
    pub(super) service: ServiceId,
    pub(super) class: ClassName,
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    pub(super) headers: EndToEndHeaders,
    pub(super) deadline: Option<Instant>,
    pub(super) body: CallerBody,
    pub(super) started_at: Instant,
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

    /// Whether the request may run at two upstreams at once. Idempotent methods that
    /// change something are excluded: the losing copy could run after a later
    /// request of the caller and undo it.
    fn repeatable(&self) -> Repeatable {
        if self.method.is_safe() && self.body.is_end_stream() {
            Repeatable::Yes
        } else {
            Repeatable::No
        }
    }

    /// Sends the request to the own upstream and, once the timer is due, possibly
    /// to a peer.
    async fn forward_or_hedge(
        &self,
        hedge: Option<HedgeTimer>,
    ) -> Result<Winner<ForwardedResponse>, AttemptError> {
        let result = match hedge.and_then(|timer| timer.due) {
            None => self.forward_to_upstream().await.map(Winner::Primary),
            Some(due) => {
                let race = HedgeRace {
                    admission: &self.cx.admission,
                    class: &self.class,
                    due,
                };
                let primary = self.forward_to_upstream();
                let complete = async |forwarded| read_ahead(forwarded).await;
                let end = race
                    .run(primary, complete, |slot| self.hedge_at(slot))
                    .await;
                if let Some(label) = end.label {
                    self.cx.metrics.count_hedge(self.class.as_str(), label);
                }
                end.result
            }
        };
        if hedge.is_some() && result.is_ok() {
            let waited = self.started_at.elapsed();
            let answered = AdmissionCommand::Answered(self.class.clone(), waited);
            self.cx.admission.send(answered);
        }
        result
    }

    /// Sends the request to a second upstream. Its errors must not replace the response
    /// that the first one may still give.
    async fn hedge_at(&self, slot: PeerSlot) -> Result<ForwardedResponse, AttemptError> {
        log::debug!(event = "hedge_sent", class:% = self.class, upstream:% = slot.upstream; "request sent to a second upstream");
        let target = ForwardTarget::Peer {
            peer: slot.peer,
            upstream: slot.upstream,
            service: self.service,
            reservation: slot.reservation,
        };
        let request = self.forwarded_request(target);
        let forwarded = request.send_to_peer(self.cx.credentials.as_ref()).await?;
        if forwarded.response.status().is_server_error() {
            return Err(BROKEN);
        }
        read_ahead(forwarded).await
    }

    async fn forward_to_upstream(&self) -> Result<ForwardedResponse, AttemptError> {
        let result = self
            .forwarded_request(ForwardTarget::Upstream(self.cx.upstream_address))
            .send()
            .await;
        self.cx.admission.report_attempt(&result);
        result
    }

    fn forwarded_request(&self, target: ForwardTarget) -> ForwardedRequest<CallerBody> {
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
    pub(super) async fn forward_response(
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

/// An attempt whose response is lost.
const BROKEN: AttemptError = AttemptError {
    progress: Progress::Started,
    failure: Failure::Broken,
};

async fn read_ahead(mut forwarded: ForwardedResponse) -> Result<ForwardedResponse, AttemptError> {
    let body = forwarded.response.body_mut();
    match body.read_ahead(MAX_READ_AHEAD_BYTES).await {
        Ok(()) => Ok(forwarded),
        Err(_) => Err(BROKEN),
    }
}
