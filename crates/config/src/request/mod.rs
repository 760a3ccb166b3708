//! Processing of a single change: deduplication, application and audit.

mod apply;
mod audit;
mod first_answers;

pub use apply::KEY_RETIREMENT_DELAY;
pub use audit::{AuditRecord, ChangeSummary, MAX_AUDIT_RECORDS};
pub(crate) use first_answers::FirstAnswers;
pub use first_answers::{ANSWER_RETENTION, MAX_ID_CLOCK_SKEW};
