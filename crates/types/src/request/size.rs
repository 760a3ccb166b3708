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
    pub fn plus(self, span: Duration) -> Self {
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
