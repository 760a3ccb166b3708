//! What lives for one change.

mod answers;
mod apply;
mod audit;

pub(crate) use answers::Answers;
pub use answers::{ANSWER_RETENTION, MAX_ID_CLOCK_SKEW};
pub use apply::KEY_RETIREMENT_DELAY;
pub use audit::{AuditRecord, ChangeSummary, MAX_AUDIT_RECORDS};
