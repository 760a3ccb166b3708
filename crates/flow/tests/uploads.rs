//! Uploads over slow links, at one upstream.

mod common;

use std::time::{Duration, Instant};

use common::{agreement, answer, data, flow_table, opening};
use flow::{CallerAction, FlowTable, Origin, Segment};

/// Initial sequence number of the upstream.
const INITIAL_SEQ: u32 = 5000;
/// Datagrams of an upload of 40,000 bytes, of which the last one is not full.
const FULL_DATAGRAMS: u32 = 33;
const FULL_BYTES: u16 = 1200;
/// Time in which a slow link, shared by several uploads, transmits one datagram of each.
const DATAGRAM_INTERVAL: Duration = Duration::from_millis(8);

/// The datagram with the part `n` of an upload, with `len` bytes.
fn part(caller: u8, n: u32, len: u16) -> Segment {
    let seq = 101 + n * u32::from(FULL_BYTES);
    Segment {
        len,
        ..data(caller, seq, INITIAL_SEQ + 1)
    }
}

/// Opens a flow and returns what the agent does with its opening datagram.
fn open(table: &mut FlowTable, caller: u8, now: Instant) -> CallerAction {
    let action = table.caller_datagram(&opening(caller), Origin::Placed, now);
    if action == CallerAction::Deliver {
        table.upstream_datagram(&agreement(caller, INITIAL_SEQ), now);
    }
    action
}

/// Guards against uploads that are refused beside an idle upstream because requests that
/// are still arriving hold its slots. With a link that takes 0.27 s for each upload, two
/// slots then allowed 15 uploads a second, while the upstream serves 400.
#[test]
fn uploads_that_still_arrive_hold_no_slot() {
    const UPLOADS: u8 = 40;
    let (mut table, start) = flow_table();
    let opening_interval = Duration::from_millis(50);
    for caller in 0..UPLOADS {
        let now = start + opening_interval * u32::from(caller);
        for earlier in 0..caller {
            let age = opening_interval * u32::from(caller - earlier);
            receive_parts(&mut table, earlier, age, now);
        }
        assert_eq!(open(&mut table, caller, now), CallerAction::Deliver);
    }
}

/// Delivers the latest part of an upload whose flow opened `age` ago, and the answer once
/// it is complete.
fn receive_parts(table: &mut FlowTable, caller: u8, age: Duration, now: Instant) {
    let parts = u32::try_from(age.as_millis() / DATAGRAM_INTERVAL.as_millis()).unwrap();
    if parts < FULL_DATAGRAMS {
        table.caller_datagram(&part(caller, parts, FULL_BYTES), Origin::Held, now);
    } else {
        table.caller_datagram(&part(caller, FULL_DATAGRAMS, 400), Origin::Held, now);
        table.upstream_datagram(&answer(caller, INITIAL_SEQ + 1), now);
    }
}

/// Guards against an upstream that is given more requests than it can serve, because
/// uploads are never counted.
#[test]
fn an_upload_counts_from_its_last_datagram_to_its_answer() {
    let (mut table, now) = flow_table();
    open(&mut table, 1, now);
    table.caller_datagram(&part(1, 0, FULL_BYTES), Origin::Held, now);
    assert_eq!(table.load(now).busy_requests, 0);
    assert_eq!(table.in_progress(), 1, "a planned stop waits for it");
    table.caller_datagram(&part(1, 1, 400), Origin::Held, now);
    assert_eq!(table.load(now).busy_requests, 1);
    // A retransmission of an earlier part starts nothing new.
    table.caller_datagram(&part(1, 0, FULL_BYTES), Origin::Held, now);
    assert_eq!(table.load(now).busy_requests, 1);
    table.upstream_datagram(&answer(1, INITIAL_SEQ + 1), now);
    assert_eq!(table.load(now).busy_requests, 0);
}

/// Guards against a request that never counts because its length is a multiple of a full
/// datagram.
#[test]
fn a_request_of_full_datagrams_counts_after_a_pause() {
    let (mut table, start) = flow_table();
    open(&mut table, 1, start);
    table.caller_datagram(&part(1, 0, FULL_BYTES), Origin::Held, start);
    let retransmission = start + Duration::from_millis(200);
    assert_eq!(table.load(retransmission).busy_requests, 0);
    let pause = start + Duration::from_millis(300);
    assert_eq!(table.load(pause).busy_requests, 1);
}
