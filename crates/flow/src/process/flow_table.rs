//! What an agent knows of the flows of its upstream.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use types::Slots;

use crate::{
    FlowTuple, Segment,
    connection::{Flow, Stage},
};

/// Times and bounds of a [`FlowTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowTableSettings {
    /// A flow without a datagram for this long is forgotten. Above the time
    /// after which the ends of a flow discard it.
    pub idle_timeout: Duration,
    /// A closed flow is kept for this long, for copies of its last datagrams.
    pub linger_timeout: Duration,
    /// After a start, flows that the upstream may hold from before are looked
    /// for during this time: the longest pause of an open flow.
    pub recovery_period: Duration,
    /// An upstream that left an opening datagram unanswered for this long
    /// counts as silent. A living one answers within a few milliseconds.
    pub response_timeout: Duration,
    /// A silent upstream is given one opening datagram in this time.
    pub probe_interval: Duration,
    /// Flows kept at most; beyond that nothing new is accepted.
    pub max_flows: usize,
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
        }
    }
}

/// What an agent is told of its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// Differs for each run of the upstream; `None` while it has not announced
    /// itself and is only known to listen.
    pub incarnation: Option<u64>,
    /// Requests that it serves at a time.
    pub slots: Slots,
    /// Whether it takes new flows: it is neither leaving nor gone.
    pub accepting: bool,
    /// It started before its agent, so it may hold flows that the agent has
    /// never seen.
    pub started_before_agent: bool,
    /// It is slow after its start until then.
    pub slow_start_until: Option<Instant>,
}

impl UpstreamStatus {
    /// An upstream that listens and has not announced itself yet. An agent that
    /// has restarted need not wait for that to give it flows.
    #[must_use]
    pub fn listening() -> Self {
        /// As few slots as an upstream may have and still serve two callers.
        const ASSUMED: Slots = Slots(2);
        UpstreamStatus {
            incarnation: None,
            slots: ASSUMED,
            accepting: true,
            started_before_agent: true,
            slow_start_until: None,
        }
    }

    /// An upstream that takes flows, is not cold and started with its agent.
    #[must_use]
    pub fn ready(incarnation: u64, slots: Slots) -> Self {
        UpstreamStatus {
            incarnation: Some(incarnation),
            slots,
            accepting: true,
            started_before_agent: false,
            slow_start_until: None,
        }
    }
}

/// How a datagram of a caller came to this agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// Placed by a balancer.
    Placed,
    /// Passed on by a peer that does not take it. It is not passed on because
    /// of load again.
    Passed,
    /// Sent by a balancer to which this agent claimed the flow.
    Held,
    /// Sent by a balancer that no agent claimed the flow to; this one may hold it.
    Tried,
}

/// What to do with a datagram of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAction {
    /// Give it to the upstream.
    Deliver,
    /// Give it to a peer: the upstream takes no new flow, or is full.
    PassOn,
    /// The flow is not held here: tell the balancer.
    NotHeld,
    /// The upstream has lost the flow: break it off towards the caller.
    Reset,
}

/// What to do with a datagram of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamAction {
    /// Send it to the caller. `learned` is set if the flow was not known: the
    /// balancer that asked should be told.
    ToCaller {
        /// The flow was not held before.
        learned: bool,
    },
    /// An opening datagram came back: give it to a peer.
    PassOn,
    /// A datagram came back that was tried here: tell the balancer.
    NotHeld,
    /// The upstream has lost the flow: break it off towards the caller.
    Reset,
    /// Nothing is left to do.
    Drop,
}

/// What an agent answers when it is asked for a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Claim {
    /// It holds the flow.
    Holds,
    /// It has started beside an upstream that may hold the flow.
    Perhaps,
    /// It does not hold the flow.
    No,
}

/// Work of an upstream, as its agent sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that wait for the first byte of their answer, and new flows
    /// whose request is still to come.
    pub busy_requests: u32,
    /// Open flows.
    pub open_flows: u32,
}

/// The flows of an upstream. See the [crate] documentation.
#[derive(Debug)]
pub struct FlowTable {
    settings: FlowTableSettings,
    upstream: Option<UpstreamStatus>,
    /// Flows that the upstream may hold unseen are looked for until then.
    relearn_until: Instant,
    flows: BTreeMap<FlowTuple, Flow>,
    /// The first opening datagram that the upstream has not answered, since
    /// its last sign of life.
    unanswered: Option<Instant>,
    /// When a silent upstream was last given an opening datagram.
    probed: Option<Instant>,
}

impl FlowTable {
    /// Holds nothing yet.
    #[must_use]
    pub fn new(settings: FlowTableSettings, now: Instant) -> Self {
        FlowTable {
            settings,
            upstream: None,
            relearn_until: now + settings.recovery_period,
            flows: BTreeMap::new(),
            unanswered: None,
            probed: None,
        }
    }

    /// Notes what is known of the upstream. Flows of an earlier run of it are lost.
    pub fn set_upstream(&mut self, upstream: Option<UpstreamStatus>, now: Instant) {
        let known = self.upstream.and_then(|upstream| upstream.incarnation);
        let present = upstream.and_then(|upstream| upstream.incarnation);
        if known.is_some() && present.is_some() && known != present {
            for flow in self.flows.values_mut() {
                flow.stage = Stage::Lost;
                flow.waiting = false;
            }
            self.unanswered = None;
        }
        if upstream.is_some_and(|upstream| !upstream.started_before_agent) {
            self.relearn_until = now;
        }
        self.upstream = upstream;
    }

    /// What is known of the upstream.
    #[must_use]
    pub fn upstream(&self) -> Option<&UpstreamStatus> {
        self.upstream.as_ref()
    }

    /// Whether the upstream left an opening datagram unanswered for too long.
    #[must_use]
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let limit = self.settings.response_timeout;
        self.unanswered.is_some_and(|since| now >= since + limit)
    }

    /// Whether new flows may be given to the upstream.
    #[must_use]
    pub fn accepts_new_flows(&self, now: Instant) -> bool {
        let accepting = self.upstream.is_some_and(|upstream| upstream.accepting);
        accepting && self.flows.len() < self.settings.max_flows && !self.is_unresponsive(now)
    }

    /// Decides about a datagram of a caller.
    pub fn caller_datagram(&mut self, seg: &Segment, origin: Origin, now: Instant) -> CallerAction {
        if seg.is_opening() {
            return self.opening(seg, origin, now);
        }
        let key = seg.key_from_caller();
        let Some(flow) = self.flows.get_mut(&key) else {
            return self.unknown(seg, origin, now);
        };
        flow.last = now;
        if !flow.fits(seg) {
            return CallerAction::NotHeld;
        }
        match flow.stage {
            Stage::Opening | Stage::Open | Stage::Closed | Stage::Tried => {
                flow.note_caller(seg);
                flow.note_end();
                CallerAction::Deliver
            }
            Stage::Lost if seg.resets => CallerAction::NotHeld,
            Stage::Lost => CallerAction::Reset,
            Stage::Foreign => CallerAction::NotHeld,
        }
    }

    fn opening(&mut self, seg: &Segment, origin: Origin, now: Instant) -> CallerAction {
        let key = seg.key_from_caller();
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.opening == Some(seg.seq)
            && matches!(flow.stage, Stage::Opening | Stage::Open)
        {
            // A copy. A silent upstream will not answer this one either.
            flow.last = now;
            return if self.is_unresponsive(now) {
                CallerAction::PassOn
            } else {
                CallerAction::Deliver
            };
        }
        let probes = self.may_probe(now);
        if !self.accepts_new_flows(now) && !probes {
            return CallerAction::PassOn;
        }
        if origin == Origin::Placed && self.is_full(now) {
            return CallerAction::PassOn;
        }
        if probes {
            self.probed = Some(now);
        }
        self.unanswered.get_or_insert(now);
        let flow = Flow {
            opening: Some(seg.seq),
            ..Flow::new(Stage::Opening, now)
        };
        self.flows.insert(key, flow);
        CallerAction::Deliver
    }

    /// Whether a silent upstream gets an opening datagram, to see if it is back.
    fn may_probe(&self, now: Instant) -> bool {
        let accepting = self.upstream.is_some_and(|upstream| upstream.accepting);
        let pause = self.settings.probe_interval;
        accepting && self.is_unresponsive(now) && self.probed.is_none_or(|at| now >= at + pause)
    }

    /// Takes back the record of an opening datagram that went to a peer because
    /// the upstream was full, when no peer takes it.
    pub fn accept_opening(&mut self, seg: &Segment, now: Instant) {
        self.unanswered.get_or_insert(now);
        let flow = Flow {
            opening: Some(seg.seq),
            ..Flow::new(Stage::Opening, now)
        };
        self.flows.insert(seg.key_from_caller(), flow);
    }

    fn unknown(&mut self, seg: &Segment, origin: Origin, now: Instant) -> CallerAction {
        // A balancer whose hint says that this agent holds the flow had it
        // confirmed, or placed its opening here, before this process started.
        let trusted = matches!(origin, Origin::Held | Origin::Tried);
        if !trusted || !self.is_relearning(now) || seg.resets {
            return CallerAction::NotHeld;
        }
        let mut flow = Flow::new(Stage::Tried, now);
        flow.note_caller(seg);
        self.flows.insert(seg.key_from_caller(), flow);
        CallerAction::Deliver
    }

    /// Whether the upstream may hold flows that were never seen here. Every
    /// agent is young for a while; only beside an older upstream does it matter.
    fn is_relearning(&self, now: Instant) -> bool {
        now < self.relearn_until
    }

    /// Whether a datagram of the flow was tried and the upstream has not reacted.
    #[must_use]
    pub fn is_tried(&self, key: &FlowTuple) -> bool {
        let flow = self.flows.get(key);
        flow.is_some_and(|flow| flow.stage == Stage::Tried)
    }

    /// Notes the balancer that took a datagram of a flow from its caller.
    pub fn set_via(&mut self, key: &FlowTuple, via: SocketAddrV4) {
        if let Some(flow) = self.flows.get_mut(key) {
            flow.via = Some(via);
        }
    }

    /// The open flows whose last datagram came by way of a balancer that `by`
    /// accepts, those in use last first and `most` at most.
    #[must_use]
    pub fn flows_via(&self, by: impl Fn(SocketAddrV4) -> bool, most: usize) -> Vec<FlowTuple> {
        let open = self.flows.iter().filter(|(_, flow)| {
            let held = matches!(flow.stage, Stage::Opening | Stage::Open);
            held && flow.via.is_some_and(&by)
        });
        let mut open: Vec<(Instant, FlowTuple)> =
            open.map(|(key, flow)| (flow.last, *key)).collect();
        open.sort_unstable_by(|a, b| b.cmp(a));
        open.into_iter().take(most).map(|(_, key)| key).collect()
    }

    /// Answers a balancer that looks for the holder of a flow.
    #[must_use]
    pub fn claim(&self, key: &FlowTuple, seg: &Segment, now: Instant) -> Claim {
        match self.flows.get(key) {
            Some(flow) if !flow.fits(seg) => Claim::No,
            Some(flow) => match flow.stage {
                Stage::Opening | Stage::Open | Stage::Closed | Stage::Lost => Claim::Holds,
                Stage::Tried => Claim::Perhaps,
                Stage::Foreign => Claim::No,
            },
            None if self.is_relearning(now) => Claim::Perhaps,
            None => Claim::No,
        }
    }

    /// Decides about a datagram of the upstream.
    pub fn upstream_datagram(&mut self, seg: &Segment, now: Instant) -> UpstreamAction {
        self.unanswered = None;
        if seg.bounced {
            return self.bounced(seg, now);
        }
        let key = seg.key_from_upstream();
        let learned = self
            .flows
            .get(&key)
            .is_none_or(|flow| matches!(flow.stage, Stage::Tried | Stage::Foreign | Stage::Lost));
        if learned && seg.resets {
            // Says only that the flow is unknown or over.
            self.flows.remove(&key);
            return UpstreamAction::ToCaller { learned: false };
        }
        let flow = self
            .flows
            .entry(key)
            .or_insert_with(|| Flow::new(Stage::Open, now));
        flow.last = now;
        if flow.stage != Stage::Closed {
            flow.stage = Stage::Open;
        }
        flow.note_upstream(seg);
        if seg.len > 0 {
            flow.waiting = false;
        }
        flow.upstream_ended |= seg.ends;
        if seg.resets {
            flow.stage = Stage::Closed;
            flow.waiting = false;
        }
        flow.note_end();
        UpstreamAction::ToCaller { learned }
    }

    fn bounced(&mut self, seg: &Segment, now: Instant) -> UpstreamAction {
        let key = seg.key_from_caller();
        let Some(flow) = self.flows.get_mut(&key) else {
            return UpstreamAction::Drop;
        };
        flow.last = now;
        flow.waiting = false;
        if seg.is_opening() {
            if flow.stage == Stage::Opening {
                self.flows.remove(&key);
                return UpstreamAction::PassOn;
            }
            return UpstreamAction::Drop;
        }
        match flow.stage {
            Stage::Tried => {
                flow.stage = Stage::Foreign;
                UpstreamAction::NotHeld
            }
            // The upstream had agreed to the flow: it has restarted since.
            Stage::Open if !seg.resets => {
                flow.stage = Stage::Lost;
                UpstreamAction::Reset
            }
            Stage::Opening | Stage::Open | Stage::Closed | Stage::Lost | Stage::Foreign => {
                UpstreamAction::Drop
            }
        }
    }

    /// Requests that the upstream should serve at a time. A cold one is given
    /// half: it is slow, so what it is given waits there longer than elsewhere.
    #[must_use]
    pub fn slots(&self, now: Instant) -> Slots {
        let Some(upstream) = &self.upstream else {
            return Slots(0);
        };
        let cold = upstream.slow_start_until.is_some_and(|until| now < until);
        if cold {
            Slots(upstream.slots.0.div_ceil(2))
        } else {
            upstream.slots
        }
    }

    /// Whether the upstream has as many requests as slots.
    #[must_use]
    pub fn is_full(&self, now: Instant) -> bool {
        self.load(now).busy_requests >= self.slots(now).0
    }

    /// The work of the upstream.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        /// An opening that brought no request for this long does not count as
        /// work: several times the way to a caller and back.
        const OPENING: Duration = Duration::from_millis(60);
        let mut load = Load::default();
        for flow in self.flows.values() {
            let fresh = flow.caller_seq.is_none() && now < flow.opened_at + OPENING;
            match flow.stage {
                Stage::Opening if fresh => load.busy_requests += 1,
                Stage::Open => {
                    load.open_flows += 1;
                    load.busy_requests +=
                        u32::from(flow.waiting || (fresh && flow.opening.is_some()));
                }
                _ => {}
            }
        }
        load
    }

    /// Flows that wait for the first byte of an answer, or have only begun.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let active = |flow: &&Flow| {
            flow.waiting || (flow.stage == Stage::Opening && flow.caller_seq.is_none())
        };
        self.flows.values().filter(active).count()
    }

    /// Forgets flows that are idle or over.
    pub fn expire(&mut self, now: Instant) {
        let cfg = self.settings;
        self.flows.retain(|_, flow| {
            let keep = match flow.stage {
                Stage::Open | Stage::Tried => cfg.idle_timeout,
                Stage::Opening | Stage::Closed | Stage::Lost | Stage::Foreign => cfg.linger_timeout,
            };
            now < flow.last + keep
        });
    }
}
