//! Deltas of routing sets.

use std::{net::SocketAddr, sync::Arc};

use replica::RouteHistory;
use types::{RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber};

fn set(number: u64, ports: &[u16]) -> RoutingSet {
    let rule = RoutingRule {
        weights: [("vouchers".parse().unwrap(), RouteWeight(1))].into(),
        ..RoutingRule::default()
    };
    let address = |port: &u16| SocketAddr::from(([198, 18, 0, 1], *port));
    RoutingSet {
        number: RoutingSetNumber(number),
        rules: ports
            .iter()
            .map(|port| (address(port), rule.clone()))
            .collect(),
        ..RoutingSet::default()
    }
}

/// Guards against a delta, from any earlier set, after which a node's set differs
/// from the current set.
#[test]
fn delta_from_any_earlier_set_yields_the_current_set() {
    let mut history = RouteHistory::default();
    let sets = [
        set(2, &[1, 2]),
        set(5, &[2, 3]),
        set(9, &[3, 4, 5]),
        set(10, &[]),
    ];
    for i in 0..sets.len() {
        assert!(history.push(Arc::new(sets[i].clone())));
        let earlier = std::iter::once(RoutingSet::default()).chain(sets[..i].iter().cloned());
        for mut node in earlier {
            let delta = history.delta(node.number).unwrap();
            assert!(node.apply(delta));
            assert_eq!((node.number, &node.rules), (sets[i].number, &sets[i].rules));
            assert_eq!(history.delta(node.number), None);
        }
    }
}

/// Guards against an older set that replaces a newer one.
#[test]
fn an_older_set_changes_nothing() {
    let mut history = RouteHistory::default();
    assert!(history.push(Arc::new(set(5, &[1]))));
    assert!(!history.push(Arc::new(set(5, &[2]))));
    assert!(!history.push(Arc::new(set(4, &[2]))));
    assert_eq!(history.number(), RoutingSetNumber(5));
}

/// Guards against a delta that is applied to a set other than its base.
#[test]
fn delta_with_another_base_is_not_applied() {
    let mut history = RouteHistory::default();
    history.push(Arc::new(set(5, &[1])));
    history.push(Arc::new(set(6, &[1, 2])));
    let delta = history.delta(RoutingSetNumber(5)).unwrap();
    let mut node = set(4, &[9]);
    assert!(!node.apply(delta));
    assert_eq!(node, set(4, &[9]));
    // The delta from a set that is not kept is the full set.
    assert_eq!(history.delta(RoutingSetNumber(4)).unwrap().base, None);
}
