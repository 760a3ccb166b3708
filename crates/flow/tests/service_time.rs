//! The estimate of an upstream's service time and the decision to leave it out.

mod common;

use std::time::{Duration, Instant};

use common::{agreement, answer, bounced, data, flow_table, opening};
use flow::{AdmittedShare, Origin, ServiceTime, ServiceTimeEstimate, UpstreamAction};

const MS: Duration = Duration::from_millis(1);

/// Records a sample every 20 ms and returns the estimate after each.
fn estimates(samples: impl IntoIterator<Item = u32>) -> Vec<Option<ServiceTime>> {
    let mut estimate = ServiceTimeEstimate::default();
    let mut now = Instant::now();
    let record = |millis: u32| {
        now += 20 * MS;
        estimate.record(millis * MS, now);
        estimate.get()
    };
    samples.into_iter().map(record).collect()
}

fn millis(estimate: Option<ServiceTime>) -> u128 {
    estimate.expect("an estimate").duration().as_millis()
}

/// Guards against an estimate that follows the slowest three requests in a hundred.
#[test]
fn rare_slow_requests_do_not_move_the_estimate() {
    let samples = (0..1000).map(|n| if n % 33 == 0 { 350 } else { 50 });
    for estimate in estimates(samples).into_iter().skip(5) {
        assert_eq!(millis(estimate), 50);
    }
}

/// Guards against flows that go on to an upstream that has become slow.
#[test]
fn a_change_by_a_factor_of_two_is_seen_after_eight_answers() {
    for (before, after) in [(50, 100), (100, 50)] {
        let samples = [vec![before; 100], vec![after; 8]].concat();
        assert_eq!(millis(estimates(samples)[107]), u128::from(after));
    }
}

/// Guards against an upstream that fails fast and draws the flows of all others.
#[test]
fn answers_that_become_several_times_faster_are_not_believed_at_once() {
    let samples = [vec![50; 20], vec![2; 400]].concat();
    let estimates = estimates(samples);
    // Fast answers for 2.98 s.
    assert_eq!(millis(estimates[20 + 149]), 50);
    assert_eq!(millis(estimates[20 + 160]), 2);
    let half_errors = (0..500).map(|n| if n % 2 == 0 { 2 } else { 50 });
    let samples = [50; 20].into_iter().chain(half_errors);
    assert!(
        self::estimates(samples)
            .iter()
            .skip(5)
            .all(|e| millis(*e) == 50)
    );
}

/// Guards against queueing at the upstream that counts as slow service.
#[test]
fn the_time_that_requests_wait_for_a_slot_does_not_count() {
    let (mut table, mut now) = flow_table();
    let mut seq = 101;
    for n in 1..=12 {
        table.caller_datagram(&opening(n), Origin::Passed, now);
        table.upstream_datagram(&agreement(n, 5000), now);
    }
    for _ in 0..3 {
        for n in 1..=12 {
            table.caller_datagram(&data(n, seq, 5001), Origin::Held, now);
        }
        // The upstream serves four requests at a time.
        for batch in [1..=4, 5..=8, 9..=12] {
            now += 50 * MS;
            for n in batch {
                table.upstream_datagram(&answer(n, 5001), now);
            }
        }
        seq += 10;
    }
    assert_eq!(
        table.service_time().map(ServiceTime::duration),
        Some(50 * MS)
    );
}

/// Guards against flows that go on to an upstream that accepts and answers nothing, and
/// against its return at once under full load.
#[test]
fn a_silent_upstream_is_left_out_within_a_second_and_returns_in_steps() {
    let (mut table, start) = flow_table();
    for n in 1..=3 {
        table.caller_datagram(&opening(n), Origin::Placed, start);
        table.upstream_datagram(&agreement(n, 5000), start);
        table.caller_datagram(&data(n, 101, 5001), Origin::Held, start);
    }
    assert_eq!(table.admitted_share(start + 200 * MS), AdmittedShare::Full);
    assert_eq!(table.admitted_share(start + 900 * MS), AdmittedShare::None);
    let back = start + 1900 * MS;
    assert_eq!(table.admitted_share(back), AdmittedShare::Quarter);
    for n in 1..=3 {
        table.upstream_datagram(&answer(n, 5001), back + MS);
    }
    assert_eq!(
        table.admitted_share(back + 999 * MS),
        AdmittedShare::Quarter
    );
    assert_eq!(table.admitted_share(back + 1000 * MS), AdmittedShare::Half);
    table.caller_datagram(&data(1, 111, 5011), Origin::Held, back + 1100 * MS);
    table.upstream_datagram(&answer(1, 5011), back + 1150 * MS);
    assert_eq!(table.admitted_share(back + 2000 * MS), AdmittedShare::Full);
}

/// Guards against new flows for an upstream that returns them.
#[test]
fn an_upstream_that_returns_openings_is_left_out() {
    let (mut table, now) = flow_table();
    for n in 1..=3 {
        assert_eq!(table.admitted_share(now), AdmittedShare::Full);
        table.caller_datagram(&opening(n), Origin::Placed, now);
        let returned = table.upstream_datagram(&bounced(opening(n)), now);
        assert_eq!(returned, UpstreamAction::PassOn);
    }
    assert_eq!(table.admitted_share(now), AdmittedShare::None);
}

/// Guards against new flows for an upstream that resets what it serves, and against one that
/// is left out because it resets requests that wait, as it does when its queue is full.
#[test]
fn an_upstream_that_resets_requests_in_service_is_left_out() {
    for (first_reset, expected) in [(1, AdmittedShare::None), (5, AdmittedShare::Full)] {
        let (mut table, now) = flow_table();
        // The upstream has four slots.
        for n in 1..=7 {
            table.caller_datagram(&opening(n), Origin::Passed, now);
            table.upstream_datagram(&agreement(n, 5000), now);
            table.caller_datagram(&data(n, 101, 5001), Origin::Held, now);
        }
        for n in (first_reset..first_reset + 3).rev() {
            let mut reset = answer(n, 5001);
            (reset.resets, reset.len) = (true, 0);
            table.upstream_datagram(&reset, now + MS);
        }
        assert_eq!(table.admitted_share(now + 2 * MS), expected);
    }
}

/// Guards against new flows for an upstream that answers some requests and leaves others,
/// and against one that is left out because of single requests or before the slowest are
/// answered.
#[test]
fn an_upstream_that_leaves_requests_is_left_out_after_retransmissions() {
    for (left, expected) in [(1, AdmittedShare::Full), (2, AdmittedShare::None)] {
        let (mut table, start) = flow_table();
        for n in 1..=4 {
            table.caller_datagram(&opening(n), Origin::Placed, start);
            table.upstream_datagram(&agreement(n, 5000), start);
        }
        for n in 1..=left {
            table.caller_datagram(&data(n, 101, 5001), Origin::Held, start);
        }
        // Flows 3 and 4 get an answer after 50 ms each.
        let (mut caller_seq, mut upstream_seq) = (101, 5001);
        for step in 1..=18 {
            let sent_at = start + (50 * step - 49) * MS;
            let now = sent_at + 49 * MS;
            for n in 3..=4 {
                let request = data(n, caller_seq, upstream_seq);
                table.caller_datagram(&request, Origin::Held, sent_at);
                table.upstream_datagram(&answer(n, upstream_seq), now);
            }
            (caller_seq, upstream_seq) = (caller_seq + 10, upstream_seq + 10);
            if step == 4 || step == 12 {
                for n in 1..=left {
                    table.caller_datagram(&data(n, 101, 5001), Origin::Held, now);
                }
            }
            let share = table.admitted_share(now);
            if step <= 7 {
                assert_eq!(share, AdmittedShare::Full, "after {step} answers");
            }
        }
        assert_eq!(table.admitted_share(start + 900 * MS), expected);
    }
}
