//! Messages of an agent to balancers, with real sockets.

mod common;

use std::time::Duration;

use actix_rt::{System, time::timeout};
use common::{AgentSite, receive_flow, receive_message};
use flow::{AdmittedShare, UpstreamStatus};
use relay::{Callers, Message, Performance, QueriedFlow, QueriedFlows, ServiceTag};
use types::Slots;

const TIMEOUT: Duration = Duration::from_secs(5);

/// An agent whose upstream has two requests and answers none.
async fn site_with_requests(test: u8) -> AgentSite {
    let site = AgentSite::start(test, |_| {}).await;
    site.set_upstream(UpstreamStatus::ready(7, Slots(2))).await;
    for n in 1..=2 {
        site.send_opening(n).await;
        assert_eq!(receive_flow(&site.upstream).await.0, n);
        site.open_with_request(n).await;
    }
    site
}

/// Guards against a balancer that learns too late that an upstream has failed: it has to
/// be left out within a second, and a silence of 0.85 s is part of it.
#[test]
fn a_fall_of_the_share_is_sent_at_once() {
    System::new().block_on(async {
        let site = site_with_requests(1).await;
        site.list_balancer().await;
        let mut shares = Vec::new();
        while shares.last() != Some(&AdmittedShare::None) {
            let message = timeout(TIMEOUT, receive_message(&site.balancer)).await;
            if let Some(Message::Performance(Performance { share, .. })) = message.expect("share") {
                shares.push(share);
            }
        }
        assert_eq!(shares, [AdmittedShare::Full, AdmittedShare::None]);
    });
}

/// Guards against claims for many flows that differ from those for each flow.
#[test]
fn an_agent_claims_many_flows_in_one_message() {
    System::new().block_on(async {
        let site = site_with_requests(2).await;
        let flows = [(1, None), (2, Some(0)), (3, None)].map(|(n, ack)| QueriedFlow {
            caller: site.flow_key(n).caller,
            ack,
        });
        let service = site.flow_key(1).service;
        let queries = Message::ClaimQueries {
            tag: ServiceTag::of(&common::service()),
            service,
            flows: QueriedFlows(flows.to_vec()),
        };
        let claims = loop {
            site.send_from_balancer(&queries).await;
            let message = timeout(TIMEOUT, receive_message(&site.balancer)).await;
            // An agent that has just started says nothing of flows that it does not hold.
            if let Some(Message::Claims { holds, no, .. }) = message.expect("claims")
                && holds.0.len() + no.0.len() == flows.len()
            {
                break (holds, no);
            }
        };
        let [held, acknowledges_another, unknown] = flows.map(|flow| flow.caller);
        let expected = (vec![held], vec![acknowledges_another, unknown]);
        assert_eq!(claims, (Callers(expected.0), Callers(expected.1)));
    });
}
