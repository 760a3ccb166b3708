//! What an upstream says of itself.

use types::Slots;

/// What an upstream reports of a class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Slots that the upstream offers.
    pub slots: Slots,
    /// Requests that the upstream says it has in progress. A report with fewer
    /// than the agent sees is ignored: it lags or is wrong.
    pub in_flight: Slots,
}
