//! Types whose values last for one request or one operator change.

mod change;
mod group;
mod rate;
mod size;

pub use change::{Answer, Change, ChangeId, ChangeRequest, Conflict, Refusal};
pub use group::{GroupRefusal, GroupRequest};
pub use rate::RequestRate;
pub use size::{BytesPerSecond, Connections, RequestId, ReservationId, Slots, UnixMillis};
