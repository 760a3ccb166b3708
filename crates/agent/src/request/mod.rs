//! Handling of one request: forwarding it to an upstream and returning the
//! response.

mod answer;
mod body;
mod caller_request;
mod forward;
mod handle;
mod headers;
mod hedge;
mod idempotency;
mod key_permit;
mod request_guard;
mod response_body;

pub(crate) use answer::{outcome_of_error, outcome_of_status, status_of_error};
pub use body::CallerBody;
pub use caller_request::RequestContext;
pub use forward::{
    AttemptError, ConnectionTask, ForwardTarget, ForwardedRequest, ForwardedResponse, PeerOutcome,
};
pub use handle::handle;
pub use headers::{EndToEndHeaders, deadline_of, is_hop_by_hop, is_idempotent};
pub use hedge::{HedgeRace, RaceEnd, Winner};
pub use key_permit::KeyPermit;
pub use request_guard::{RequestGuard, RequestIdGenerator};
pub use response_body::ResponseBody;
