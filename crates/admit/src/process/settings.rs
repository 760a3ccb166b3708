//! Settings of the admission.

use std::time::Duration;

/// Which queued request gets a slot that becomes free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueOrder {
    /// The oldest.
    Fifo,
    /// The newest.
    Lifo,
    /// The oldest, or the newest while the oldest has waited for longer than
    /// half of [`Settings::queue_timeout`].
    Adaptive,
}

/// Settings of the admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Longest time that a request waits for a slot.
    pub queue_timeout: Duration,
    /// Queued requests of a class for each of its slots.
    pub max_queued_per_slot: u32,
    /// Order in which queued requests get slots.
    pub queue_order: QueueOrder,
    /// Requests of a class that ask peers while the queue is full. Bounds the
    /// memory when peers answer slowly.
    pub max_unqueued_asking: u32,
    /// Whether requests are handed off to peers.
    pub hand_off_enabled: bool,
    /// Time between two questions to peers for the queued requests of a class,
    /// in case an offer is lost. `None` leaves them to local slots and offers.
    pub ask_interval: Option<Duration>,
    /// Time for which a peer that was full is not asked again. Longer pauses
    /// save messages and lengthen the wait.
    pub full_peer_backoff: Duration,
    /// Time after a refusal in which a slot that becomes free is offered to the
    /// peer that was refused.
    pub offer_window: Duration,
    /// Longest time that a reservation is held for a peer.
    pub reservation_timeout: Duration,
    /// Time after which a report of the upstream is dropped.
    pub report_lifetime: Duration,
    /// Consecutive failures to connect after which the upstream is down.
    pub down_after_failures: u32,
    /// Delay before the first probe of an upstream that is down; doubles.
    pub initial_probe_delay: Duration,
    /// Longest delay between probes.
    pub max_probe_delay: Duration,
    /// Connections that the process accepts whatever the targets say.
    pub max_connections: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            queue_timeout: Duration::from_millis(500),
            max_queued_per_slot: 4,
            queue_order: QueueOrder::Fifo,
            max_unqueued_asking: 256,
            hand_off_enabled: true,
            ask_interval: Some(Duration::from_millis(50)),
            full_peer_backoff: Duration::from_millis(20),
            offer_window: Duration::from_millis(50),
            reservation_timeout: Duration::from_millis(200),
            report_lifetime: Duration::from_secs(2),
            down_after_failures: 3,
            initial_probe_delay: Duration::from_millis(100),
            max_probe_delay: Duration::from_secs(2),
            max_connections: 10_000,
        }
    }
}
