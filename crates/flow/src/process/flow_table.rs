//! Flow table of an agent.

mod handover;
mod state;

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

pub use state::{CallerAction, Claim, Load, Origin, UpstreamAction, UpstreamStatus};
use types::{ServiceLimits, Slots};

use super::{
    AdmittedShare, ColdBound, ColdLimit, ServicePace, ServiceTime, ServiceTimeTracker,
    UpstreamHealth,
};
use crate::{
    FlowTuple, Segment,
    connection::{Flow, Stage},
    request::RequestProgress,
};

/// Requests that an upstream is given at once, as a multiple of its slots: one in
/// each slot, and one on its way or queued, so that no slot waits for a round trip.
/// More would wait in the upstream's own queue, which serves them in the order of
/// arrival and rejects those beyond its length.
const ADMITTED_PER_SLOT: u32 = 2;

/// Datagrams with data that are delivered before the upstream confirms a flow. An
/// upstream acknowledges every second one, and three at a wrong upstream break a flow.
const MAX_UNCONFIRMED_DATA: u8 = 2;

/// Timeouts and limits of a [`FlowTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowTableSettings {
    /// An open flow without a datagram for this long is removed. It is longer
    /// than the timeout after which the ends of a flow discard it.
    pub idle_timeout: Duration,
    /// A closed flow is kept for this long, for retransmissions of its last
    /// datagrams.
    pub linger_timeout: Duration,
    /// After a start, the table accepts flows that the upstream may hold from
    /// before, for this long: the longest pause in an open flow.
    pub recovery_period: Duration,
    /// An upstream that leaves an opening datagram unanswered for this long
    /// counts as unresponsive. A healthy one answers within a few milliseconds.
    pub response_timeout: Duration,
    /// An unresponsive upstream gets one opening datagram per interval.
    pub probe_interval: Duration,
    /// Maximum number of flows; above it, no new flow is accepted.
    pub max_flows: usize,
    /// Limit of new flows at a cold upstream; `None` limits nothing.
    pub cold_bound: Option<ColdBound>,
}

impl Default for FlowTableSettings {
    fn default() -> Self {
        FlowTableSettings {
            idle_timeout: Duration::from_mins(1),
            linger_timeout: Duration::from_secs(4),
            recovery_period: Duration::from_mins(1),
            response_timeout: Duration::from_millis(150),
            probe_interval: Duration::from_millis(600),
            max_flows: 100_000,
            cold_bound: None,
        }
    }
}

/// The flows of an upstream. See the [crate] documentation.
#[derive(Debug)]
pub struct FlowTable {
    settings: FlowTableSettings,
    upstream: Option<UpstreamStatus>,
    /// Incarnation of the upstream whose flows were taken over from the previous agent.
    restored_incarnation: Option<u64>,
    /// Whether the data centre is evacuated, so that the upstream gets no new flows.
    evacuated: bool,
    /// From this instant on, the table has all flows that the upstream holds, and the
    /// agent denies others. It comes before the end of the recovery period only by a
    /// fact that shows that no earlier process at the agent's address opened an unknown
    /// flow at the present run of the upstream: this process has seen that none ran
    /// ([`FlowTable::record_absence`]), or it has the complete list of the process
    /// before it ([`FlowTable::restore`]). Announcements do not show this: one may be
    /// late, clocks are set back, and an upstream gets flows before it announces itself.
    complete_from: Instant,
    flows: BTreeMap<FlowTuple, Flow>,
    /// When the first opening datagram was delivered that the upstream has not
    /// answered, since its last datagram.
    unanswered_since: Option<Instant>,
    /// When an unresponsive upstream last got an opening datagram.
    last_probe_at: Option<Instant>,
    /// Pace of the upstream while it is saturated.
    pace: ServicePace,
    service_time: ServiceTimeTracker,
    health: UpstreamHealth,
    /// Time to the first byte of the last answer, until it is taken.
    first_byte_time: Option<Duration>,
    cold_limit: ColdLimit,
    /// The upstream has lost a flow or was unresponsive since its last announcement, so
    /// another run of it may have started.
    may_have_restarted: bool,
}

impl FlowTable {
    /// An empty table.
    #[must_use]
    pub fn new(settings: FlowTableSettings, now: Instant) -> Self {
        FlowTable {
            settings,
            upstream: None,
            restored_incarnation: None,
            evacuated: false,
            complete_from: now + settings.recovery_period,
            flows: BTreeMap::new(),
            unanswered_since: None,
            last_probe_at: None,
            pace: ServicePace::default(),
            service_time: ServiceTimeTracker::default(),
            health: UpstreamHealth::default(),
            first_byte_time: None,
            cold_limit: ColdLimit::new(settings.cold_bound, now),
            may_have_restarted: false,
        }
    }

    /// Records that this process has seen that nothing listens at the address of the
    /// upstream. Each run that is found later started after this process.
    pub fn record_absence(&mut self, now: Instant) {
        self.complete_from = self.complete_from.min(now);
        // The run that got their datagrams has ended.
        self.flows
            .retain(|_, flow| flow.stage != Stage::Unconfirmed);
        self.cold_limit.record_absence();
        // A run that has announced itself may have started since.
        if self.announced_incarnation().is_none() {
            self.upstream = None;
        }
    }

    /// Sets the state of the upstream; `None` if it does not run or has announced its
    /// end.
    pub fn set_upstream(&mut self, upstream: Option<UpstreamStatus>) {
        let former = self.flows_incarnation();
        let current = upstream.and_then(|upstream| upstream.incarnation);
        if let Some(incarnation) = current {
            for flow in self.flows.values_mut() {
                flow.record_announcement(incarnation);
            }
        }
        if former.is_some() && current.is_some() && former != current {
            // The speed of the new run is unknown.
            self.service_time = ServiceTimeTracker::default();
            self.health = UpstreamHealth::default();
            self.unanswered_since = None;
        }
        if current.is_some() {
            self.may_have_restarted = false;
        }
        if upstream.is_none() {
            self.cold_limit.record_absence();
        }
        self.upstream = upstream;
    }

    /// Sets the limits of the upstream's service.
    pub fn set_limits(&mut self, limits: ServiceLimits) {
        self.cold_limit.set_limits(limits);
    }

    /// Whether the limits of the upstream's service are known.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.cold_limit.has_limits()
    }

    /// Whether the upstream is cold, or not known to be warm: it has not announced itself
    /// yet, or may have restarted since.
    fn is_cold(&self, now: Instant) -> bool {
        let is_warm = self.upstream.is_some_and(|upstream| {
            let in_slow_start = upstream.slow_start_until.is_some_and(|until| now < until);
            upstream.incarnation.is_some() && !in_slow_start
        });
        !is_warm || self.may_have_restarted
    }

    /// New flows that the upstream may get now because of the cold limit; `None` if
    /// nothing is limited.
    #[must_use]
    pub fn cold_allowance(&self, now: Instant) -> Option<usize> {
        self.is_cold(now)
            .then(|| self.cold_limit.allowance(now))
            .flatten()
    }

    /// Whether the cold limit holds back a flow that the upstream has room for.
    #[must_use]
    pub fn is_held_by_cold_limit(&self, now: Instant) -> bool {
        self.cold_allowance(now) == Some(0) && self.slot_admissions(now) > 0
    }

    /// When the cold limit lets the upstream get the next flow, if it holds back one now.
    #[must_use]
    pub fn next_cold_admission_at(&self, now: Instant) -> Option<Instant> {
        self.is_held_by_cold_limit(now)
            .then(|| self.cold_limit.next_allowed_at(now))
            .flatten()
    }

    /// Sets whether the data centre is evacuated. Open flows stay.
    pub fn set_evacuated(&mut self, evacuated: bool) {
        self.evacuated = evacuated;
    }

    /// Last known state of the upstream.
    #[must_use]
    pub fn upstream(&self) -> Option<&UpstreamStatus> {
        self.upstream.as_ref()
    }

    /// Whether an opening datagram has waited for an answer of the upstream
    /// longer than `response_timeout`.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let timeout = self.settings.response_timeout;
        self.unanswered_since
            .is_some_and(|since| now >= since + timeout)
    }

    /// Whether the upstream can be given new flows.
    #[must_use]
    pub fn accepts_new_flows(&self, now: Instant) -> bool {
        self.is_accepting()
            && self.flows.len() < self.settings.max_flows
            && !self.is_unresponsive(now)
    }

    /// Whether new flows are wanted here at all: the upstream neither drains nor stops,
    /// and its data centre is not evacuated.
    fn is_accepting(&self) -> bool {
        !self.evacuated && self.upstream.is_some_and(|upstream| upstream.accepting)
    }

    /// Decides what to do with a datagram of a caller.
    pub fn caller_datagram(&mut self, seg: &Segment, origin: Origin, now: Instant) -> CallerAction {
        if seg.is_opening() {
            return self.on_opening(seg, origin, now);
        }
        let key = seg.key_from_caller();
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.on_unknown_flow(seg, origin, now);
        };
        flow.last_datagram_at = now;
        if !flow.acknowledges_upstream(seg) {
            return CallerAction::NotHeld;
        }
        match flow.stage {
            Stage::Unconfirmed if seg.len > 0 && flow.unconfirmed_data >= MAX_UNCONFIRMED_DATA => {
                CallerAction::Drop
            }
            Stage::Opening
            | Stage::Open
            | Stage::Unverified
            | Stage::Closed
            | Stage::Unconfirmed => {
                flow.unconfirmed_data += u8::from(flow.stage == Stage::Unconfirmed && seg.len > 0);
                let is_repeated = seg.len > 0 && flow.caller_seq == Some(seg.seq);
                flow.record_caller_data(seg, now);
                flow.close_if_both_ended();
                if seg.resets {
                    self.service_time.remove(&key, now);
                } else if is_repeated && flow.request.is_pending() {
                    self.service_time.record_retransmission(key);
                } else if seg.len > 0 && flow.request.needs_slot(now) {
                    let slots = self.upstream.map_or(Slots(0), |upstream| upstream.slots);
                    self.service_time.record_request(key, slots, now);
                }
                CallerAction::Deliver
            }
            Stage::Lost if seg.resets => CallerAction::NotHeld,
            Stage::Lost => CallerAction::Reset,
            Stage::NotHeld => CallerAction::NotHeld,
        }
    }

    fn on_opening(&mut self, seg: &Segment, origin: Origin, now: Instant) -> CallerAction {
        let key = seg.key_from_caller();
        // Another run of the upstream may get this copy as its first datagram of the flow.
        let may_be_first = self.may_have_restarted && self.cold_allowance(now).is_some();
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.opening_seq == Some(seg.seq)
            && (flow.stage == Stage::Open || (flow.stage == Stage::Opening && !may_be_first))
        {
            // A retransmission. An unresponsive upstream would not answer it
            // either, and an evacuated one gets no flow that it has not accepted yet.
            flow.last_datagram_at = now;
            let not_open = flow.stage == Stage::Opening;
            return if self.is_unresponsive(now) || (self.evacuated && not_open) {
                CallerAction::PassOn
            } else {
                CallerAction::Deliver
            };
        }
        let is_held = self.cold_allowance(now) == Some(0);
        let is_probe = !is_held && self.may_probe(now);
        if !self.accepts_new_flows(now) && !is_probe {
            return CallerAction::PassOn;
        }
        if origin == Origin::Placed && (is_held || self.is_full(now)) {
            return CallerAction::PassOn;
        }
        if !is_probe && self.free_admissions(now) == 0 {
            return CallerAction::Wait;
        }
        if is_probe {
            self.last_probe_at = Some(now);
        }
        self.accept_opening(seg, now);
        CallerAction::Deliver
    }

    /// Whether to send an opening datagram to an unresponsive upstream as a
    /// probe.
    fn may_probe(&self, now: Instant) -> bool {
        let interval = self.settings.probe_interval;
        self.is_accepting()
            && self.is_unresponsive(now)
            && self.last_probe_at.is_none_or(|at| now >= at + interval)
    }

    /// Adds the flow of an opening datagram that was to be passed on because
    /// the upstream was full, or that waited.
    pub fn accept_opening(&mut self, seg: &Segment, now: Instant) {
        self.unanswered_since.get_or_insert(now);
        self.cold_limit.record_delivery(now);
        let flow = Flow {
            opening_seq: Some(seg.seq),
            incarnation: self.announced_incarnation(),
            ..Flow::new(Stage::Opening, now)
        };
        self.flows.insert(seg.key_from_caller(), flow);
    }

    fn on_unknown_flow(&mut self, seg: &Segment, origin: Origin, now: Instant) -> CallerAction {
        // For these origins, the balancer has a hint that names this agent,
        // from a claim or from placing the flow before this process started, or
        // no agent has claimed the flow.
        let trusted = matches!(origin, Origin::Held | Origin::Tried);
        if !trusted || self.is_complete(now) || seg.resets {
            return CallerAction::NotHeld;
        }
        let mut flow = Flow {
            incarnation: self.announced_incarnation(),
            unconfirmed_data: u8::from(seg.len > 0),
            ..Flow::new(Stage::Unconfirmed, now)
        };
        flow.record_caller_data(seg, now);
        self.flows.insert(seg.key_from_caller(), flow);
        CallerAction::Deliver
    }

    /// Whether the flow is unconfirmed: a datagram of it was delivered and the
    /// upstream has not answered yet.
    #[must_use]
    pub fn is_tried(&self, key: &FlowTuple) -> bool {
        let flow = self.flows.get(key);
        flow.is_some_and(|flow| flow.stage == Stage::Unconfirmed)
    }

    /// Records the balancer that forwarded a datagram of the flow.
    pub fn set_via(&mut self, key: &FlowTuple, via: SocketAddrV4) {
        if let Some(flow) = self.flows.get_mut(key) {
            flow.via = Some(via);
        }
    }

    /// Open flows whose last datagram was forwarded by a balancer that
    /// `is_selected` accepts, most recently used first, at most `limit`.
    #[must_use]
    pub fn flows_via(
        &self,
        is_selected: impl Fn(SocketAddrV4) -> bool,
        limit: usize,
    ) -> Vec<FlowTuple> {
        let open = self.flows.iter().filter(|(_, flow)| {
            let held = matches!(flow.stage, Stage::Opening | Stage::Open | Stage::Unverified);
            held && flow.via.is_some_and(&is_selected)
        });
        let mut open: Vec<(Instant, FlowTuple)> = open
            .map(|(key, flow)| (flow.last_datagram_at, *key))
            .collect();
        open.sort_unstable_by(|a, b| b.cmp(a));
        open.into_iter().take(limit).map(|(_, key)| key).collect()
    }

    /// Answers a balancer's query for the holder of a flow.
    #[must_use]
    pub fn claim(&self, key: &FlowTuple, seg: &Segment, now: Instant) -> Claim {
        match self.flows.get(key) {
            Some(flow) if !flow.acknowledges_upstream(seg) => Claim::No,
            Some(flow) => match flow.stage {
                Stage::Opening | Stage::Open | Stage::Unverified | Stage::Closed | Stage::Lost => {
                    Claim::Holds
                }
                Stage::Unconfirmed => Claim::Perhaps,
                Stage::NotHeld => Claim::No,
            },
            None if self.is_complete(now) => Claim::No,
            None => Claim::Perhaps,
        }
    }

    /// Decides what to do with a datagram of the upstream.
    pub fn upstream_datagram(&mut self, seg: &Segment, now: Instant) -> UpstreamAction {
        self.may_have_restarted |= self.is_unresponsive(now);
        self.unanswered_since = None;
        if seg.bounced {
            return self.on_bounced(seg, now);
        }
        let key = seg.key_from_upstream();
        let stage = self.flows.get(&key).map(|flow| flow.stage);
        let learned = matches!(
            stage,
            None | Some(Stage::Unconfirmed | Stage::NotHeld | Stage::Lost)
        );
        if seg.resets && (learned || stage == Some(Stage::Unverified)) {
            // The reset says only that the flow is unknown or closed.
            self.flows.remove(&key);
            return UpstreamAction::ToCaller { learned: false };
        }
        let incarnation = self.announced_incarnation();
        let flow = self
            .flows
            .entry(key)
            .or_insert_with(|| Flow::new(Stage::Open, now));
        flow.incarnation = incarnation;
        flow.last_datagram_at = now;
        if flow.stage != Stage::Closed {
            flow.stage = Stage::Open;
        }
        flow.record_upstream_data(seg);
        let answers = seg.len > 0 && flow.request.is_pending();
        if seg.len > 0 {
            flow.request = RequestProgress::Idle;
        }
        flow.upstream_ended |= seg.ends;
        if seg.resets {
            flow.stage = Stage::Closed;
            flow.request = RequestProgress::Idle;
            if self.service_time.has_slot(&key) {
                self.health.record_failure(now);
            }
        }
        flow.close_if_both_ended();
        if !answers && !flow.request.is_pending() {
            self.service_time.remove(&key, now);
        }
        if answers {
            self.first_byte_time = self.service_time.record_answer(&key, now);
            self.health.record_answer();
            let saturated = self.is_full(now);
            self.pace.record_answer(saturated, now);
        }
        UpstreamAction::ToCaller { learned }
    }

    fn on_bounced(&mut self, seg: &Segment, now: Instant) -> UpstreamAction {
        let key = seg.key_from_caller();
        let Some(flow) = self.flows.get_mut(&key) else {
            return UpstreamAction::Drop;
        };
        flow.last_datagram_at = now;
        flow.request = RequestProgress::Idle;
        if seg.is_opening() {
            if flow.stage == Stage::Opening {
                self.flows.remove(&key);
                self.health.record_failure(now);
                return UpstreamAction::PassOn;
            }
            return UpstreamAction::Drop;
        }
        match flow.stage {
            Stage::Unconfirmed => {
                flow.stage = Stage::NotHeld;
                UpstreamAction::NotHeld
            }
            // The upstream had accepted the flow, so it has restarted since.
            stage @ (Stage::Open | Stage::Unverified) if !seg.resets => {
                flow.stage = Stage::Lost;
                self.may_have_restarted |= stage == Stage::Open;
                self.service_time.remove(&key, now);
                UpstreamAction::Reset
            }
            Stage::Opening
            | Stage::Open
            | Stage::Unverified
            | Stage::Closed
            | Stage::Lost
            | Stage::NotHeld => UpstreamAction::Drop,
        }
    }

    /// Number of requests that the upstream should serve concurrently: half of
    /// its slots during its slow start, because requests then queue for longer
    /// there than at other upstreams.
    #[must_use]
    pub fn slots(&self, now: Instant) -> Slots {
        let Some(upstream) = &self.upstream else {
            return Slots(0);
        };
        let is_cold = upstream.slow_start_until.is_some_and(|until| now < until);
        if is_cold {
            Slots(upstream.slots.0.div_ceil(2))
        } else {
            upstream.slots
        }
    }

    /// Whether the upstream has at least as many requests as slots.
    #[must_use]
    pub fn is_full(&self, now: Instant) -> bool {
        self.load(now).busy_requests >= self.slots(now).0
    }

    /// Number of flows that the upstream can be given now.
    #[must_use]
    pub fn free_admissions(&self, now: Instant) -> usize {
        let free = self.slot_admissions(now);
        let allowance = self.cold_allowance(now);
        allowance.map_or(free, |allowance| free.min(allowance))
    }

    /// Number of flows that the upstream has room for.
    fn slot_admissions(&self, now: Instant) -> usize {
        let slots = self.upstream.map_or(Slots(0), |upstream| upstream.slots);
        let admitted = slots.0.saturating_mul(ADMITTED_PER_SLOT);
        let free = admitted.saturating_sub(self.load(now).busy_requests);
        usize::try_from(free).unwrap_or(usize::MAX)
    }

    /// When the upstream can be given the next flow that waits, and the interval between
    /// the flows after it.
    #[must_use]
    pub fn admission_schedule(&self, now: Instant) -> (Instant, Duration) {
        let pace = self.pace();
        let interval = self.cold_allowance(now).and(self.cold_limit.interval());
        let Some(interval) = interval else {
            // An unknown rate will be known before a caller gives up.
            return (now, pace);
        };
        let first = self.cold_limit.next_allowed_at(now).unwrap_or(now);
        (first, interval.max(pace))
    }

    /// Slots and load as the agent reports them, with `waiting` flows in its queue. A cold
    /// upstream has only as many free slots as it may get flows, and at least one in all:
    /// balancers take none for one.
    #[must_use]
    pub fn reported_load(&self, waiting: u32, now: Instant) -> (Slots, Load) {
        let mut slots = self.slots(now);
        let mut load = self.load(now);
        let allowance = self.cold_allowance(now);
        if let Some(allowance) = allowance.filter(|_| slots.0 > 0) {
            let allowance = u32::try_from(allowance).unwrap_or(u32::MAX);
            let usable = load.busy_requests.saturating_add(allowance);
            slots = Slots(usable.clamp(1, slots.0));
            if allowance == 0 {
                load.busy_requests = load.busy_requests.max(slots.0);
            }
        }
        // Flows that wait at the agent and go before new ones count as load.
        load.busy_requests = load.busy_requests.saturating_add(waiting);
        (slots, load)
    }

    /// Whether a datagram is a whole further request on an open flow, while the upstream
    /// has as many requests as it can be given. The first request of a flow has been
    /// admitted with its opening, and more of a large request may be on its way.
    #[must_use]
    pub fn exceeds_admissions(&self, seg: &Segment, now: Instant) -> bool {
        let Some(flow) = self.flows.get(&seg.key_from_caller()) else {
            return false;
        };
        let is_further = flow.stage == Stage::Open
            && flow.caller_seq.is_some()
            && !flow.request.is_pending()
            && flow.is_new_data(seg)
            && flow.acknowledges_upstream(seg);
        is_further && !(seg.is_full() || seg.ends || seg.resets) && self.free_admissions(now) == 0
    }

    /// Average time until the upstream frees a slot while it is saturated.
    #[must_use]
    pub fn pace(&self) -> Duration {
        self.pace.interval()
    }

    /// Estimated service time of the upstream; `None` before enough requests were served.
    #[must_use]
    pub fn service_time(&self) -> Option<ServiceTime> {
        self.service_time.service_time()
    }

    /// Time from the complete request to the first byte of its answer, if the last
    /// datagram of the upstream began an answer.
    pub fn take_first_byte_time(&mut self) -> Option<Duration> {
        self.first_byte_time.take()
    }

    /// Share of new flows that the upstream gets by its health.
    pub fn admitted_share(&mut self, now: Instant) -> AdmittedShare {
        let unanswered = [
            self.service_time.silent_since(),
            self.service_time.stuck_since(),
        ];
        let silent_since = unanswered.into_iter().flatten().min();
        let service_time = self.service_time.service_time();
        self.health.advance(silent_since, service_time, now)
    }

    /// Current load of the upstream.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        /// A new flow without a request stops counting as load after this time:
        /// several round trips to a caller.
        const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(60);
        let mut load = Load::default();
        for flow in self.flows.values() {
            let is_recent =
                flow.caller_seq.is_none() && now < flow.opened_at + FIRST_REQUEST_TIMEOUT;
            match flow.stage {
                Stage::Opening if is_recent => load.busy_requests += 1,
                Stage::Open => {
                    load.open_flows += 1;
                    load.busy_requests += u32::from(
                        flow.request.needs_slot(now) || (is_recent && flow.opening_seq.is_some()),
                    );
                }
                _ => {}
            }
        }
        load
    }

    /// Number of flows of which only the upstream knows whether it still holds them.
    #[must_use]
    pub fn unverified_flows(&self) -> usize {
        let flows = self.flows.values();
        flows.filter(|f| f.stage == Stage::Unverified).count()
    }

    /// Number of flows that wait for the first byte of an answer or are being
    /// opened.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let active = |flow: &&Flow| {
            flow.request.is_pending() || (flow.stage == Stage::Opening && flow.caller_seq.is_none())
        };
        self.flows.values().filter(active).count()
    }

    /// Removes flows that are idle or closed.
    pub fn expire(&mut self, now: Instant) {
        let cfg = self.settings;
        self.flows.retain(|_, flow| {
            let retention = match flow.stage {
                Stage::Open | Stage::Unverified | Stage::Unconfirmed => cfg.idle_timeout,
                // Otherwise a balancer would deliver another datagram on trial.
                Stage::NotHeld => cfg.recovery_period,
                Stage::Opening | Stage::Closed | Stage::Lost => cfg.linger_timeout,
            };
            now < flow.last_datagram_at + retention
        });
        let flows = &self.flows;
        let awaits = |key: &FlowTuple| flows.get(key).is_some_and(|flow| flow.request.is_pending());
        self.service_time.retain(awaits, now);
    }
}
