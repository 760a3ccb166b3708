//! Responses that the agent itself generates, and the outcomes of requests.

use admit::{Failure, Progress, Refusal, RequestOutcome};
use bytes::Bytes;
use h3::{
    error::{Code, StreamError},
    server::RequestStream,
};
use http::{Response, StatusCode, header};
use types::RetryAfter;
use wire::ClaimHeader;

use super::{AttemptError, EndToEndHeaders};
use crate::connection;

/// Value of `Retry-After` if no upstream could be reached, so that the backlog is unknown.
const UNKNOWN_BACKLOG_RETRY: RetryAfter = RetryAfter(1);

/// Sending half of a caller's stream.
pub(super) type SendStream = RequestStream<connection::SendStream<Bytes>, Bytes>;

/// Why a request has no response of an upstream.
pub(super) enum RequestFailure {
    /// The request was not run.
    NotRun(Option<Refusal>),
    /// The request may have been run.
    OutcomeUnknown(Failure),
    /// The caller no longer waits.
    CallerGone,
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
