//! Order of waiting requests: objectives, priorities, shares and starvation.

use std::time::{Duration, Instant};

use queueing::{FairOrder, FreeSlot, SlotSchedule, Ties, Urgency, WaitingQueue};
use types::Priority;

type Queue = WaitingQueue<u32, &'static str, ()>;

fn urgency(share: &'static str, priority: u8, now: Instant) -> Urgency<&'static str> {
    Urgency {
        share,
        priority: Priority(priority),
        since: now,
        objective_until: Some(now + Duration::from_millis(250)),
        given_up_at: Some(now + Duration::from_millis(1400)),
    }
}

fn slot(at: Instant) -> FreeSlot {
    let answer_time = Duration::from_millis(20);
    FreeSlot { at, answer_time }
}

/// The ids of the requests that get the next slots.
fn served(queue: &mut Queue, order: &mut FairOrder<&'static str>, at: Instant) -> Vec<u32> {
    let pop = || queue.pop(order, slot(at)).map(|(id, ())| id);
    std::iter::from_fn(pop).collect()
}

/// Guards against less urgent or late requests that go before more urgent ones, and against
/// shares that change the order where they are left out.
#[test]
fn without_shares_requests_go_by_objective_priority_and_arrival() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let past = now.checked_sub(Duration::from_millis(300)).unwrap();
    queue.push(1, urgency("a", 1, past), ());
    queue.push(2, urgency("a", 2, now), ());
    queue.push(3, urgency("a", 1, now), ());
    queue.push(4, urgency("a", 1, now + Duration::from_millis(1)), ());
    queue.push(5, urgency("b", 1, now), ());
    for (ties, expected) in [
        (Ties::NewestFirst, [4, 5, 3, 2, 1]),
        (Ties::OldestFirst, [3, 5, 4, 2, 1]),
    ] {
        let mut order = FairOrder::without_shares(ties);
        assert_eq!(served(&mut queue.clone(), &mut order, now), expected);
    }
}

/// Guards against a caller that gets more slots than another that waits, against slots that
/// stay unused because a caller has had its share, and against more urgent work that makes
/// the shares of a priority be forgotten.
#[test]
fn shares_of_a_priority_are_equal() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let mut order = FairOrder::with_shares(Ties::OldestFirst);
    for id in 0..40 {
        queue.push(id, urgency("heavy", 2, now), ());
    }
    for id in 100..103 {
        queue.push(id, urgency("light", 2, now), ());
        queue.push(id + 100, urgency("urgent", 1, now), ());
    }
    let all = served(&mut queue, &mut order, now);
    assert_eq!(all[..9], [200, 201, 202, 0, 100, 1, 101, 2, 102]);
    assert_eq!(all.len(), 46);
}

/// Guards against a caller below its share that is refused in place of one above it.
#[test]
fn requests_beyond_a_share_are_refused_first() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let order = FairOrder::with_shares(Ties::OldestFirst);
    for id in 0..40 {
        queue.push(id, urgency("heavy", 2, now), ());
    }
    for id in 100..105 {
        queue.push(id, urgency("light", 2, now), ());
    }
    let schedule = SlotSchedule {
        first_at: now,
        interval: Duration::from_millis(100),
        lead_time: Duration::from_millis(25),
    };
    let refused = queue.take_hopeless(&order, slot(now), schedule, 512);
    // Slots become free at 0, 100, ... 1300 ms, before 1375 ms.
    assert_eq!(queue.len(), 14);
    assert!(refused.iter().all(|(id, ())| *id < 40), "{refused:?}");
}

/// Guards against requests that starve behind more urgent ones, and against an eighth that
/// grows while nothing waits for it.
#[test]
fn a_priority_gets_an_eighth_of_what_overtakes_it() {
    let now = Instant::now();
    let mut queue = Queue::default();
    let mut order = FairOrder::with_shares(Ties::OldestFirst);
    for id in 0..32 {
        queue.push(id, urgency("a", 1, now), ());
    }
    queue.push(100, urgency("b", 2, now), ());
    queue.push(101, urgency("b", 2, now), ());
    let all = served(&mut queue, &mut order, now);
    let places = [100, 101].map(|id| all.iter().position(|served| *served == id).unwrap());
    assert_eq!(places, [8, 17]);
}
