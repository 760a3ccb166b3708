//! Checkpoints of an agent's open flows, and their use by the next process.

mod common;

use std::time::{Duration, Instant};

use common::{address, agreement, bounced, data, opening};
use flow::{
    CallerAction, Claim, FlowCheckpoint, FlowCheckpointSettings, FlowTable, FlowTableSettings,
    Origin, UpstreamAction, UpstreamStatus,
};
use types::Slots;

const SETTINGS: FlowCheckpointSettings = FlowCheckpointSettings {
    interval: Duration::from_millis(10),
    min_age: Duration::from_secs(1),
    refresh_interval: Duration::from_secs(5),
    max_parts_per_check: 4,
};

fn table(incarnation: u64, now: Instant) -> FlowTable {
    let mut table = FlowTable::new(FlowTableSettings::default(), now);
    let upstream = UpstreamStatus {
        incarnation: Some(incarnation),
        slots: Slots(1000),
        ..UpstreamStatus::listening()
    };
    table.set_upstream(Some(upstream));
    table
}

/// Opens flow `n` through the first balancer.
fn open(table: &mut FlowTable, n: u8, now: Instant) {
    let via = address(100);
    let delivered = table.caller_datagram(&opening(n), Origin::Placed, now);
    assert!(matches!(delivered, CallerAction::Deliver));
    table.set_via(&opening(n).key_from_caller(), via);
    table.upstream_datagram(&agreement(n, 500), now);
    table.caller_datagram(&data(n, 101, 501), Origin::Held, now);
}

/// Guards against flows that the next process does not find, against one that takes a
/// datagram of a flow that another upstream has opened, and against flows of a former
/// run of the upstream that wait for their timeout instead of a reset.
#[test]
fn the_next_process_holds_the_checkpointed_flows() {
    let start = Instant::now();
    let mut former = table(7, start);
    open(&mut former, 1, start);
    let now = start + Duration::from_millis(1500);
    open(&mut former, 2, now);
    let mut checkpoint = FlowCheckpoint::new(SETTINGS, start);
    let due = checkpoint.due_parts(7, former.checkpoint(SETTINGS.min_age, now), now);
    let [due] = &due[..] else {
        panic!("{due:?}");
    };
    assert_eq!(due.part.flows.len(), 1, "the second one is too young");
    for (upstream, is_lost) in [(7, false), (8, true)] {
        let mut next = table(upstream, now);
        let key = opening(1).key_from_caller();
        let restored = next.restore_checkpoint(&due.part, now);
        assert_eq!(restored, [(address(100), key)]);
        let seg = data(1, 111, 501);
        assert_eq!(next.claim(&key, &seg, now), Claim::Holds);
        let other = data(1, 111, 1 << 30);
        assert_eq!(next.claim(&key, &other, now), Claim::No);
        let action = next.caller_datagram(&seg, Origin::Held, now);
        assert_eq!(action, CallerAction::Deliver);
        if is_lost {
            let returned = next.upstream_datagram(&bounced(seg), now);
            assert_eq!(returned, UpstreamAction::Reset);
            let action = next.caller_datagram(&seg, Origin::Held, now);
            assert_eq!(action, CallerAction::Reset);
        }
        let again = next.restore_checkpoint(&due.part, now);
        assert_eq!(again, [], "the table has the flow");
    }
}

/// Guards against a checkpoint that costs more than its bound, that never repeats a part
/// which a control host may have lost, or that repeats all of them whenever a flow ends.
#[test]
fn only_changed_and_old_parts_are_due() {
    let start = Instant::now();
    let mut table = table(7, start);
    for n in 0..200 {
        open(&mut table, n, start);
    }
    let mut checkpoint = FlowCheckpoint::new(SETTINGS, start);
    let mut now = start + Duration::from_secs(2);
    let mut due_at = |table: &FlowTable, now: Instant| {
        let due = checkpoint.due_parts(7, table.checkpoint(SETTINGS.min_age, now), now);
        assert!(due.len() <= SETTINGS.max_parts_per_check);
        due
    };
    let mut parts = Vec::new();
    let mut flows = 0;
    for _ in 0..8 {
        let due = due_at(&table, now);
        flows += due.iter().map(|due| due.part.flows.len()).sum::<usize>();
        parts.extend(due.iter().map(|due| (due.index, due.parts)));
        now += Duration::from_millis(10);
    }
    parts.sort_unstable();
    assert_eq!(parts, (0..32).map(|index| (index, 32)).collect::<Vec<_>>());
    assert_eq!(flows, 200);
    assert_eq!(due_at(&table, now), [], "nothing has changed");
    open(&mut table, 250, start);
    assert_eq!(due_at(&table, now).len(), 1);
    assert_eq!(due_at(&table, now + SETTINGS.refresh_interval).len(), 4);
}
