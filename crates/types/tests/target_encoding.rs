//! Encodings of targets.

use std::time::Duration;

use types::{Connections, HedgeBudget, PathPrefix, Slots, Target};

/// The fields of a target from before hedging, as they are in logs and snapshots.
type EarlierTarget = (Slots, Connections, u64, PathPrefix);

/// Guards against a log or snapshot from before hedging that can no longer be read,
/// and against targets without a budget that earlier processes cannot read.
#[test]
fn a_target_without_a_budget_is_read_and_written_as_before_hedging() {
    let earlier: EarlierTarget = (Slots(7), Connections(9), 3000, PathPrefix::default());
    let encoded = rmp_serde::to_vec(&earlier).unwrap();
    let target: Target = rmp_serde::from_slice(&encoded).unwrap();
    let expected = Target {
        carry: Slots(7),
        connections: Connections(9),
        leave_within: Duration::from_secs(3),
        ..Target::default()
    };
    assert_eq!(target, expected);
    assert_eq!(rmp_serde::to_vec(&target).unwrap(), encoded);
}

/// Guards against a budget that is lost on the way to a node or to the disk.
#[test]
fn a_budget_is_encoded_with_the_target() {
    let target = Target {
        hedge_budget: HedgeBudget::from_percent(2.5),
        ..Target::default()
    };
    let encoded = rmp_serde::to_vec(&(&target, 7)).unwrap();
    let decoded: (Target, u32) = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(decoded, (target, 7));
}
