//! An agent whose data centre is evacuated, with real sockets.

mod common;

use std::time::Duration;

use actix_rt::System;
use common::{AgentSite, NEAR, TestCodec, flow_number, is_silent, receive_flow, receive_message};
use flow::{Origin, UpstreamStatus};
use relay::{Codec, ControlUpdate, Message};
use types::{PlacementPolicy, Revision, Slots};

fn policy(revision: u64, evacuated: &[&str]) -> ControlUpdate {
    ControlUpdate::Policy(PlacementPolicy {
        revision: Revision(revision),
        evacuated: evacuated.iter().map(|name| name.parse().unwrap()).collect(),
        ..PlacementPolicy::default()
    })
}

/// An agent whose upstream has all the flows that it can be given, 1 and 2, while flows
/// 3 and 4 wait.
async fn site_with_waiting_openings(test: u8) -> AgentSite {
    let site = AgentSite::start(test, |_| {}).await;
    site.set_upstream(UpstreamStatus::ready(7, Slots(1))).await;
    site.list_balancer().await;
    for n in 1..=2 {
        site.send_opening(n).await;
        assert_eq!(receive_flow(&site.upstream).await.0, n);
        site.open_with_request(n).await;
    }
    for n in 3..=4 {
        site.send_opening(n).await;
    }
    site.report(|report| report.accepting && report.load.busy_requests >= 4)
        .await;
    site
}

/// Guards against waiting openings that are delivered to an upstream after its data
/// centre was evacuated, and against an agent that still attracts flows: another agent
/// that is not evacuated takes them even while it is busy.
#[test]
fn waiting_openings_are_forwarded_on_evacuation() {
    System::new().block_on(async {
        let site = site_with_waiting_openings(41).await;
        site.report_other_agent(2).await;
        // Once this opening waits, the agent has received the report before it.
        site.send_opening(5).await;
        site.report(|report| report.load.busy_requests >= 5).await;
        site.updates.send(policy(1, &[NEAR])).await.unwrap();
        let mut forwarded = Vec::new();
        while forwarded.len() < 3 {
            let message = receive_message(&site.other_agent).await;
            if let Some(Message::Opening {
                origin, payload, ..
            }) = message
            {
                assert_eq!(origin, Origin::Passed);
                forwarded.push(flow_number(&TestCodec.parse(&payload).unwrap()));
            }
        }
        forwarded.sort_unstable();
        assert_eq!(forwarded, [3, 4, 5]);
        site.report(|report| !report.accepting).await;
        assert!(is_silent(&site.upstream, Duration::from_millis(300)).await);

        site.updates.send(policy(2, &[])).await.unwrap();
        site.report(|report| report.accepting).await;
    });
}

/// Guards against callers that wait for their timeout because no agent is left: waiting
/// openings and later ones are reset at once, and none is sent to another agent of an
/// evacuated data centre.
#[test]
fn openings_are_reset_if_no_agent_is_left() {
    System::new().block_on(async {
        let site = site_with_waiting_openings(42).await;
        site.report_other_agent(0).await;
        // The other agent is free, so it gets the flows that wait.
        for _ in 0..2 {
            receive_message(&site.other_agent).await.unwrap();
        }
        site.report_other_agent(2).await;
        for n in 5..=6 {
            site.send_opening(n).await;
        }
        site.report(|report| report.load.busy_requests >= 4).await;
        let all = policy(1, &[NEAR, common::FAR]);
        site.updates.send(all).await.unwrap();
        let mut refused = Vec::new();
        for _ in 0..2 {
            let (n, seg) = receive_flow(&site.caller).await;
            assert!(seg.resets);
            refused.push(n);
        }
        refused.sort_unstable();
        assert_eq!(refused, [5, 6]);
        site.send_opening(7).await;
        let (n, seg) = receive_flow(&site.caller).await;
        assert!(seg.resets);
        assert_eq!(n, 7);
        assert!(is_silent(&site.other_agent, Duration::from_millis(300)).await);
        assert!(is_silent(&site.upstream, Duration::from_millis(100)).await);
    });
}
