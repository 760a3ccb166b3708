//! One request on its way to an upstream and back.

mod body;
mod call;
mod handle;
mod head;
mod keyed;
mod permit;
mod slot;

pub use body::CallerBody;
pub use call::{Answer, Call, Connection, Failed, PeerSays, Target};
pub use handle::{RequestContext, handle};
pub(crate) use handle::{ended, outcome_of, status_of};
pub use head::{Head, deadline_of, is_hop_by_hop, is_idempotent};
pub use permit::Permit;
pub use slot::{RequestIds, Slot};
