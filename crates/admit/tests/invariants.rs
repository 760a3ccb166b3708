//! Invariants that hold after any sequence of inputs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use admit::{
    Admission, ClaimAnswer, Decision, DeferredDecision, LoadReport, PeerAnswer, QueueOrder,
    RequestInfo, RequestOutcome, ReservationAnswer, Settings,
};
use arbtest::{
    arbitrary::{Result, Unstructured},
    arbtest,
};
use types::{ClassName, RequestId, ReservationId, Slots, Target, UpstreamId};

/// Number of random cases; the case number is the seed.
const CASES: u64 = 512;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 2048;

/// An admission and the state of a simulated agent around it.
struct Agent {
    admission: Admission,
    settings: Settings,
    now: Instant,
    slots: u32,
    next_id: u64,
    /// Requests without a final decision, each with its timeout and deadline.
    waiting: BTreeMap<RequestId, (Instant, Option<Instant>)>,
    running: BTreeSet<RequestId>,
    pending_asks: Vec<(RequestId, UpstreamId)>,
    reservations: Vec<ReservationId>,
    /// Requests in flight and queued after the last input.
    last_load: (u32, u32),
}

fn class() -> ClassName {
    ClassName::default()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

impl Agent {
    fn new(u: &mut Unstructured<'_>) -> Self {
        let orders = [QueueOrder::Fifo, QueueOrder::Lifo, QueueOrder::Adaptive];
        let settings = Settings {
            queue_order: orders[u.choose_index(3).unwrap_or(0)],
            max_queued_per_slot: 2,
            fair_queueing: u.ratio(1, 2).unwrap_or(false),
            max_unqueued_asking: 3,
            ..Settings::default()
        };
        let now = Instant::now();
        let mut admission = Admission::new(settings.clone(), 3);
        let peers = (1..=3).map(|n| (UpstreamId(n), "a".parse().unwrap()));
        admission.set_peers(&"a".parse().unwrap(), &peers.collect());
        let mut agent = Agent {
            admission,
            settings,
            now,
            slots: 0,
            next_id: 0,
            waiting: BTreeMap::new(),
            running: BTreeSet::new(),
            pending_asks: Vec::new(),
            reservations: Vec::new(),
            last_load: (0, 0),
        };
        agent.set_slots(2);
        agent
    }

    fn set_slots(&mut self, slots: u32) -> Vec<DeferredDecision> {
        self.slots = slots;
        let target = Target {
            carry: Slots(slots),
            ..Target::default()
        };
        let targets = BTreeMap::from([(class(), target)]);
        self.admission.set_targets(self.now, &targets)
    }

    fn apply_all(&mut self, decisions: Vec<DeferredDecision>) {
        for deferred in decisions {
            self.decide(deferred.id, deferred.decision);
        }
    }

    /// Applies a decision, which must be for a request without a final one.
    fn decide(&mut self, id: RequestId, decision: Decision) {
        let (until, deadline) = self.waiting[&id];
        if decision.is_final() {
            self.waiting.remove(&id);
        }
        match decision {
            Decision::Run => {
                assert!(
                    deadline.is_none_or(|at| self.now < at),
                    "a request ran after its deadline"
                );
                assert!(self.running.insert(id));
            }
            Decision::AskPeer { peer } => self.pending_asks.push((id, peer)),
            Decision::Queue { until: at } => assert!(at <= until),
            Decision::Release { .. } => panic!("release of a slot of a waiting request"),
            Decision::Forward { .. } | Decision::Refuse(_) => {}
        }
    }

    fn arrive(&mut self, u: &mut Unstructured<'_>) -> Result<Vec<DeferredDecision>> {
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let allowed = u.int_in_range(0..=400)?;
        let deadline = u.ratio(1, 2)?.then(|| self.now + ms(allowed));
        let limit = self.now + self.settings.queue_timeout;
        let until = deadline.map_or(limit, |at| at.min(limit));
        self.waiting.insert(id, (until, deadline));
        let mut info = RequestInfo::new(id, class());
        info.caller = Some([100, 64, 0, u.int_in_range(1..=3)?].into());
        info.deadline = deadline;
        info.handed_off = u.ratio(1, 8)?;
        info.exclude_local = u.ratio(1, 8)?;
        let handed_off = info.handed_off;
        let decision = self.admission.arrive(self.now, info);
        assert!(
            !handed_off || decision.is_final(),
            "a handed-off request got no final decision"
        );
        Ok(vec![DeferredDecision { id, decision }])
    }

    fn answer(&mut self, u: &mut Unstructured<'_>) -> Result<Vec<DeferredDecision>> {
        if self.pending_asks.is_empty() {
            return Ok(Vec::new());
        }
        let index = u.choose_index(self.pending_asks.len())?;
        let (id, peer) = self.pending_asks.swap_remove(index);
        let granted = u.ratio(1, 4)?;
        let answer = if granted {
            PeerAnswer::Granted
        } else if u.ratio(1, 4)? {
            PeerAnswer::Unreachable
        } else {
            PeerAnswer::Refused(self.admission.loads())
        };
        let decision = self
            .admission
            .handle_peer_answer(self.now, id, peer, answer);
        if self.waiting.contains_key(&id) {
            let decision = decision.expect("the request waits for this answer");
            return Ok(vec![DeferredDecision { id, decision }]);
        }
        assert_eq!(decision, granted.then_some(Decision::Release { peer }));
        Ok(Vec::new())
    }

    fn end(&mut self, u: &mut Unstructured<'_>) -> Result<Vec<DeferredDecision>> {
        let ids: Vec<RequestId> = self.running.iter().copied().collect();
        if ids.is_empty() {
            return Ok(Vec::new());
        }
        let id = *u.choose(&ids)?;
        self.running.remove(&id);
        if u.ratio(1, 4)? {
            return Ok(self.admission.cancel(self.now, id));
        }
        let outcomes = [
            RequestOutcome::Completed,
            RequestOutcome::Failed,
            RequestOutcome::Shed,
        ];
        let outcome = *u.choose(&outcomes)?;
        Ok(self.admission.finish(self.now, id, outcome))
    }

    fn serve_peer(&mut self, u: &mut Unstructured<'_>) -> Result<Vec<DeferredDecision>> {
        self.next_id += 1;
        let until = self.now + ms(u.int_in_range(1..=100)?);
        let id = ReservationId(self.next_id);
        let request = RequestId(self.next_id);
        let known = self.reservations.pop();
        match (u.int_in_range(0..=2)?, known) {
            (0, Some(known)) => {
                if self.admission.claim(self.now, known, request) == ClaimAnswer::Run {
                    self.running.insert(request);
                }
            }
            (1, Some(known)) => return Ok(self.admission.release(self.now, known)),
            (_, known) => {
                self.reservations.extend(known);
                let peer = UpstreamId(u.int_in_range(1..=3)?);
                let answer = self.admission.reserve(self.now, id, peer, &class(), until);
                if matches!(answer, ReservationAnswer::Granted { .. }) {
                    self.reservations.push(id);
                }
            }
        }
        Ok(Vec::new())
    }

    fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.now += ms(u.int_in_range(0..=30)?);
        let decisions = match u.int_in_range(0..=15)? {
            0..=4 => self.arrive(u)?,
            5..=6 => self.answer(u)?,
            7..=8 => self.end(u)?,
            9..=10 => self.serve_peer(u)?,
            11 => self.set_slots(u.int_in_range(0..=4)?),
            12 => self.admission.set_leaving(self.now, u.arbitrary()?),
            13 if u.ratio(1, 4)? => self.admission.connect_succeeded(self.now),
            13 => self.admission.connect_failed(self.now),
            14 => {
                let report = LoadReport {
                    slots: Slots(u.int_in_range(0..=6)?),
                    in_flight: Slots(u.int_in_range(0..=6)?),
                };
                self.admission.apply_report(self.now, &class(), report)
            }
            _ => Vec::from_iter(self.admission.accept_offer(UpstreamId(1), &class())),
        };
        self.apply_all(decisions);
        let decisions = self.admission.tick(self.now);
        self.apply_all(decisions);
        let offers = self.admission.take_offers(self.now);
        self.reservations
            .extend(offers.iter().map(|offer| offer.id));
        self.check();
        Ok(())
    }

    fn check(&mut self) {
        let load = self.admission.loads()[&class()];
        let (in_flight, queued) = (load.in_flight.0, load.queued.0);
        let running = u32::try_from(self.running.len()).unwrap();
        assert!(running <= in_flight, "a running request holds no slot");
        let (former_in_flight, former_queued) = self.last_load;
        assert!(
            in_flight <= self.slots.max(former_in_flight),
            "more requests in flight than slots"
        );
        let bound = self.slots * self.settings.max_queued_per_slot;
        assert!(
            queued <= bound.max(former_queued),
            "more requests queued than the queue may hold"
        );
        let overdue = self.waiting.values().find(|(until, _)| *until <= self.now);
        assert_eq!(overdue, None, "a request waits past its timeout");
        if let Some((first, _)) = self.waiting.values().min() {
            assert!(
                self.admission
                    .next_deadline()
                    .is_some_and(|at| at <= *first)
            );
        }
        self.last_load = (in_flight, queued);
    }
}

/// Guards against an upstream with more requests than slots, a queue above its
/// limit, a request that is lost, decided twice, run twice or started after its
/// deadline, and a handed-off request that is handed off again or queued.
#[test]
fn invariants_hold_after_any_inputs() {
    for case in 0..CASES {
        arbtest(|u| {
            let mut agent = Agent::new(u);
            while !u.is_empty() {
                agent.step(u)?;
            }
            agent.now += agent.settings.queue_timeout + agent.settings.reservation_timeout;
            let decisions = agent.admission.tick(agent.now);
            agent.apply_all(decisions);
            assert!(agent.waiting.is_empty(), "a request got no final decision");
            for id in std::mem::take(&mut agent.running) {
                let decisions = agent.admission.cancel(agent.now, id);
                agent.apply_all(decisions);
            }
            let load = agent.admission.loads().get(&class()).copied();
            assert_eq!(load.unwrap_or_default().in_flight, Slots(0), "a slot leaks");
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}
