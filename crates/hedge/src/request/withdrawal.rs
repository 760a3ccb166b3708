//! A hedge that counts against the budget.

use std::time::Instant;

use types::ClassName;

/// The part of the budget that a decided hedge uses, until the hedge is sent or the part
/// is refunded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Withdrawal {
    /// Class of the request.
    pub class: ClassName,
    /// When the hedge was decided.
    pub at: Instant,
}
