//! Refusals of new flows at an agent, with real sockets.

mod common;

use std::time::Duration;

use actix_rt::System;
use common::{AgentSite, is_silent, receive_flow, receive_message};
use relay::Message;

/// Guards against openings that are forwarded from agent to agent although none can serve
/// them before their callers give up, and against refusals that are not enabled.
#[test]
fn an_opening_that_no_agent_serves_in_time_is_refused_at_the_first() {
    System::new().block_on(async {
        for (test, fair_queueing) in [(71, true), (72, false)] {
            let site = AgentSite::start(test, |cfg| {
                cfg.opening_queue.fair_queueing = fair_queueing;
            })
            .await;
            site.remove_upstream().await;
            site.report_other_agent(0).await;
            // Its caller gives it up after 1400 ms, and it needs 25 ms to open.
            site.send_opening_after(1, 1380).await;
            if fair_queueing {
                let (refused, reset) = receive_flow(&site.caller).await;
                assert!(refused == 1 && reset.resets);
                assert!(is_silent(&site.other_agent, Duration::from_millis(100)).await);
                site.send_opening_after(2, 0).await;
            }
            let forwarded = receive_message(&site.other_agent).await;
            assert!(matches!(forwarded, Some(Message::Opening { .. })));
        }
    });
}
