//! Agents that leave, by signal and by an operator's mark, and planned changes
//! under open feeds.

mod harness;

use std::time::{Duration, Instant};

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use caller::{Answer, Caller, Category, Outcome};
use futures_util::future::join_all;
use harness::{Plan, Process, Site, accepted, answer_of, feed_lines, request, wait_for};
use nix::sys::signal::Signal;
use types::{Change, Revision};

fn plan(range: u8, carry: u32) -> Plan {
    Plan {
        range,
        control: 1,
        carry,
        ..Plan::default()
    }
}

/// A connection and the number of the upstream that serves it.
async fn connect(site: &Site) -> (Caller, usize) {
    let mut caller = site.connect().await;
    let served = answer_of(&mut caller, "/").await;
    let number = served.trim().rsplit('-').next().expect("name");
    (caller, number.parse().expect("number"))
}

async fn feed(caller: &mut Caller, path: &str) -> Answer {
    caller.send(request("GET", path, "")).await.expect("feed")
}

/// Waits until a process has ended and tells whether it ended well.
async fn ended(process: &mut Process) -> bool {
    let mut status = None;
    wait_for("end of the process", async || {
        status = process.ended();
        status.is_some()
    })
    .await;
    status == Some(true)
}

/// Claims on a new connection and tells which upstream ran it.
async fn claim_anew(site: &Site, id: &str) -> Option<usize> {
    let answer = site.call("POST", &format!("/claim/{id}"), "seat").await;
    let answer = answer.expect("answer on a new connection");
    assert_eq!(answer.outcome(), Outcome::Answered, "{id}");
    for (n, upstream) in site.upstreams.iter().enumerate() {
        if upstream.runs().await.contains_key(id.as_bytes()) {
            return Some(n);
        }
    }
    None
}

/// P1, P6, P7. Guards against a drain that cuts a feed, an upload or a claim,
/// gives the upstream new work, loses requests of open connections or does not
/// end.
#[actix_rt::test]
async fn a_stopping_agent_cuts_nothing_and_takes_nothing_new() {
    let mut site = Site::serving(plan(55, 8)).await;
    let (mut caller, own) = connect(&site).await;
    let other = 1 - own;
    let mut open_feed = feed(&mut caller, "/feed?ms=50&lines=100").await;
    open_feed.part().await.unwrap();
    let upload = request("POST", "/upload", "").map(drop);
    let mut upload = caller.start(upload).await.unwrap();
    upload.send(Bytes::from(vec![1; 100_000])).await.unwrap();
    let claim = request("POST", "/claim/early?ms=2500", "").map(drop);
    let mut claim = caller.start(claim).await.unwrap();
    claim.finish().await.unwrap();
    wait_for("claim at the upstream", async || {
        !site.upstreams[own].runs().await.is_empty()
    })
    .await;

    // Requests on the open connection go on until the caller has heard GOAWAY.
    let mut loops = 0;
    let stopped_at = Instant::now();
    let refused = loop {
        if loops == 10 {
            site.agents[own].signal(Signal::SIGTERM);
        }
        let claim = request("POST", &format!("/claim/open-{loops}"), "");
        match caller.send(claim).await {
            Ok(answer) => assert_eq!(answer.outcome(), Outcome::Answered, "{loops}"),
            Err(e) => break e,
        }
        loops += 1;
    };
    assert_eq!(refused.category(), Category::NotRun, "{refused}");
    assert!(loops > 10, "the agent left at {loops}");

    // The stated time after which a leaving upstream gets no new work.
    let mut n = 0;
    while stopped_at.elapsed() < Duration::from_secs(3) {
        claim_anew(&site, &format!("during-{n}")).await;
        n += 1;
        sleep(Duration::from_millis(100)).await;
    }
    for n in 0..20 {
        assert_eq!(claim_anew(&site, &format!("late-{n}")).await, Some(other));
    }
    for upstream in &site.upstreams {
        let refused = format!("open-{loops}");
        assert!(!upstream.runs().await.contains_key(refused.as_bytes()));
    }

    upload.send(Bytes::from(vec![2; 100_000])).await.unwrap();
    upload.finish().await.unwrap();
    let mut uploaded = upload.answer().await.unwrap();
    assert_eq!(uploaded.body().await.unwrap(), "200000\n");
    assert_eq!(claim.answer().await.unwrap().status, 200);
    assert!(site.agents[own].ended().is_none(), "a feed is still open");
    assert_eq!(open_feed.body().await.unwrap(), feed_lines(1, 100));
    assert!(ended(&mut site.agents[own]).await);
}

/// P1. Guards against a mark of an operator that is not heeded, that cuts a
/// feed or ends the agent, and against an agent that does not serve again once
/// the mark is taken back.
#[actix_rt::test]
async fn an_operator_drains_an_upstream_and_takes_it_back() {
    let mut site = Site::serving(plan(56, 8)).await;
    let (mut caller, own) = connect(&site).await;
    let mut open_feed = feed(&mut caller, "/feed?ms=100&lines=100").await;
    open_feed.part().await.unwrap();
    let host: types::HostName = format!("agent-{own}").parse().unwrap();
    let mark = async |site: &Site, base, drain| {
        let host = host.clone();
        accepted(&site.change(base, Change::SetDrain { host, drain }).await)
    };
    let marked = mark(&site, Revision(0), true).await;
    sleep(Duration::from_secs(3)).await;
    for n in 0..10 {
        let served = claim_anew(&site, &format!("drained-{n}")).await;
        assert_eq!(served, Some(1 - own));
    }
    assert!(site.agents[own].ended().is_none());

    mark(&site, marked, false).await;
    wait_for("new work at the upstream", async || {
        let (mut caller, served) = connect(&site).await;
        answer_of(&mut caller, "/").await;
        served == own
    })
    .await;
    assert_eq!(open_feed.body().await.unwrap(), feed_lines(1, 100));
    let (mut again, _) = connect(&site).await;
    sleep(Duration::from_millis(1500)).await;
    answer_of(&mut again, "/").await;
}

/// P3. Guards against an agent that outlives the end of its stay because of a
/// request, also of one that a peer handed off, and against an answer that is
/// cut there but ends like a whole one.
#[actix_rt::test]
async fn a_stay_ends() {
    let mut site = Site::serving(Plan {
        stay_at_most: "2s",
        ..plan(57, 1)
    })
    .await;
    let (mut caller, own) = connect(&site).await;
    let mut local = feed(&mut caller, "/feed").await;
    let mut handed_off = feed(&mut caller, "/feed").await;
    local.part().await.unwrap();
    handed_off.part().await.unwrap();
    // First the one that runs the handed-off feed, which alone keeps it.
    for (n, feed) in [(1 - own, &mut handed_off), (own, &mut local)] {
        site.agents[n].signal(Signal::SIGTERM);
        let stopped_at = Instant::now();
        assert!(feed.body().await.is_err());
        assert!(ended(&mut site.agents[n]).await);
        let stayed = stopped_at.elapsed();
        let bounds = Duration::from_millis(1900)..Duration::from_secs(4);
        assert!(bounds.contains(&stayed), "{stayed:?}");
    }
}

/// P7. Guards against a drain that cuts a request that a peer handed off.
#[actix_rt::test]
async fn a_handed_off_feed_outlives_the_drain_of_its_upstream() {
    let mut site = Site::serving(plan(58, 1)).await;
    let (mut caller, own) = connect(&site).await;
    let local = feed(&mut caller, "/feed").await;
    let mut handed_off = feed(&mut caller, "/feed?ms=50&lines=60").await;
    handed_off.part().await.unwrap();
    site.agents[1 - own].signal(Signal::SIGTERM);
    assert_eq!(handed_off.body().await.unwrap(), feed_lines(1, 60));
    assert!(ended(&mut site.agents[1 - own]).await);
    local.cancel();
}

/// P7. Guards against a connection that a draining agent closes before the
/// caller has the last packets of an answer: many are lost on the way.
#[actix_rt::test]
async fn the_last_packets_of_an_answer_arrive() {
    let mut site = Site::serving(plan(59, 20)).await;
    let mut callers = Vec::new();
    for _ in 0..16 {
        callers.push(site.connect().await);
    }
    let mut feeds = Vec::new();
    for caller in &mut callers {
        // The second line comes after the last GOAWAY.
        feeds.push(feed(caller, "/feed?ms=2500&lines=2").await);
    }
    for agent in &site.agents {
        agent.signal(Signal::SIGTERM);
    }
    site.fabric.set_loss(0.3).await;
    for body in join_all(feeds.iter_mut().map(Answer::body)).await {
        assert_eq!(body.unwrap(), feed_lines(0, 2));
    }
    site.fabric.set_loss(0.0).await;
    for agent in &mut site.agents {
        assert!(ended(agent).await);
    }
}

/// P1. Guards against a feed that depends on anything that a planned change
/// touches: balancers are restarted one by one, an upstream joins, targets
/// change, and the agent of the feed is frozen for longer than its lease.
#[actix_rt::test]
async fn a_feed_outlives_planned_changes_and_a_freeze() {
    let mut site = Site::serving(plan(60, 4)).await;
    let (mut caller, own) = connect(&site).await;
    let mut open_feed = feed(&mut caller, "/feed?ms=50&lines=300").await;
    open_feed.part().await.unwrap();
    let changes = async {
        for n in 0..2u8 {
            let index = usize::from(n);
            site.use_balancers(&[1 - n]).await;
            sleep(Duration::from_millis(300)).await;
            site.balancers[index].signal(Signal::SIGTERM);
            assert!(ended(&mut site.balancers[index]).await);
            let balancer = site.start_balancer(n);
            site.balancers[index] = balancer;
            sleep(Duration::from_millis(2500)).await;
        }
        site.use_balancers(&[0, 1]).await;
        site.agents[own].signal(Signal::SIGSTOP);
        sleep(Duration::from_millis(4500)).await;
        site.agents[own].signal(Signal::SIGCONT);
    };
    let (body, ()) = tokio::join!(open_feed.body(), changes);
    assert_eq!(body.unwrap(), feed_lines(1, 300));
    let served = timeout(Duration::from_secs(5), answer_of(&mut caller, "/"));
    served.await.expect("the connection still serves");
}
