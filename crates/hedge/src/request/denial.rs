//! Reasons not to hedge a request.

use thiserror::Error;

/// Whether a request may run twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeatable {
    /// Its method or the kind of its route allows it.
    Yes,
    /// It must not run twice; it is never hedged.
    No,
}

/// Why a request that waited longer than the delay of its class is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Denial {
    /// The class has no budget.
    #[error("hedging is off")]
    Off,
    /// The service has too little spare capacity.
    #[error("the service is saturated")]
    Saturated,
    /// No other upstream is warm, in service and has a free slot.
    #[error("no upstream is eligible")]
    NoUpstream,
    /// The budget of the class is used up.
    #[error("the budget is used up")]
    Budget,
}

impl Denial {
    /// Value of the metrics' label.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Denial::Off => "off",
            Denial::Saturated => "saturated",
            Denial::NoUpstream => "no_upstream",
            Denial::Budget => "budget",
        }
    }
}
