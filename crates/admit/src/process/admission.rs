//! The admission of one agent.

use std::{collections::BTreeMap, time::Instant};

use types::{
    ClassName, DataCentre, Loads, RequestId, ReservationId, Target, UpstreamId, UpstreamState,
};

use crate::{Claim, Decision, Outcome, PeerAnswer, Report, RequestInfo, Reserve, Settings, Wake};

/// Decides about the requests of one agent.
#[derive(Debug, Clone)]
pub struct Admission {}

#[allow(
    unused_variables,
    clippy::needless_pass_by_value,
    clippy::unused_self,
    clippy::todo
)]
impl Admission {
    /// An admission without targets or peers. `seed` drives the choice among
    /// peers.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        todo!()
    }

    // Process: targets, state, reports, connections, peers.

    /// Applies the targets of a configuration version. Requests in progress
    /// are never cut: under a lowered target they sink.
    pub fn set_targets(
        &mut self,
        now: Instant,
        targets: &BTreeMap<ClassName, Target>,
    ) -> Vec<Wake> {
        todo!()
    }

    /// Sets whether the upstream leaves.
    pub fn set_leaving(&mut self, now: Instant, leaving: bool) -> Vec<Wake> {
        todo!()
    }

    /// Notes that a connection to the upstream could not be opened; enough of
    /// them in a row make the upstream `Down`.
    pub fn connect_failed(&mut self, now: Instant) -> Vec<Wake> {
        todo!()
    }

    /// Notes that a connection to the upstream was opened; ends `Down`.
    pub fn connect_succeeded(&mut self, now: Instant) -> Vec<Wake> {
        todo!()
    }

    /// Whether an upstream that is down is to be probed now. The probe counts
    /// as begun; report it with `connect_failed` or `connect_succeeded`.
    pub fn probe_due(&mut self, now: Instant) -> bool {
        todo!()
    }

    /// State of the upstream; leaving goes before down.
    #[must_use]
    pub fn state(&self) -> UpstreamState {
        todo!()
    }

    /// Notes what the upstream says of a class. It lowers the slots until it
    /// is replaced or `report_limit` passes, and never raises them.
    pub fn note_report(&mut self, now: Instant, class: &ClassName, report: Report) -> Vec<Wake> {
        todo!()
    }

    /// Whether one more connection may be accepted.
    #[must_use]
    pub fn may_accept_connection(&self) -> bool {
        todo!()
    }

    /// Counts a connection that was opened.
    pub fn connection_opened(&mut self) {
        todo!()
    }

    /// Counts a connection that was closed.
    pub fn connection_closed(&mut self) {
        todo!()
    }

    /// Sets the peers of the service, each with its data centre; `own` is the
    /// data centre of this agent. Known loads of peers that stay are kept.
    pub fn set_peers(&mut self, own: &DataCentre, peers: &BTreeMap<UpstreamId, DataCentre>) {
        todo!()
    }

    /// Notes the loads of a peer. A queued request may be woken to ask it.
    pub fn note_peer_load(&mut self, now: Instant, peer: UpstreamId, loads: &Loads) -> Vec<Wake> {
        todo!()
    }

    /// Own loads, as announced and as sent with refusals to peers. Slots that
    /// are held for peers count as in flight.
    #[must_use]
    pub fn loads(&self) -> Loads {
        todo!()
    }

    // Requests.

    /// Decides about a new request.
    pub fn arrive(&mut self, now: Instant, request: RequestInfo) -> Decision {
        todo!()
    }

    /// Notes the answer of a peer that was asked. `None` if the request got
    /// another decision meanwhile and nothing is to be done.
    pub fn peer_answer(
        &mut self,
        now: Instant,
        id: RequestId,
        peer: UpstreamId,
        answer: PeerAnswer,
    ) -> Option<Decision> {
        todo!()
    }

    /// Releases the slot of a request that ran here.
    pub fn finish(&mut self, now: Instant, id: RequestId, outcome: Outcome) -> Vec<Wake> {
        todo!()
    }

    /// Forgets a request that the caller cancelled, whether it waits or runs.
    pub fn cancel(&mut self, now: Instant, id: RequestId) -> Vec<Wake> {
        todo!()
    }

    /// Holds a slot for a request of a peer until `deadline`, at most for
    /// `reservation_limit`.
    pub fn reserve(
        &mut self,
        now: Instant,
        id: ReservationId,
        class: &ClassName,
        deadline: Instant,
    ) -> Reserve {
        todo!()
    }

    /// Turns a reservation into the request `request` that runs here.
    pub fn claim(&mut self, now: Instant, id: ReservationId, request: RequestId) -> Claim {
        todo!()
    }

    /// Gives back a reservation that the peer does not need.
    pub fn release(&mut self, now: Instant, id: ReservationId) -> Vec<Wake> {
        todo!()
    }

    /// Ends what has passed its deadline and asks peers again.
    pub fn tick(&mut self, now: Instant) -> Vec<Wake> {
        todo!()
    }

    /// When `tick` or `probe_due` has something to do next.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        todo!()
    }
}
