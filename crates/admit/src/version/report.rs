//! Load reports of the local upstream.

use types::Slots;

/// Load that an upstream reports for a class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Slots that the upstream offers.
    pub slots: Slots,
    /// Requests in progress as counted by the upstream. A report with fewer
    /// than the agent counts is ignored, because it is outdated or wrong.
    pub in_flight: Slots,
}
