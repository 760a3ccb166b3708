//! When a balancer may be given new flows.

mod common;

use std::time::Duration;

use common::{SERVICE, agent, routes, steering};

/// Guards against a balancer that is cut off from all agents and still says
/// that it is ready: the fabric went on to send it flows for five seconds.
#[test]
fn a_balancer_that_hears_no_agent_is_not_ready() {
    let (mut steering, now) = steering();
    routes(&mut steering, 1);
    steering
        .pool(&SERVICE.parse().unwrap())
        .insert(common::address(1), agent(now));
    assert!(steering.can_place(now));
    assert!(!steering.can_place(now + Duration::from_secs(2)));
}

/// Guards against flows that are taken before their routes are known.
#[test]
fn a_balancer_without_routes_is_not_ready() {
    let (mut steering, now) = steering();
    steering
        .pool(&SERVICE.parse().unwrap())
        .insert(common::address(1), agent(now));
    assert!(!steering.can_place(now));
}
