//! What the place of a waiting request depends on.

use std::time::{Duration, Instant};

use types::Priority;

/// What the place of a request depends on. `K` names whose share of the slots it uses,
/// such as a route and the address of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Urgency<K> {
    /// Whose share of the slots the request uses.
    pub share: K,
    /// Priority of the request.
    pub priority: Priority,
    /// When the caller sent it first.
    pub since: Instant,
    /// Until when an answer meets the objective; `None` if any answer does.
    pub objective_until: Option<Instant>,
    /// When the caller gives the request up; `None` if it does not.
    pub given_up_at: Option<Instant>,
}

/// A slot that is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreeSlot {
    /// Since when.
    pub at: Instant,
    /// Time from giving a request the slot until the caller has its answer.
    pub answer_time: Duration,
}

impl<K> Urgency<K> {
    /// Whether an answer comes too late for the objective even if the request gets the
    /// slot.
    #[must_use]
    pub fn is_late(&self, slot: FreeSlot) -> bool {
        self.objective_until
            .is_some_and(|until| slot.at + slot.answer_time > until)
    }
}

/// When a request arrived: the instant, and a number that orders those of one instant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival(pub Instant, pub u64);

/// A waiting request as an order compares it.
#[derive(Debug, Clone, Copy)]
pub struct Place<'a, K> {
    /// Whose it is and how urgent.
    pub urgency: &'a Urgency<K>,
    /// Whether it misses its objective even if it gets the slot now.
    pub is_late: bool,
    /// When it arrived.
    pub arrival: Arrival,
    /// Requests of the same share that go before it.
    pub ahead: u64,
}
