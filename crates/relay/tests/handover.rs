//! Which balancers receive the list of flows, and when.

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

/// A table of three balancers, the last one in another data centre.
fn three_balancers() -> BalancerTable {
    let mut balancers = BalancerTable::default();
    let nodes = vec![
        balancer(1, 1, "a", false),
        balancer(2, 1, "a", false),
        balancer(3, 1, "b", false),
    ];
    balancers.apply(&changed(nodes));
    balancers
}

fn handover(from: &[u8], to: &[u8]) -> Handover {
    Handover {
        from: from.iter().map(|n| address(*n)).collect(),
        to: to.iter().map(|n| address(*n)).collect(),
    }
}

/// Guards against a search for each flow of a balancer that leaves, restarts, is
/// added or crashes. These searches saturated the slow links of the other balancers.
#[test]
fn flows_are_handed_over_to_successors() {
    let cases = [
        (
            "leaves",
            changed(vec![balancer(1, 1, "a", true)]),
            vec![handover(&[1], &[2])],
        ),
        (
            "restarts",
            changed(vec![balancer(1, 2, "a", false)]),
            vec![handover(&[1, 2], &[1])],
        ),
        (
            "is added",
            changed(vec![balancer(4, 1, "a", false)]),
            vec![handover(&[1, 2, 4], &[4])],
        ),
        (
            "crashes",
            ViewChanges {
                removed: vec![balancer(1, 1, "a", false)],
                ..ViewChanges::default()
            },
            vec![handover(&[1], &[2])],
        ),
        (
            "is the only one and leaves",
            changed(vec![balancer(3, 1, "b", true)]),
            vec![],
        ),
        (
            "is announced again unchanged",
            changed(vec![balancer(1, 1, "a", false)]),
            vec![],
        ),
    ];
    for (name, changes, expected) in cases {
        assert_eq!(three_balancers().apply(&changes), expected, "{name}");
    }
}

/// Guards against flows that are handed over twice.
#[test]
fn a_leaving_balancer_is_handed_over_once() {
    let mut balancers = three_balancers();
    let leaving = changed(vec![balancer(1, 1, "a", true)]);
    assert_eq!(balancers.apply(&leaving).len(), 1);
    assert_eq!(balancers.apply(&leaving), []);
    let gone = ViewChanges {
        removed: vec![balancer(1, 1, "a", true)],
        ..ViewChanges::default()
    };
    assert_eq!(balancers.apply(&gone), []);
}
