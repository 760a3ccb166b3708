//! Draining of agents, started by a signal or by an operator, and planned
//! changes while feeds are open.

mod harness;

use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use caller::{Caller, Category, RequestOutcome, Response};
use futures_util::future::join_all;
use harness::{
    Process, Site, SitePlan, accepted_revision, feed_lines, get_text, request, wait_for,
};
use nix::sys::signal::Signal;
use types::{Change, Revision};

fn plan(range: u8, carry: u32) -> SitePlan {
    SitePlan {
        range,
        control: 1,
        carry,
        ..SitePlan::default()
    }
}

/// Opens a connection and returns the number of the upstream that serves it.
async fn connect(site: &Site) -> (Caller, usize) {
    let mut caller = site.connect().await;
    let served = get_text(&mut caller, "/").await;
    let number = served.trim().rsplit('-').next().expect("name");
    (caller, number.parse().expect("number"))
}

async fn start_feed(caller: &mut Caller, path: &str) -> Response {
    caller.send(request("GET", path, "")).await.expect("feed")
}

/// Waits until a process has exited and returns whether its status was 0.
async fn wait_for_exit(process: &mut Process) -> bool {
    let mut status = None;
    wait_for("exit of the process", async || {
        status = process.exit_success();
        status.is_some()
    })
    .await;
    status == Some(true)
}

/// Sends a claim on a new connection and returns the number of the upstream that
/// ran it.
async fn claim_on_new_connection(site: &Site, id: &str) -> Option<usize> {
    let answer = site.call("POST", &format!("/claim/{id}"), "seat").await;
    let answer = answer.expect("answer on a new connection");
    assert_eq!(answer.outcome(), RequestOutcome::Answered, "{id}");
    for (n, upstream) in site.upstreams.iter().enumerate() {
        if upstream.runs().await.contains_key(id.as_bytes()) {
            return Some(n);
        }
    }
    None
}

/// P1, P6, P7. After SIGTERM an agent drains: guards against a drain that aborts
/// a feed, an upload or a claim, assigns new work to the upstream, loses requests
/// on open connections, or never completes.
#[actix_rt::test]
async fn stopping_agent_completes_open_requests_and_takes_no_new_work() {
    let mut site = Site::start_serving(plan(55, 8)).await;
    let (mut caller, own) = connect(&site).await;
    let other = 1 - own;
    let mut open_feed = start_feed(&mut caller, "/feed?ms=50&lines=100").await;
    open_feed.next_chunk().await.unwrap();
    let upload = request("POST", "/upload", "").map(drop);
    let mut upload = caller.start(upload).await.unwrap();
    upload
        .send_chunk(Bytes::from(vec![1; 100_000]))
        .await
        .unwrap();
    let claim = request("POST", "/claim/early?ms=2500", "").map(drop);
    let mut claim = caller.start(claim).await.unwrap();
    claim.finish().await.unwrap();
    wait_for("claim at the upstream", async || {
        !site.upstreams[own].runs().await.is_empty()
    })
    .await;

    // The open connection accepts requests until the caller receives GOAWAY.
    let mut requests_sent = 0;
    let stopped_at = Instant::now();
    let refused = loop {
        if requests_sent == 10 {
            site.agents[own].signal(Signal::SIGTERM);
        }
        let claim = request("POST", &format!("/claim/open-{requests_sent}"), "");
        match caller.send(claim).await {
            Ok(answer) => assert_eq!(
                answer.outcome(),
                RequestOutcome::Answered,
                "{requests_sent}"
            ),
            Err(e) => break e,
        }
        requests_sent += 1;
    };
    assert_eq!(refused.category(), Category::NotRun, "{refused}");
    assert!(
        requests_sent > 10,
        "expected more than 10 answers before the refusal, got {requests_sent}"
    );

    // A leaving upstream gets no new work later than 3 s after the signal.
    let mut n = 0;
    while stopped_at.elapsed() < Duration::from_secs(3) {
        claim_on_new_connection(&site, &format!("during-{n}")).await;
        n += 1;
        sleep(Duration::from_millis(100)).await;
    }
    for n in 0..20 {
        assert_eq!(
            claim_on_new_connection(&site, &format!("late-{n}")).await,
            Some(other)
        );
    }
    for upstream in &site.upstreams {
        let refused = format!("open-{requests_sent}");
        assert!(!upstream.runs().await.contains_key(refused.as_bytes()));
    }

    upload
        .send_chunk(Bytes::from(vec![2; 100_000]))
        .await
        .unwrap();
    upload.finish().await.unwrap();
    let mut uploaded = upload.response().await.unwrap();
    assert_eq!(uploaded.read_body().await.unwrap(), "200000\n");
    assert_eq!(claim.response().await.unwrap().status, 200);
    assert!(
        site.agents[own].exit_success().is_none(),
        "a feed is still open"
    );
    assert_eq!(open_feed.read_body().await.unwrap(), feed_lines(1, 100));
    assert!(wait_for_exit(&mut site.agents[own]).await);
}

/// P1. An operator sets and clears the drain mark of an upstream: guards against
/// a mark that has no effect, aborts a feed or stops the agent, and against an
/// agent that gets no new work after the mark is cleared.
#[actix_rt::test]
async fn operator_drains_and_undrains_an_upstream() {
    let mut site = Site::start_serving(plan(56, 8)).await;
    let (mut caller, own) = connect(&site).await;
    let mut open_feed = start_feed(&mut caller, "/feed?ms=100&lines=100").await;
    open_feed.next_chunk().await.unwrap();
    let host: types::HostName = format!("agent-{own}").parse().unwrap();
    let set_drain_mark = async |site: &Site, base, drain| {
        let host = host.clone();
        accepted_revision(&site.change(base, Change::SetDrain { host, drain }).await)
    };
    let marked_revision = set_drain_mark(&site, Revision(0), true).await;
    sleep(Duration::from_secs(3)).await;
    for n in 0..10 {
        let served = claim_on_new_connection(&site, &format!("drained-{n}")).await;
        assert_eq!(served, Some(1 - own));
    }
    assert!(site.agents[own].exit_success().is_none());

    set_drain_mark(&site, marked_revision, false).await;
    wait_for("new work at the upstream", async || {
        let (mut caller, served) = connect(&site).await;
        get_text(&mut caller, "/").await;
        served == own
    })
    .await;
    assert_eq!(open_feed.read_body().await.unwrap(), feed_lines(1, 100));
    let (mut again, _) = connect(&site).await;
    sleep(Duration::from_millis(1500)).await;
    get_text(&mut again, "/").await;
}

/// Guards against an evacuation that leaves a share to the upstreams of the data centre,
/// that aborts a feed, that ends with a restart of the control host, or whose end has no
/// effect.
#[actix_rt::test]
async fn operator_evacuates_a_data_centre_and_brings_it_back() {
    let mut site = Site::start_serving(plan(61, 8)).await;
    let (mut caller, own) = connect(&site).await;
    let mut open_feed = start_feed(&mut caller, "/feed?ms=100&lines=150").await;
    open_feed.next_chunk().await.unwrap();
    let set_evacuation = async |site: &Site, base, evacuated| {
        let change = Change::SetEvacuation {
            // The data centre of this upstream; the other one is elsewhere.
            data_centre: format!("dc{own}").parse().unwrap(),
            evacuated,
        };
        accepted_revision(&site.change(base, change).await)
    };
    let revision = set_evacuation(&site, Revision(0), true).await;
    sleep(Duration::from_secs(3)).await;
    for n in 0..10 {
        let served = claim_on_new_connection(&site, &format!("evacuated-{n}")).await;
        assert_eq!(served, Some(1 - own));
    }
    site.control[0].kill();
    site.control[0] = site.start_control(0);
    // The new leader publishes a membership after one lease.
    sleep(Duration::from_secs(5)).await;
    for n in 0..10 {
        let served = claim_on_new_connection(&site, &format!("restarted-{n}")).await;
        assert_eq!(served, Some(1 - own));
    }
    let status = site.status().await;
    assert_eq!(status.evacuation.evacuated.len(), 1);

    set_evacuation(&site, revision, false).await;
    wait_for("new work at the upstream", async || {
        let (mut caller, served) = connect(&site).await;
        get_text(&mut caller, "/").await;
        served == own
    })
    .await;
    assert_eq!(open_feed.read_body().await.unwrap(), feed_lines(1, 150));
}

/// P3. Guards against a request, local or handed off by a peer, that keeps an
/// agent running after its drain timeout, and against an answer that is aborted
/// at the timeout but looks complete to the caller.
#[actix_rt::test]
async fn drain_timeout_aborts_remaining_requests() {
    let mut site = Site::start_serving(SitePlan {
        stay_at_most: "2s",
        ..plan(57, 1)
    })
    .await;
    let (mut caller, own) = connect(&site).await;
    let mut local = start_feed(&mut caller, "/feed").await;
    let mut handed_off = start_feed(&mut caller, "/feed").await;
    local.next_chunk().await.unwrap();
    handed_off.next_chunk().await.unwrap();
    // Stops the agent that runs the handed-off feed first: that feed is its only
    // request.
    for (n, feed) in [(1 - own, &mut handed_off), (own, &mut local)] {
        site.agents[n].signal(Signal::SIGTERM);
        let stopped_at = Instant::now();
        assert!(feed.read_body().await.is_err());
        assert!(wait_for_exit(&mut site.agents[n]).await);
        let stayed = stopped_at.elapsed();
        let bounds = Duration::from_millis(1900)..Duration::from_secs(4);
        assert!(bounds.contains(&stayed), "{stayed:?}");
    }
}

/// P7. Guards against a drain that aborts a request handed off by a peer.
#[actix_rt::test]
async fn handed_off_feed_completes_during_drain() {
    let mut site = Site::start_serving(plan(58, 1)).await;
    let (mut caller, own) = connect(&site).await;
    let local = start_feed(&mut caller, "/feed").await;
    let mut handed_off = start_feed(&mut caller, "/feed?ms=50&lines=60").await;
    handed_off.next_chunk().await.unwrap();
    site.agents[1 - own].signal(Signal::SIGTERM);
    assert_eq!(handed_off.read_body().await.unwrap(), feed_lines(1, 60));
    assert!(wait_for_exit(&mut site.agents[1 - own]).await);
    local.cancel();
}

/// P7. Guards against a draining agent that closes a connection before the
/// caller has received the last packets of an answer. The fabric drops 30% of
/// the datagrams, so that most answers need retransmissions.
#[actix_rt::test]
async fn last_packets_of_an_answer_arrive_during_drain() {
    let mut site = Site::start_serving(plan(59, 20)).await;
    let mut callers = Vec::new();
    for _ in 0..16 {
        callers.push(site.connect().await);
    }
    let mut feeds = Vec::new();
    for caller in &mut callers {
        // The second line is sent after the final GOAWAY.
        feeds.push(start_feed(caller, "/feed?ms=2500&lines=2").await);
    }
    for agent in &site.agents {
        agent.signal(Signal::SIGTERM);
    }
    site.fabric.set_loss_rate(0.3).await;
    for body in join_all(feeds.iter_mut().map(Response::read_body)).await {
        assert_eq!(body.unwrap(), feed_lines(0, 2));
    }
    site.fabric.set_loss_rate(0.0).await;
    for agent in &mut site.agents {
        assert!(wait_for_exit(agent).await);
    }
}

/// P1. Guards against a feed that breaks when the balancers are restarted one
/// by one, or when its agent is paused for longer than its lease.
#[actix_rt::test]
async fn feed_survives_balancer_restarts_and_a_paused_agent() {
    let mut site = Site::start_serving(plan(60, 4)).await;
    let (mut caller, own) = connect(&site).await;
    let mut open_feed = start_feed(&mut caller, "/feed?ms=50&lines=300").await;
    open_feed.next_chunk().await.unwrap();
    let changes = async {
        for n in 0..2u8 {
            let index = usize::from(n);
            site.set_fabric_balancers(&[1 - n]).await;
            sleep(Duration::from_millis(300)).await;
            site.balancers[index].signal(Signal::SIGTERM);
            assert!(wait_for_exit(&mut site.balancers[index]).await);
            let balancer = site.start_balancer(n);
            site.balancers[index] = balancer;
            sleep(Duration::from_millis(2500)).await;
        }
        site.set_fabric_balancers(&[0, 1]).await;
        site.agents[own].signal(Signal::SIGSTOP);
        sleep(Duration::from_millis(4500)).await;
        site.agents[own].signal(Signal::SIGCONT);
    };
    let (body, ()) = tokio::join!(open_feed.read_body(), changes);
    assert_eq!(body.unwrap(), feed_lines(1, 300));
    let served = timeout(Duration::from_secs(5), get_text(&mut caller, "/"));
    served.await.expect("the connection still serves");
}
