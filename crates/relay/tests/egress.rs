//! Pacing of datagrams to a low-bandwidth link.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use flow::FlowTuple;
use relay::{EgressQueue, Traffic};
use types::{BytesPerSecond, Priority};

const DESTINATION: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000);

/// 4.6 Mbit/s, the rate of the hosts with the slowest links.
fn slow_link() -> BytesPerSecond {
    BytesPerSecond::from_megabits(4.6).unwrap()
}

/// Flow `n`, of a route with the priority.
fn flow(n: u16, priority: u8) -> Traffic {
    let key = FlowTuple {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), n),
        service: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    };
    Traffic::Flow(key, Priority(priority))
}

/// Pushes a datagram of `len` bytes; returns whether none was dropped.
fn push(queue: &mut EgressQueue, traffic: Traffic, len: usize) -> bool {
    queue.push(traffic, DESTINATION, vec![0; len]).is_none()
}

/// Lengths of the next `count` datagrams, at instants when the link can transmit them.
fn pop_lengths(queue: &mut EgressQueue, count: usize) -> Vec<usize> {
    let due = |queue: &EgressQueue| queue.next_deadline();
    (0..count)
        .map_while(|_| due(queue).and_then(|at| queue.pop(at)))
        .map(|(_, datagram)| datagram.len())
        .collect()
}

/// Guards against a caller's window that overflows the queue of a slow link. The
/// link dropped most of an upload's window, which the caller retransmitted only
/// after its timeout.
#[test]
fn a_window_is_sent_at_the_rate_of_the_link() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(Some(slow_link()), start);
    for _ in 0..16 {
        assert!(push(&mut queue, flow(1, 2), 1260));
    }
    let mut now = start;
    let mut sent = 0;
    let mut max_ahead = 0;
    while let Some(due) = queue.next_deadline() {
        now = now.max(due);
        while queue.pop(now).is_some() {
            sent += 1;
        }
        let transmitted = (now - start).as_micros() * 575 / 1_288_000;
        max_ahead = max_ahead.max(sent - i64::try_from(transmitted).unwrap());
    }
    assert_eq!(sent, 16);
    // The queue of a link holds about 24 of these datagrams.
    assert!(max_ahead <= 7, "{max_ahead} datagrams ahead of the link");
}

/// Guards against opening datagrams that are queued behind uploads.
#[test]
fn small_datagrams_are_sent_first() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(Some(slow_link()), now);
    assert!(push(&mut queue, flow(1, 2), 1260));
    assert!(push(&mut queue, flow(2, 2), 60));
    assert_eq!(queue.pop(now).map(|(_, datagram)| datagram.len()), Some(60));
}

/// Guards against a queue so long that callers retransmit what it still holds.
#[test]
fn a_full_queue_rejects_datagrams() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(Some(slow_link()), now);
    let accepted = (0..1000)
        .take_while(|_| push(&mut queue, flow(1, 2), 1260))
        .count();
    assert!(
        (100..200).contains(&accepted),
        "{accepted} datagrams accepted"
    );
}

/// Guards against orders that wait behind uploads of a less urgent route, whatever their
/// sizes, and against control messages that wait behind either.
#[test]
fn the_most_urgent_datagrams_are_sent_first() {
    let mut queue = EgressQueue::new(Some(slow_link()), Instant::now());
    for _ in 0..16 {
        assert!(push(&mut queue, flow(1, 2), 1260));
    }
    assert!(push(&mut queue, flow(2, 1), 1000));
    assert!(push(&mut queue, flow(3, 1), 70));
    assert!(push(&mut queue, Traffic::Control, 72));
    assert_eq!(pop_lengths(&mut queue, 4), [72, 70, 1000, 1260]);
}

/// Guards against an upload that delays a request of the same priority by its window.
#[test]
fn flows_of_a_priority_share_the_link_by_bytes() {
    let mut queue = EgressQueue::new(Some(slow_link()), Instant::now());
    for n in 1..=3 {
        for _ in 0..16 {
            assert!(push(&mut queue, flow(n, 2), 1260));
        }
    }
    assert!(push(&mut queue, flow(4, 2), 900));
    let lengths = pop_lengths(&mut queue, 49);
    let position = lengths.iter().position(|len| *len == 900);
    assert!(
        position.is_some_and(|at| at <= 3),
        "sent after {position:?} datagrams"
    );
    assert_eq!(lengths.len(), 49);
    assert_eq!(queue.next_deadline(), None);
}

/// Guards against a priority that gets nothing while more urgent flows fill the link.
#[test]
fn no_priority_starves() {
    let mut queue = EgressQueue::new(Some(slow_link()), Instant::now());
    for _ in 0..8 {
        assert!(push(&mut queue, flow(1, 2), 1000));
    }
    for _ in 0..90 {
        assert!(push(&mut queue, flow(2, 1), 1260));
    }
    let lengths = pop_lengths(&mut queue, 36);
    let less_urgent = lengths.iter().filter(|len| **len == 1000).count();
    assert!((3..=4).contains(&less_urgent), "{less_urgent} of 36");
}

/// Guards against urgent datagrams that are dropped while the queue is full of uploads.
#[test]
fn a_full_queue_drops_the_least_urgent() {
    let mut queue = EgressQueue::new(Some(slow_link()), Instant::now());
    while push(&mut queue, flow(1, 2), 1260) {}
    let dropped = queue.push(flow(2, 1), DESTINATION, vec![0; 900]);
    assert_eq!(dropped.map(|(_, datagram)| datagram.len()), Some(1260));
    let dropped = queue.push(flow(3, 3), DESTINATION, vec![0; 100]);
    assert_eq!(dropped.map(|(_, datagram)| datagram.len()), Some(100));
    assert_eq!(pop_lengths(&mut queue, 1), [900]);
}

/// Guards against pacing without a configured rate.
#[test]
fn without_a_rate_nothing_is_paced() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(None, now);
    for _ in 0..1000 {
        assert!(push(&mut queue, flow(1, 2), 1260));
    }
    for _ in 0..1000 {
        assert!(queue.pop(now).is_some());
    }
    assert_eq!(queue.next_deadline(), None);
}

/// Guards against rates that are not positive numbers.
#[test]
fn rates_that_are_not_positive_are_rejected() {
    for megabits in [0.0, -1.0, f64::NAN] {
        assert_eq!(BytesPerSecond::from_megabits(megabits), None);
    }
    assert_eq!(
        slow_link().transmission_time(575_000),
        Duration::from_secs(1)
    );
}
