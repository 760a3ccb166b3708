//! Counts, ids and instants of requests.

use std::time::Duration;

decimal! {
    /// A number of concurrent requests.
    Slots(u32)
}

decimal! {
    /// A number of connections.
    Connections(u32)
}

decimal! {
    /// An instant of the system clock, in milliseconds since the Unix epoch.
    UnixMillis(u64)
}

impl UnixMillis {
    /// The instant `span` later, or the last one that can be written.
    #[must_use]
    pub fn saturating_add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_add(millis))
    }
}

hexadecimal! {
    /// Identity of a slot that an agent holds for a peer.
    ReservationId
}

decimal! {
    /// Number of a request, unique within one run of an agent.
    RequestId(u64)
}

decimal! {
    /// A rate of a link.
    BytesPerSecond(u64)
}

impl BytesPerSecond {
    /// A rate in megabits a second, as links are named; `None` if it is not
    /// above 0.
    #[must_use]
    pub fn from_megabits(megabits: f64) -> Option<Self> {
        const BYTES: f64 = 125_000.0;
        let rate = megabits * BYTES;
        // A rate that is no number is not above 0 either.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "checked"
        )]
        (rate >= 1.0).then_some(BytesPerSecond(rate as u64))
    }

    /// Time that these bytes take.
    #[must_use]
    pub fn transmission_time(self, bytes: usize) -> Duration {
        let nanos = bytes as u128 * 1_000_000_000 / u128::from(self.0.max(1));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
