//! Admission of new flows to the link of a balancer.

mod common;

use std::time::{Duration, Instant};

use common::{data, opening};
use flow::{LinkAdmission, Segment};
use types::{BytesPerSecond, Priority, RequestTargets};

/// Data bytes in a full datagram.
const FULL_BYTES: u16 = 1200;
/// Datagrams of an upload of 40,000 bytes, of which the last one has 400.
const FULL_DATAGRAMS: u32 = 33;

fn slow_link() -> BytesPerSecond {
    BytesPerSecond::from_megabits(4.8).unwrap()
}

fn upload_targets() -> RequestTargets {
    RequestTargets {
        objective: Duration::from_millis(800),
        timeout: Duration::from_secs(6),
        priority: Priority(2),
    }
}

fn part(caller: u8, n: u32) -> Segment {
    let len = if n < FULL_DATAGRAMS { FULL_BYTES } else { 400 };
    Segment {
        len,
        ..data(caller, 101 + n * u32::from(FULL_BYTES), 5001)
    }
}

/// Passes all datagrams of an upload.
fn upload(admission: &mut LinkAdmission<u8>, caller: u8, now: Instant) {
    for n in 0..=FULL_DATAGRAMS {
        admission.observe(&part(caller, n), now);
    }
}

fn admit(admission: &mut LinkAdmission<u8>, caller: u8, now: Instant) -> bool {
    let item = admission.admit(&opening(caller), upload_targets(), caller, now);
    item.is_some()
}

/// The admission to a link that has carried one upload.
fn learned(rate: Option<BytesPerSecond>) -> (LinkAdmission<u8>, Instant) {
    let start = Instant::now();
    let mut admission = LinkAdmission::new(rate);
    assert!(admit(&mut admission, 0, start));
    upload(&mut admission, 0, start);
    (admission, start)
}

/// Guards against so many uploads at once that the network in front of the link, which
/// holds 50 ms, drops datagrams, also those of urgent flows.
#[test]
fn windows_of_admitted_uploads_fit_into_the_network() {
    let (mut admission, now) = learned(Some(slow_link()));
    let admitted = (1..=40).filter(|n| admit(&mut admission, *n, now)).count();
    let window_time = slow_link().transmission_time(16 * 1262);
    let admitted = u32::try_from(admitted).unwrap();
    assert!(admitted >= 1);
    assert!(window_time * admitted <= Duration::from_millis(50));
}

/// Guards against a burst that is kept until it is late: a caller that is refused at its
/// opening reaches another balancer.
#[test]
fn uploads_that_the_link_cannot_serve_in_time_are_refused_at_once() {
    let (mut admission, now) = learned(Some(slow_link()));
    let held = (1..=40).filter(|n| !admit(&mut admission, *n, now)).count();
    let refused = admission.take_refused(now).len();
    assert_eq!(refused + admission.waiting(), held);
    // The link needs 67 to 71 ms for each upload, and an opening waits for at most 600 ms,
    // the first one for none of them.
    assert!((6..=9).contains(&admission.waiting()));
}

/// Guards against a queue that is never served, and against flows that are refused after
/// their opening was forwarded.
#[test]
fn a_waiting_upload_is_admitted_when_another_one_ends() {
    let (mut admission, now) = learned(Some(slow_link()));
    let first_held = (1..=40).find(|n| !admit(&mut admission, *n, now)).unwrap();
    assert!(admission.next_deadline().is_some());
    assert_eq!(admission.take_admitted(now), None);
    // The next upload starts while the last half of a window arrives, so that the link
    // does not idle for a round trip.
    for n in 0..24 {
        assert_eq!(admission.take_admitted(now), None);
        admission.observe(&part(1, n), now);
    }
    for n in 24..=FULL_DATAGRAMS {
        admission.observe(&part(1, n), now);
    }
    assert_eq!(admission.take_admitted(now), Some(first_held));
    assert_eq!(admission.take_admitted(now), None);
    // A copy of an admitted opening.
    assert!(admit(&mut admission, first_held, now));
    assert!(admission.take_refused(now).is_empty());
    assert_eq!(admission.next_deadline(), None);
}

/// Guards against a copy that counts as a second flow.
#[test]
fn a_copy_replaces_the_opening_that_waits() {
    let (mut admission, now) = learned(Some(slow_link()));
    let held = (1..=40).find(|n| !admit(&mut admission, *n, now)).unwrap();
    assert!(!admit(&mut admission, held, now));
    assert_eq!(admission.waiting(), 1);
}

/// Guards against transfers whose callers have gone, which would close the link for
/// others for good.
#[test]
fn transfers_without_datagrams_make_room() {
    let (mut admission, now) = learned(Some(slow_link()));
    let held = (1..=40).find(|n| !admit(&mut admission, *n, now)).unwrap();
    let later = now + Duration::from_millis(300);
    assert_eq!(admission.take_admitted(later), Some(held));
    admission.expire(now + Duration::from_secs(3));
    assert_eq!(admission.transfers(now), 0);
}

/// Guards against less urgent uploads that go first.
#[test]
fn the_most_urgent_waiting_upload_goes_first() {
    let (mut admission, now) = learned(Some(slow_link()));
    let held = (1..=40).find(|n| !admit(&mut admission, *n, now)).unwrap();
    let urgent = RequestTargets {
        priority: Priority(0),
        ..upload_targets()
    };
    assert_eq!(
        admission.admit(&opening(held + 1), urgent, held + 1, now),
        None
    );
    assert!(!admit(&mut admission, held + 2, now));
    upload(&mut admission, 1, now);
    assert_eq!(admission.take_admitted(now), Some(held + 1));
}

/// Guards against orders and feeds that wait for uploads, and against feeds that count
/// as large because their flows are long.
#[test]
fn small_flows_never_wait() {
    let (mut admission, now) = learned(Some(slow_link()));
    assert!((1..=40).any(|n| !admit(&mut admission, n, now)));
    let feeds = "198.18.0.2:443".parse().unwrap();
    for n in 0..200_u32 {
        let request = Segment {
            destination: feeds,
            len: 300,
            ..data(200, 101 + n * 300, 5001)
        };
        admission.observe(&request, now);
        let new_flow = Segment {
            destination: feeds,
            ..opening(201)
        };
        assert!(
            admission
                .admit(&new_flow, upload_targets(), 201, now)
                .is_some()
        );
    }
}

/// Guards against a change for hosts without the rate of a link in their settings.
#[test]
fn without_a_rate_all_flows_are_admitted() {
    let (mut admission, now) = learned(None);
    assert!((1..=200).all(|n| admit(&mut admission, n, now)));
}
