//! Which balancers are told of flows, and when.

use std::net::SocketAddrV4;

use directory::{Node, ViewChanges};
use relay::{BalancerTable, Handover};

fn balancer(n: u8, run: u64, data_centre: &str, leaving: bool) -> Node {
    Node {
        incarnation: run,
        data_centre: data_centre.parse().unwrap(),
        leaving,
        ..Node::example(&format!("10.0.0.{n}:7082"))
    }
}

fn address(n: u8) -> SocketAddrV4 {
    format!("10.0.0.{n}:7082").parse().unwrap()
}

fn changed(nodes: Vec<Node>) -> ViewChanges {
    ViewChanges {
        changed: nodes,
        ..ViewChanges::default()
    }
}

/// Three balancers, the last one in another data centre.
fn three() -> BalancerTable {
    let mut balancers = BalancerTable::default();
    let nodes = vec![
        balancer(1, 1, "a", false),
        balancer(2, 1, "a", false),
        balancer(3, 1, "b", false),
    ];
    balancers.handovers(&changed(nodes));
    balancers
}

fn handover(from: &[u8], to: &[u8]) -> Handover {
    Handover {
        from: from.iter().map(|n| address(*n)).collect(),
        to: to.iter().map(|n| address(*n)).collect(),
    }
}

/// Guards against searches for all flows of a balancer that leaves, starts
/// again, is added or dies: they filled the thin links of the others.
#[test]
fn those_who_take_over_are_told() {
    let cases = [
        (
            "leaves",
            changed(vec![balancer(1, 1, "a", true)]),
            vec![handover(&[1], &[2])],
        ),
        (
            "starts again",
            changed(vec![balancer(1, 2, "a", false)]),
            vec![handover(&[1, 2], &[1])],
        ),
        (
            "is added",
            changed(vec![balancer(4, 1, "a", false)]),
            vec![handover(&[1, 2, 4], &[4])],
        ),
        (
            "dies",
            ViewChanges {
                removed: vec![balancer(1, 1, "a", false)],
                ..ViewChanges::default()
            },
            vec![handover(&[1], &[2])],
        ),
        (
            "is alone and leaves",
            changed(vec![balancer(3, 1, "b", true)]),
            vec![],
        ),
        (
            "says the same again",
            changed(vec![balancer(1, 1, "a", false)]),
            vec![],
        ),
    ];
    for (what, changes, expected) in cases {
        assert_eq!(three().handovers(&changes), expected, "{what}");
    }
}

/// Guards against flows that are handed over twice.
#[test]
fn one_that_has_left_is_handed_over_once() {
    let mut balancers = three();
    let leaving = changed(vec![balancer(1, 1, "a", true)]);
    assert_eq!(balancers.handovers(&leaving).len(), 1);
    assert_eq!(balancers.handovers(&leaving), []);
    let gone = ViewChanges {
        removed: vec![balancer(1, 1, "a", true)],
        ..ViewChanges::default()
    };
    assert_eq!(balancers.handovers(&gone), []);
}
