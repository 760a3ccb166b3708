//! Pacing of datagrams to a low-bandwidth link.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use relay::EgressQueue;
use types::BytesPerSecond;

const DESTINATION: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000);

/// 4.6 Mbit/s, the rate of the hosts with the slowest links.
fn slow_link() -> BytesPerSecond {
    BytesPerSecond::from_megabits(4.6).unwrap()
}

/// Guards against a caller's window that overflows the queue of a slow link. The
/// link dropped most of an upload's window, which the caller retransmitted only
/// after its timeout.
#[test]
fn a_window_is_sent_at_the_rate_of_the_link() {
    let start = Instant::now();
    let mut queue = EgressQueue::new(Some(slow_link()), start);
    for _ in 0..16 {
        assert!(queue.push(DESTINATION, vec![0; 1260]));
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
    assert!(queue.push(DESTINATION, vec![0; 1260]));
    assert!(queue.push(DESTINATION, vec![1; 60]));
    assert_eq!(queue.pop(now).map(|(_, datagram)| datagram.len()), Some(60));
}

/// Guards against a queue so long that callers retransmit what it still holds.
#[test]
fn a_full_queue_rejects_datagrams() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(Some(slow_link()), now);
    let accepted = (0..1000)
        .take_while(|_| queue.push(DESTINATION, vec![0; 1260]))
        .count();
    assert!(
        (100..200).contains(&accepted),
        "{accepted} datagrams accepted"
    );
}

/// Guards against pacing without a configured rate.
#[test]
fn without_a_rate_nothing_is_paced() {
    let now = Instant::now();
    let mut queue = EgressQueue::new(None, now);
    for _ in 0..1000 {
        assert!(queue.push(DESTINATION, vec![0; 1260]));
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
