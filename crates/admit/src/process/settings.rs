//! Settings of the admission.

use std::time::Duration;

/// Order in which queued requests get free slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueOrder {
    /// The oldest request first.
    Fifo,
    /// The newest request first.
    Lifo,
    /// The oldest request first, or the newest one while the oldest has waited
    /// for more than half of [`Settings::queue_timeout`].
    Adaptive,
}

/// Settings of the admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Maximum time for which a request waits for a slot.
    pub queue_timeout: Duration,
    /// Maximum number of queued requests per slot of a class.
    pub max_queued_per_slot: u32,
    /// Order in which queued requests get slots.
    pub queue_order: QueueOrder,
    /// Whether the callers of a class get equal shares of its slots.
    pub fair_queueing: bool,
    /// Maximum number of requests of a class that ask peers without being
    /// queued. Bounds the memory when peers answer slowly.
    pub max_unqueued_asking: u32,
    /// Whether requests are handed off to peers.
    pub hand_off_enabled: bool,
    /// Interval at which a peer is asked for the queued requests of a class, in
    /// case an offer is lost. With `None`, queued requests only wait for local
    /// slots and offers.
    pub ask_interval: Option<Duration>,
    /// Time for which a full peer is not asked again. Longer values save
    /// messages and increase the waiting time.
    pub full_peer_backoff: Duration,
    /// Time after a refusal during which a free slot is offered to the refused
    /// peer.
    pub offer_window: Duration,
    /// Maximum lifetime of a reservation.
    pub reservation_timeout: Duration,
    /// Time after which a load report of the upstream expires.
    pub report_lifetime: Duration,
    /// Number of consecutive connection failures after which the upstream is
    /// down.
    pub down_after_failures: u32,
    /// Delay before the first probe of an upstream that is down. The delay
    /// doubles after each failed probe.
    pub initial_probe_delay: Duration,
    /// Maximum delay between probes.
    pub max_probe_delay: Duration,
    /// Maximum number of connections of the process, which targets cannot
    /// raise.
    pub max_connections: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            queue_timeout: Duration::from_millis(500),
            max_queued_per_slot: 4,
            queue_order: QueueOrder::Fifo,
            fair_queueing: false,
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
