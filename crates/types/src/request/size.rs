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
    /// The instant `duration` later, or the largest one on overflow.
    #[must_use]
    pub fn saturating_add(self, duration: Duration) -> Self {
        let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_add(millis))
    }
}

hexadecimal! {
    /// Id of a slot that an agent reserves for a peer.
    ReservationId
}

decimal! {
    /// Number of a request, unique within one incarnation of an agent.
    RequestId(u64)
}

decimal! {
    /// Data rate of a link.
    BytesPerSecond(u64)
}

impl BytesPerSecond {
    /// Converts a rate in megabits per second, rounded down to whole bytes per
    /// second; `None` if that is 0, or `megabits` is negative or not a number.
    #[must_use]
    pub fn from_megabits(megabits: f64) -> Option<Self> {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        let rate = megabits * BYTES_PER_MEGABIT;
        // The comparison is false for NaN too.
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the rate is at least 1; a cast saturates above u64::MAX"
        )]
        (rate >= 1.0).then_some(BytesPerSecond(rate as u64))
    }

    /// Time to transmit `bytes` bytes.
    #[must_use]
    pub fn transmission_time(self, bytes: usize) -> Duration {
        let nanos = bytes as u128 * 1_000_000_000 / u128::from(self.0.max(1));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
