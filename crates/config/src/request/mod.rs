//! What lives for one change.

mod answers;
mod apply;
mod audit;

pub(crate) use answers::Answers;
pub use answers::{ANSWER_KEPT, ID_AHEAD};
pub use apply::KEY_RETIRES_AFTER;
pub use audit::{AUDIT_KEPT, Record, Summary};
