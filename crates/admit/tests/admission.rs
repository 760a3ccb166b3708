//! Admission decisions, one behaviour per test.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use admit::{
    Admission, ClaimAnswer, Decision, DeferredDecision, LoadReport, PeerAnswer, QueueOrder,
    RefusalReason, RequestInfo, RequestOutcome, ReservationAnswer, Settings,
};
use types::{
    ClassLoad, ClassLoads, ClassName, Connections, RequestId, ReservationId, Slots, Target,
    UpstreamId, UpstreamState,
};

const FIRST: UpstreamId = UpstreamId(1);
const SECOND: UpstreamId = UpstreamId(2);

fn class() -> ClassName {
    ClassName::default()
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn targets(slots: u32) -> BTreeMap<ClassName, Target> {
    let target = Target {
        carry: Slots(slots),
        connections: Connections(2),
        ..Target::default()
    };
    BTreeMap::from([(class(), target)])
}

/// An admission with `slots` slots and peers in the given data centres; the
/// data centre of the agent is `a`.
fn admission(now: Instant, slots: u32, peers: &[(UpstreamId, &str)]) -> Admission {
    admission_with_settings(now, slots, peers, Settings::default())
}

fn admission_with_settings(
    now: Instant,
    slots: u32,
    peers: &[(UpstreamId, &str)],
    settings: Settings,
) -> Admission {
    let mut a = Admission::new(settings, 7);
    a.set_targets(now, &targets(slots));
    let peers = peers.iter().map(|(id, dc)| (*id, dc.parse().unwrap()));
    a.set_peers(&"a".parse().unwrap(), &peers.collect());
    a
}

/// An admission with one slot, which request 1 uses.
fn admission_with_full_slot(now: Instant, peers: &[(UpstreamId, &str)]) -> Admission {
    let mut a = admission(now, 1, peers);
    assert_eq!(a.arrive(now, request(1)), Decision::Run);
    a
}

fn request(n: u64) -> RequestInfo {
    RequestInfo::new(RequestId(n), class())
}

fn loads(slots: u32, in_flight: u32) -> ClassLoads {
    let load = ClassLoad {
        slots: Slots(slots),
        in_flight: Slots(in_flight),
        queued: Slots(0),
    };
    BTreeMap::from([(class(), load)])
}

fn refused() -> PeerAnswer {
    PeerAnswer::Refused(loads(1, 1))
}

fn deferred(n: u64, decision: Decision) -> DeferredDecision {
    let id = RequestId(n);
    DeferredDecision { id, decision }
}

fn run(n: u64) -> DeferredDecision {
    deferred(n, Decision::Run)
}

fn refuse(n: u64, reason: RefusalReason) -> DeferredDecision {
    deferred(n, Decision::Refuse(reason))
}

/// An admission with one slot that request 1 uses, callers with equal shares and no peers.
fn fair_admission(now: Instant) -> Admission {
    let settings = Settings {
        fair_queueing: true,
        ..Settings::default()
    };
    let mut a = admission_with_settings(now, 1, &[], settings);
    assert_eq!(a.arrive(now, request_of(1, 1)), Decision::Run);
    a
}

fn request_of(n: u64, caller: u8) -> RequestInfo {
    RequestInfo {
        caller: Some([100, 64, 0, caller].into()),
        ..request(n)
    }
}

/// Guards against a caller that fills the queue, so that others are refused or wait behind
/// all of its requests.
#[test]
fn callers_get_equal_shares_of_slots_and_of_the_queue() {
    let now = Instant::now();
    let mut a = fair_admission(now);
    let until = now + Settings::default().queue_timeout;
    let queued = Decision::Queue { until };
    for n in 2..=5 {
        assert_eq!(a.arrive(now, request_of(n, 1)), queued);
    }
    // The queue holds four requests; the last one of the heavy caller makes room.
    assert_eq!(a.arrive(now, request_of(6, 2)), queued);
    assert_eq!(a.next_deadline(), Some(now));
    assert_eq!(a.tick(now), [refuse(5, RefusalReason::QueueFull)]);
    let beyond = a.arrive(now, request_of(7, 1));
    assert_eq!(beyond, Decision::Refuse(RefusalReason::QueueFull));
    for (ends, starts) in [(1, 2), (2, 6), (6, 3), (3, 4)] {
        let outcome = RequestOutcome::Completed;
        assert_eq!(a.finish(now, RequestId(ends), outcome), [run(starts)]);
    }
}

/// Guards against a queue that holds requests which no slot can serve in time, and against
/// refused callers that return before the backlog is served.
#[test]
fn a_request_that_no_slot_serves_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[]);
    let later = now + ms(400);
    assert_eq!(a.finish(later, RequestId(1), RequestOutcome::Completed), []);
    assert_eq!(a.arrive(later, request(2)), Decision::Run);
    let until = later + Settings::default().queue_timeout;
    assert_eq!(a.arrive(later, request(3)), Decision::Queue { until });
    // Two requests of 400 ms each go before it, and it waits for 500 ms at most.
    let reason = RefusalReason::QueueTimeout;
    assert_eq!(a.arrive(later, request(4)), Decision::Refuse(reason));
    let retries = (0..10).map(|_| a.refusal(later, &class(), reason).retry_after.0);
    let retries: Vec<u64> = retries.collect();
    // Places from 400 ms on, every 400 ms.
    assert!(retries.iter().all(|after| (1..=5).contains(after)));
    assert!(retries.iter().any(|after| *after >= 3), "{retries:?}");
}

/// Guards against a queued request that is kept until its deadline although requests turn
/// out to take too long for it.
#[test]
fn a_queued_request_is_refused_once_it_cannot_be_served_in_time() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[]);
    let mut info = request(3);
    info.deadline = Some(now + ms(450));
    assert!(matches!(a.arrive(now, request(2)), Decision::Queue { .. }));
    assert!(matches!(a.arrive(now, info), Decision::Queue { .. }));
    let finished = a.finish(now + ms(300), RequestId(1), RequestOutcome::Completed);
    assert_eq!(finished, [run(2), refuse(3, RefusalReason::Deadline)]);
}

/// Guards against peers that are asked out of order: own data centre first,
/// then by free slots, each once, and then the queue.
#[test]
fn peers_are_asked_by_data_centre_then_by_free_slots() {
    let now = Instant::now();
    let third = UpstreamId(3);
    let mut a = admission(now, 1, &[(FIRST, "b"), (SECOND, "b"), (third, "a")]);
    a.update_peer_loads(now, FIRST, &loads(4, 3));
    a.update_peer_loads(now, SECOND, &loads(4, 1));
    a.update_peer_loads(now, third, &loads(4, 4));
    assert_eq!(a.arrive(now, request(1)), Decision::Run);
    let mut decision = Some(a.arrive(now, request(2)));
    for peer in [third, SECOND, FIRST] {
        assert_eq!(decision, Some(Decision::AskPeer { peer }));
        decision = a.handle_peer_answer(now, RequestId(2), peer, refused());
    }
    let until = now + Settings::default().queue_timeout;
    assert_eq!(decision, Some(Decision::Queue { until }));
}

/// Guards against a large service in which each request asks every upstream.
#[test]
fn beyond_sixteen_peers_only_a_few_are_asked() {
    let now = Instant::now();
    let peers: Vec<_> = (1..=40).map(|n| (UpstreamId(n), "b")).collect();
    let mut a = admission_with_full_slot(now, &peers);
    let mut decision = Some(a.arrive(now, request(2)));
    let mut asked = Vec::new();
    while let Some(Decision::AskPeer { peer }) = decision {
        assert!(!asked.contains(&peer));
        asked.push(peer);
        decision = a.handle_peer_answer(now, RequestId(2), peer, PeerAnswer::Unreachable);
    }
    assert_eq!(asked.len(), 4);
}

/// Guards against a request that runs locally and is also forwarded to a peer.
#[test]
fn a_grant_after_a_local_start_is_released() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[(FIRST, "b")]);
    let peer = FIRST;
    assert_eq!(a.arrive(now, request(2)), Decision::AskPeer { peer });
    assert_eq!(
        a.finish(now, RequestId(1), RequestOutcome::Completed),
        [run(2)]
    );
    let late = a.handle_peer_answer(now, RequestId(2), peer, PeerAnswer::Granted);
    assert_eq!(late, Some(Decision::Release { peer }));
    assert_eq!(
        a.handle_peer_answer(now, RequestId(2), peer, refused()),
        None
    );
}

/// Guards against a handed-off request that is forwarded in a loop among
/// agents, and against one that waits at a second agent.
#[test]
fn a_handed_off_request_runs_at_once_or_is_refused() {
    let now = Instant::now();
    let mut a = admission(now, 1, &[(FIRST, "b")]);
    let handed_off = |n| RequestInfo {
        handed_off: true,
        ..request(n)
    };
    assert_eq!(a.arrive(now, handed_off(1)), Decision::Run);
    assert_eq!(
        a.arrive(now, handed_off(2)),
        Decision::Refuse(RefusalReason::NoFreeSlot)
    );
    a.set_leaving(now, true);
    let refusal = Decision::Refuse(RefusalReason::NotServing);
    assert_eq!(a.arrive(now, handed_off(3)), refusal);
}

/// Guards against two requests that share one slot and one decision.
#[test]
fn an_id_in_use_is_refused() {
    let now = Instant::now();
    let mut a = admission(now, 2, &[]);
    let refusal = Decision::Refuse(RefusalReason::DuplicateId);
    assert_eq!(a.arrive(now, request(1)), Decision::Run);
    assert_eq!(a.arrive(now, request(1)), refusal);
}

/// Guards against a retry at the upstream where the request failed.
#[test]
fn a_retry_runs_elsewhere_or_not_at_all() {
    let now = Instant::now();
    let mut a = admission(now, 1, &[(FIRST, "b")]);
    let elsewhere = RequestInfo {
        exclude_local: true,
        ..request(1)
    };
    let peer = FIRST;
    assert_eq!(a.arrive(now, elsewhere), Decision::AskPeer { peer });
    let refusal = Some(Decision::Refuse(RefusalReason::NotServing));
    assert_eq!(
        a.handle_peer_answer(now, RequestId(1), peer, refused()),
        refusal
    );
}

/// Guards against an unbounded queue and an unbounded waiting time.
#[test]
fn the_queue_is_bounded_in_length_and_time() {
    let now = Instant::now();
    let settings = Settings {
        max_queued_per_slot: 2,
        ..Settings::default()
    };
    let mut a = admission_with_settings(now, 1, &[], settings);
    a.arrive(now, request(1));
    let until = now + Settings::default().queue_timeout;
    for n in 2..=3 {
        assert_eq!(a.arrive(now, request(n)), Decision::Queue { until });
    }
    let full = Decision::Refuse(RefusalReason::QueueFull);
    assert_eq!(a.arrive(now, request(4)), full);
    assert_eq!(a.next_deadline(), Some(until));
    let timeouts = [2, 3].map(|n| refuse(n, RefusalReason::QueueTimeout));
    assert_eq!(a.tick(until), timeouts);
}

/// Guards against slots used for requests that cannot meet their deadline.
#[test]
fn a_deadline_that_cannot_be_met_is_refused_early() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[]);
    a.finish(now + ms(100), RequestId(1), RequestOutcome::Completed);
    let now = now + ms(100);
    let due = |n, at| RequestInfo {
        deadline: Some(at),
        ..request(n)
    };
    let refusal = Decision::Refuse(RefusalReason::Deadline);
    assert_eq!(a.arrive(now, due(2, now)), refusal);
    a.arrive(now, request(3));
    // A wait of 100 ms and half of a service time of 100 ms do not fit.
    assert_eq!(a.arrive(now, due(4, now + ms(140))), refusal);
    let until = now + ms(160);
    assert_eq!(a.arrive(now, due(5, until)), Decision::Queue { until });
    let finished = a.finish(now + ms(130), RequestId(3), RequestOutcome::Failed);
    assert_eq!(finished, [refuse(5, RefusalReason::Deadline)]);
}

/// Guards against a queue order other than the configured one.
#[test]
fn queued_requests_start_in_the_configured_order() {
    let cases = [
        (QueueOrder::Fifo, ms(0), 2),
        (QueueOrder::Lifo, ms(0), 3),
        (QueueOrder::Adaptive, ms(0), 2),
        (QueueOrder::Adaptive, ms(300), 3),
    ];
    for (queue_order, wait, next) in cases {
        let now = Instant::now();
        let settings = Settings {
            queue_order,
            ..Settings::default()
        };
        let mut a = admission_with_settings(now, 1, &[], settings);
        for n in 1..=3 {
            a.arrive(now, request(n));
        }
        let decisions = a.finish(now + wait, RequestId(1), RequestOutcome::Completed);
        assert_eq!(decisions, [run(next)], "{queue_order:?}");
    }
}

/// Guards against a slot that stays reserved for a peer that never claims it,
/// and against a claim after the slot was given to another request.
#[test]
fn a_reservation_expires_at_its_deadline() {
    let now = Instant::now();
    let mut a = admission(now, 1, &[]);
    let expires = now + ms(50);
    let granted = ReservationAnswer::Granted { expires };
    let id = ReservationId(9);
    for _ in 0..2 {
        assert_eq!(a.reserve(now, id, FIRST, &class(), expires), granted);
    }
    let other = a.reserve(now, ReservationId(8), FIRST, &class(), expires);
    assert_eq!(other, ReservationAnswer::Refused(loads(1, 1)));
    assert!(matches!(a.arrive(now, request(1)), Decision::Queue { .. }));
    assert_eq!(a.claim(expires, id, RequestId(2)), ClaimAnswer::Lapsed);
    assert_eq!(a.tick(expires), [run(1)]);
    assert_eq!(a.claim(expires, id, RequestId(2)), ClaimAnswer::Lapsed);
}

/// Guards against a reserved slot that is counted twice or given away.
#[test]
fn a_claim_turns_a_reservation_into_a_request() {
    let now = Instant::now();
    let mut a = admission(now, 1, &[]);
    a.reserve(now, ReservationId(9), FIRST, &class(), now + ms(50));
    a.set_leaving(now, true);
    assert_eq!(
        a.claim(now, ReservationId(9), RequestId(1)),
        ClaimAnswer::Run
    );
    a.set_leaving(now, false);
    assert_eq!(a.loads(), loads(1, 1));
    a.finish(now, RequestId(1), RequestOutcome::Completed);
    assert_eq!(a.loads(), loads(1, 0));
}

/// Guards against a slot that is idle while a request waits at a peer, and
/// against offers that bypass the local queue.
#[test]
fn a_free_slot_is_offered_to_a_refused_peer_after_the_local_queue() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[]);
    a.reserve(now, ReservationId(9), FIRST, &class(), now + ms(50));
    a.arrive(now, request(2));
    a.finish(now, RequestId(1), RequestOutcome::Completed);
    assert_eq!(a.take_offers(now), []);
    a.finish(now, RequestId(2), RequestOutcome::Completed);
    let offers = a.take_offers(now);
    assert_eq!(offers.len(), 1);
    assert_eq!(offers[0].peer, FIRST);
    assert_eq!(a.loads(), loads(1, 1));
    assert_eq!(a.claim(now, offers[0].id, RequestId(3)), ClaimAnswer::Run);
    a.finish(now, RequestId(3), RequestOutcome::Completed);
    assert_eq!(a.take_offers(now), []);
}

/// Guards against slots that are reserved for peers that no longer wait.
#[test]
fn a_refused_peer_gets_an_offer_only_within_the_offer_window() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[]);
    a.reserve(now, ReservationId(9), FIRST, &class(), now + ms(500));
    let late = now + Settings::default().offer_window;
    a.finish(late, RequestId(1), RequestOutcome::Completed);
    assert_eq!(a.take_offers(late), []);
}

/// Guards against asking a peer that has just asked because it is full.
#[test]
fn a_peer_that_asked_is_not_asked_during_the_backoff() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[(FIRST, "a"), (SECOND, "b")]);
    a.reserve(now, ReservationId(9), FIRST, &class(), now + ms(50));
    let peer = SECOND;
    assert_eq!(a.arrive(now, request(2)), Decision::AskPeer { peer });
    let later = now + Settings::default().full_peer_backoff;
    let peer = FIRST;
    assert_eq!(a.arrive(later, request(3)), Decision::AskPeer { peer });
}

/// Guards against an offer for which no request or more than one is forwarded.
#[test]
fn an_offer_takes_the_oldest_queued_request() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[]);
    a.arrive(now, request(2));
    let passed = deferred(2, Decision::Forward { peer: FIRST });
    assert_eq!(a.accept_offer(FIRST, &class()), Some(passed));
    assert_eq!(a.accept_offer(FIRST, &class()), None);
}

/// Guards against new work at a leaving upstream, against running requests that
/// are aborted there, and against queued requests that are not handed off.
#[test]
fn a_leaving_upstream_hands_off_and_finishes() {
    let now = Instant::now();
    let mut a = admission_with_full_slot(now, &[(FIRST, "b")]);
    a.arrive(now, request(2));
    a.handle_peer_answer(now, RequestId(2), FIRST, refused());
    let now = now + ms(100);
    let decision = Decision::AskPeer { peer: FIRST };
    assert_eq!(a.set_leaving(now, true), [deferred(2, decision)]);
    assert_eq!(a.state(), UpstreamState::Leaving);
    assert_eq!(a.arrive(now, request(3)), decision);
    assert!(!a.may_accept_connection());
    assert_eq!(a.loads()[&class()].free(), Slots(0));
    let reserved = a.reserve(now, ReservationId(9), FIRST, &class(), now + ms(50));
    assert!(matches!(reserved, ReservationAnswer::Refused(_)));
    assert_eq!(a.loads()[&class()].in_flight, Slots(1));
    assert_eq!(a.finish(now, RequestId(1), RequestOutcome::Completed), []);
}

/// Guards against work for an upstream that refuses connections, and against
/// one that is never probed again.
#[test]
fn an_upstream_is_down_after_failed_connects_until_a_probe_succeeds() {
    let mut now = Instant::now();
    let mut a = admission(now, 1, &[]);
    for _ in 0..2 {
        a.connect_failed(now);
    }
    a.connect_succeeded(now);
    for _ in 0..3 {
        assert_eq!(a.state(), UpstreamState::Ready);
        a.connect_failed(now);
    }
    assert_eq!(a.state(), UpstreamState::Down);
    assert!(matches!(a.arrive(now, request(1)), Decision::Queue { .. }));
    for delay in [100, 200, 400, 800, 1600, 2000, 2000] {
        assert!(!a.start_due_probe(now + ms(delay - 1)));
        now += ms(delay);
        assert!(a.start_due_probe(now));
        assert!(!a.start_due_probe(now));
        a.connect_failed(now);
    }
    assert_eq!(a.connect_succeeded(now), [run(1)]);
    assert_eq!(a.state(), UpstreamState::Ready);
}

/// Guards against a target that aborts requests or admits more than its slots.
#[test]
fn in_flight_decreases_under_a_lowered_target() {
    let now = Instant::now();
    let mut a = admission(now, 3, &[]);
    for n in 1..=4 {
        a.arrive(now, request(n));
    }
    assert_eq!(a.set_targets(now, &targets(1)), []);
    assert_eq!(a.loads()[&class()].in_flight, Slots(3));
    for n in 1..=2 {
        assert_eq!(a.finish(now, RequestId(n), RequestOutcome::Completed), []);
    }
    assert_eq!(
        a.finish(now, RequestId(3), RequestOutcome::Completed),
        [run(4)]
    );
    assert!(matches!(a.arrive(now, request(5)), Decision::Queue { .. }));
    assert_eq!(a.set_targets(now, &targets(2)), [run(5)]);
    a.arrive(now, request(6));
    let removed = a.set_targets(now, &BTreeMap::new());
    assert_eq!(removed, [refuse(6, RefusalReason::UnknownClass)]);
    let unknown = Decision::Refuse(RefusalReason::UnknownClass);
    assert_eq!(a.arrive(now, request(7)), unknown);
}

/// Guards against a report that raises the slots, one that contradicts the
/// count of the agent, and one that never expires.
#[test]
fn a_report_only_lowers_the_slots_and_expires() {
    let now = Instant::now();
    let limit = Settings::default().report_lifetime;
    let report = |slots, in_flight| LoadReport {
        slots: Slots(slots),
        in_flight: Slots(in_flight),
    };
    let cases = [
        (report(9, 1), ms(0), 4),
        (report(2, 1), ms(0), 2),
        (report(0, 1), ms(0), 0),
        (report(2, 0), ms(0), 4),
        (report(2, 1), limit, 4),
    ];
    for (report, age, slots) in cases {
        let mut a = admission(now, 4, &[]);
        a.arrive(now, request(1));
        a.apply_report(now, &class(), report);
        a.tick(now + age);
        assert_eq!(a.loads()[&class()].slots, Slots(slots), "{report:?}");
    }
}

/// Guards against load that is still sent to an upstream that sheds it.
#[test]
fn shed_load_lowers_the_slots_until_the_limit_expires() {
    let now = Instant::now();
    let mut a = admission(now, 4, &[]);
    for n in 1..=4 {
        a.arrive(now, request(n));
    }
    a.finish(now, RequestId(1), RequestOutcome::Shed);
    assert_eq!(a.loads()[&class()].slots, Slots(3));
    a.tick(now + Settings::default().report_lifetime);
    assert_eq!(a.loads()[&class()].slots, Slots(4));
}

/// Guards against more connections than the target allows.
#[test]
fn connections_are_bounded() {
    let now = Instant::now();
    let mut a = admission(now, 1, &[]);
    for _ in 0..2 {
        assert!(a.may_accept_connection());
        a.connection_opened();
    }
    assert!(!a.may_accept_connection());
    a.connection_closed();
    assert!(a.may_accept_connection());
}
