//! Encodings of routing rules.

use std::time::Duration;

use types::{Priority, RequestTargets, RouteWeight, RoutingRule, ServiceName};

fn weights() -> std::collections::BTreeMap<ServiceName, RouteWeight> {
    [("vouchers".parse().unwrap(), RouteWeight(3))].into()
}

/// Guards against a log or snapshot from before rules had targets that can no longer
/// be read after an upgrade: it holds the weights alone.
#[test]
fn a_rule_without_targets_is_read_and_written_as_its_weights() {
    let earlier = rmp_serde::to_vec(&weights()).unwrap();
    let rule: RoutingRule = rmp_serde::from_slice(&earlier).unwrap();
    assert_eq!(rule.weights, weights().into());
    assert_eq!(rule.targets, RequestTargets::default());
    assert_eq!(rmp_serde::to_vec(&rule).unwrap(), earlier);
}

/// Guards against targets that are lost on the way to a node or to the disk.
#[test]
fn targets_are_encoded_with_the_weights() {
    let rule = RoutingRule {
        weights: weights().into(),
        targets: RequestTargets {
            objective: Duration::from_millis(120),
            timeout: Duration::from_millis(1500),
            priority: Priority(1),
        },
    };
    let encoded = rmp_serde::to_vec(&rule).unwrap();
    let decoded: RoutingRule = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(decoded, rule);
}
