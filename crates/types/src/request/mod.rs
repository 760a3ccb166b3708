//! Types whose values last for one request or one operator change.

mod change;
mod group;
mod rate;
mod retry;
mod size;

pub use change::{Answer, Change, ChangeId, ChangeRequest, Conflict, Refusal};
pub use group::{GroupRefusal, GroupRequest};
pub use rate::RequestRate;
pub use retry::RetryAfter;
pub use size::{BytesPerSecond, Connections, RequestId, ReservationId, Slots, UnixMillis};
