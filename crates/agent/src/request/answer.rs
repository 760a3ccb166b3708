//! Responses that the agent itself generates, and the outcomes of requests.

use admit::{Failure, Progress, RefusalReason, RequestOutcome};
use bytes::Bytes;
use h3::{
    error::{Code, StreamError},
    server::RequestStream,
};
use http::{Response, StatusCode, header};
use wire::ClaimHeader;

use super::{AttemptError, EndToEndHeaders};
use crate::connection;

/// Value of `Retry-After` in a 503 response.
const RETRY_AFTER_SECS: &str = "1";

/// Sending half of a caller's stream.
pub(super) type SendStream = RequestStream<connection::SendStream<Bytes>, Bytes>;

/// Why a request has no response of an upstream.
pub(super) enum RequestFailure {
    /// The request was not run.
    NotRun(Option<RefusalReason>),
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
    let (status, outcome, text) = match request_failure {
        RequestFailure::CallerGone => {
            send.stop_stream(Code::H3_REQUEST_CANCELLED);
            return Ok(());
        }
        RequestFailure::NotRun(reason) => (
            StatusCode::SERVICE_UNAVAILABLE,
            ClaimHeader::NOT_RUN,
            reason.map_or_else(
                || "no upstream could be reached".to_owned(),
                |r| r.to_string(),
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
                "the answer of the upstream was lost".into(),
            )
        }
    };
    send_text(send, status, outcome, &text).await
}

/// Sends a text response that the agent itself generates.
pub(super) async fn send_text(
    send: &mut SendStream,
    status: StatusCode,
    outcome: &'static str,
    text: &str,
) -> Result<(), StreamError> {
    let mut headers = EndToEndHeaders::default();
    headers.set(ClaimHeader::OUTCOME, &outcome);
    headers.set(header::CONTENT_TYPE.as_str(), &"text/plain");
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers.set(header::RETRY_AFTER.as_str(), &RETRY_AFTER_SECS);
    }
    let mut response = Response::new(());
    *response.status_mut() = status;
    *response.headers_mut() = headers.headers;
    send.send_response(response).await?;
    send.send_data(Bytes::from(format!("{text}\n"))).await?;
    send.finish().await
}
