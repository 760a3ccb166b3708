//! An agent beside a cold upstream, with real sockets.

mod common;

use std::time::{Duration, Instant};

use actix_rt::System;
use common::{AgentSite, is_silent, receive_flow};
use flow::{ColdBound, UpstreamStatus};
use relay::ControlUpdate;
use types::{PlacementPolicy, RequestRate, Revision, ServiceLimits, Slots};

/// The upstream may get this many flows a second, one after the other.
const RATE: f64 = 5.0;
const INTERVAL: Duration = Duration::from_millis(200);

fn policy(revision: u64, rate: Option<f64>) -> ControlUpdate {
    ControlUpdate::Policy(PlacementPolicy {
        revision: Revision(revision),
        limits: ServiceLimits {
            cold_rate: rate.and_then(RequestRate::from_per_second),
        },
        ..PlacementPolicy::default()
    })
}

/// An agent of a deployment with a bound, beside an upstream that has just started and is
/// cold for a minute.
async fn cold_site(test: u8) -> AgentSite {
    let site = AgentSite::start(test, |cfg| {
        cfg.flow_table.cold_bound = ColdBound::new(1.5, 5.0);
        // The upstream of these tests answers nothing.
        cfg.flow_table.response_timeout = Duration::from_mins(1);
    })
    .await;
    site.remove_upstream().await;
    let cold = UpstreamStatus {
        slow_start_until: Some(Instant::now() + Duration::from_mins(1)),
        ..UpstreamStatus::ready(7, Slots(10))
    };
    site.set_upstream(cold).await;
    site
}

/// Guards against openings that are held back although the limit allows them, because
/// nothing wakes the agent, and against reports and metrics that hide the limit.
#[test]
fn held_openings_are_delivered_at_the_stated_rate() {
    System::new().block_on(async {
        let site = cold_site(43).await;
        site.updates.send(policy(1, Some(RATE))).await.unwrap();
        site.list_balancer().await;
        site.report(|report| report.slots == Slots(1)).await;
        let sent_at = Instant::now();
        for n in 1..=4 {
            site.send_opening(n).await;
        }
        for n in 0..4 {
            receive_flow(&site.upstream).await;
            let earliest = INTERVAL * n;
            assert!(sent_at.elapsed() >= earliest, "{n} flows at once");
        }
        // Three intervals, and more than as much again for a busy machine.
        assert!(sent_at.elapsed() < INTERVAL * 10, "{:?}", sent_at.elapsed());
        assert!((1..=3).contains(&site.flow_events("cold_held")));
        assert_eq!(site.flow_events("opened"), 4);
    });
}

/// Guards against openings that wait on for a limit that no longer applies: the service
/// states no rate any more, or the upstream is warm.
#[test]
fn held_openings_are_delivered_once_the_limit_ends() {
    System::new().block_on(async {
        let site = cold_site(44).await;
        site.updates.send(policy(1, Some(1.0))).await.unwrap();
        for n in 1..=2 {
            site.send_opening(n).await;
        }
        receive_flow(&site.upstream).await;
        assert!(is_silent(&site.upstream, Duration::from_millis(200)).await);
        site.updates.send(policy(2, None)).await.unwrap();
        receive_flow(&site.upstream).await;

        site.updates.send(policy(3, Some(0.001))).await.unwrap();
        site.report_other_agent(2).await;
        site.send_opening(3).await;
        assert!(is_silent(&site.upstream, Duration::from_millis(200)).await);
        let warm = UpstreamStatus::ready(7, Slots(10));
        site.set_upstream(warm).await;
        site.send_opening(3).await;
        receive_flow(&site.upstream).await;
    });
}

/// Guards against an agent that limits flows for ever because no control host has a policy:
/// it assumes a limit only until it has heard from one.
#[test]
fn without_a_policy_nothing_is_limited_once_a_control_host_replied() {
    System::new().block_on(async {
        let site = cold_site(45).await;
        for n in 1..=12 {
            site.send_opening(n).await;
        }
        // As many as are allowed at any rate.
        for _ in 0..5 {
            receive_flow(&site.upstream).await;
        }
        assert!(is_silent(&site.upstream, Duration::from_millis(300)).await);
        site.list_balancer().await;
        for _ in 5..12 {
            receive_flow(&site.upstream).await;
        }
    });
}
