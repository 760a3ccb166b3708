//! Hedged requests at a small site.

mod harness;

use std::time::{Duration, Instant};

use harness::{Site, SitePlan, get_text, request, wait_for};
use types::{HedgeBudget, Share};

/// Requests from which an agent learns the delay of a class, with a reserve.
const LEARNING_REQUESTS: usize = 260;

/// Time that the slow requests take at the slow upstream. A caller that gets its
/// response in a third of it did not wait for the slow upstream.
const SLOW: Duration = Duration::from_secs(6);

async fn hedges(site: &Site, result: &str) -> f64 {
    let name = format!("limpet_agent_hedges_total{{class=\"default\",result=\"{result}\"}}");
    let mut sum = 0.0;
    for n in 0..site.plan.upstreams {
        sum += site.agent_metric(n, &name).await;
    }
    sum
}

/// Guards against a hedge that is not sent or does not win, against a losing
/// request that keeps running, against a hedge of a request that must not run twice,
/// and against one without a budget.
#[actix_rt::test]
async fn a_slow_request_is_answered_by_a_second_upstream() {
    let plan = SitePlan {
        range: 87,
        control: 1,
        balancers: 1,
        upstreams: 2,
        carry: 8,
        ..SitePlan::default()
    };
    let site = Site::start_serving(plan).await;
    site.wait_for_shares("warm upstreams", 2, Share::FULL).await;

    let mut caller = site.connect().await;
    let text = get_text(&mut caller, "/").await;
    let local = text.trim_start_matches("served by ").trim();
    let slow = |ms: u128| format!("/slow?ms={ms}&at={local}");
    for _ in 0..LEARNING_REQUESTS {
        get_text(&mut caller, "/").await;
    }
    assert_eq!(get_text(&mut caller, &slow(300)).await, text);

    let budget = HedgeBudget::from_percent(5.0);
    let revision = site.service_revision().await;
    site.set_hedged_target(revision, plan.carry, budget).await;
    wait_for("a response of the second upstream", async || {
        for _ in 0..LEARNING_REQUESTS {
            get_text(&mut caller, "/").await;
        }
        get_text(&mut caller, &slow(300)).await != text
    })
    .await;

    let started = Instant::now();
    let answer = get_text(&mut caller, &slow(SLOW.as_millis())).await;
    assert_ne!(answer, text);
    assert!(started.elapsed() < SLOW / 3, "{:?}", started.elapsed());
    let upstreams = &site.upstreams;
    wait_for("the end of the losing request", async || {
        let mut running = 0;
        for upstream in upstreams {
            running += upstream.activity().await.map_or(0, |a| a.running);
        }
        running == 0
    })
    .await;
    assert!(
        started.elapsed() < SLOW,
        "the losing request ran to its end"
    );
    assert!(hedges(&site, "won").await >= 2.0);

    let post = request("POST", &slow(300), "");
    let mut answer = caller.send(post).await.expect("answer");
    assert_eq!(answer.read_body().await.expect("whole answer"), text);
}
