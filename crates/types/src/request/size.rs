//! Counts, ids and instants of requests.

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

hexadecimal! {
    /// Identity of a slot that an agent holds for a peer.
    ReservationId
}

decimal! {
    /// Number of a request, unique within one run of an agent.
    RequestId(u64)
}
