//! Readiness of a balancer for new flows.

mod common;

use std::time::Duration;

use common::{SERVICE, agent, set_routes, steering};

/// Guards against a balancer that is partitioned from all agents and stays
/// ready: the fabric kept sending it flows for five seconds.
#[test]
fn a_balancer_without_recent_reports_is_not_ready() {
    let (mut steering, now) = steering();
    set_routes(&mut steering, 1);
    steering
        .pool(&SERVICE.parse().unwrap())
        .insert(common::address(1), agent(now));
    assert!(steering.can_place(now));
    assert!(!steering.can_place(now + Duration::from_secs(2)));
}

/// Guards against flows that are accepted before the first routing set has
/// arrived.
#[test]
fn a_balancer_without_routes_is_not_ready() {
    let (mut steering, now) = steering();
    steering
        .pool(&SERVICE.parse().unwrap())
        .insert(common::address(1), agent(now));
    assert!(!steering.can_place(now));
}
