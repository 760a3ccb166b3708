//! What goes out over a thin link.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::{Duration, Instant},
};

use relay::Egress;
use types::BytesPerSecond;

const TO: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000);

/// 4.6 Mbit/s, as the thin hosts have.
fn thin() -> BytesPerSecond {
    BytesPerSecond::from_megabits(4.6).unwrap()
}

/// Guards against a caller's window that overflows the queue of a thin link:
/// uploads lost most of it, and waited for the time-outs of their callers.
#[test]
fn a_window_leaves_at_the_pace_of_the_link() {
    let start = Instant::now();
    let mut egress = Egress::new(Some(thin()), start);
    for _ in 0..16 {
        assert!(egress.push(TO, vec![0; 1260]));
    }
    let mut now = start;
    let mut sent = 0;
    let mut ahead = 0;
    while let Some(due) = egress.next_deadline() {
        now = now.max(due);
        while egress.pop(now).is_some() {
            sent += 1;
        }
        let taken = (now - start).as_micros() * 575 / 1_288_000;
        ahead = ahead.max(sent - i64::try_from(taken).unwrap());
    }
    assert_eq!(sent, 16);
    // The queue of a link holds some 24 of these.
    assert!(ahead <= 7, "{ahead} datagrams ahead of the link");
}

/// Guards against opening datagrams that wait behind uploads.
#[test]
fn small_datagrams_go_first() {
    let now = Instant::now();
    let mut egress = Egress::new(Some(thin()), now);
    assert!(egress.push(TO, vec![0; 1260]));
    assert!(egress.push(TO, vec![1; 60]));
    assert_eq!(
        egress.pop(now).map(|(_, datagram)| datagram.len()),
        Some(60)
    );
}

/// Guards against a queue that holds what the callers send again.
#[test]
fn a_full_queue_takes_nothing_more() {
    let now = Instant::now();
    let mut egress = Egress::new(Some(thin()), now);
    let kept = (0..1000)
        .take_while(|_| egress.push(TO, vec![0; 1260]))
        .count();
    assert!((100..200).contains(&kept), "{kept}");
}

/// Guards against pacing where no rate is known.
#[test]
fn without_a_rate_everything_goes_at_once() {
    let now = Instant::now();
    let mut egress = Egress::new(None, now);
    for _ in 0..1000 {
        assert!(egress.push(TO, vec![0; 1260]));
    }
    for _ in 0..1000 {
        assert!(egress.pop(now).is_some());
    }
    assert_eq!(egress.next_deadline(), None);
}

/// Guards against rates that are nonsense.
#[test]
fn only_rates_above_zero_are_rates() {
    for megabits in [0.0, -1.0, f64::NAN] {
        assert_eq!(BytesPerSecond::from_megabits(megabits), None);
    }
    assert_eq!(thin().time(575_000), Duration::from_secs(1));
}
