//! Requests through real processes: how often they run, which outcome callers
//! get, and what happens when a caller, an upstream, an agent or a balancer
//! fails.

mod harness;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use actix_rt::time::{sleep, timeout};
use bytes::Bytes;
use caller::{Caller, Category, Endpoint, RequestOutcome, ServerTrust};
use client::HttpClient;
use futures_util::future::join_all;
use harness::{Site, SitePlan, WAIT_TIMEOUT, feed_lines, get_text, request, wait_for};
use http::Request;
use nix::sys::signal::Signal;
use standin::Upstream;
use tokio::task::JoinSet;
use types::{ReservationId, ServiceId, Slots, UpstreamId, UpstreamState};
use wire::{
    ReserveReply, ReserveRequest,
    request::{Query, QueryReply},
};

/// Length of a large upload.
const UPLOAD_BYTES: usize = 20 << 20;

fn plan(range: u8, upstreams: u8, carry: u32) -> SitePlan {
    SitePlan {
        range,
        control: 1,
        upstreams,
        carry,
        ..SitePlan::default()
    }
}

fn with_field(request: Request<Bytes>, name: &'static str, value: &str) -> Request<Bytes> {
    let (mut parts, body) = request.into_parts();
    parts.headers.insert(name, value.parse().expect("value"));
    Request::from_parts(parts, body)
}

/// Opens a connection and starts a feed that takes the only slot of its agent, so
/// that further requests on the connection are handed off. Needs a site with one
/// slot for each upstream.
async fn busy_connection(site: &Site) -> (Caller, caller::Response) {
    let mut caller = site.connect().await;
    let mut feed = caller
        .send(request("GET", "/feed", ""))
        .await
        .expect("feed");
    feed.next_chunk().await.expect("line");
    (caller, feed)
}

/// Waits until no upstream has a request in progress and no agent has one in
/// progress or queued.
async fn wait_until_idle(site: &Site) {
    wait_for("upstreams without requests", async || {
        for upstream in &site.upstreams {
            if upstream.activity().await.is_some_and(|a| a.running > 0) {
                return false;
            }
        }
        let status = site.status().await;
        let mut classes = status.services.iter().flat_map(|s| s.classes.values());
        classes.all(|class| class.in_flight == Slots(0) && class.queued == Slots(0))
    })
    .await;
}

async fn cancelled_requests(site: &Site) -> u64 {
    let mut count = 0;
    for upstream in &site.upstreams {
        count += upstream.activity().await.map_or(0, |a| a.cancelled);
    }
    count
}

/// Sends `claims` claims one after another and returns the outcome that the
/// caller got for each id. `lane` keeps the ids of parallel calls apart.
async fn send_claims(site: &Site, lane: u32, claims: u32) -> BTreeMap<String, RequestOutcome> {
    let mut outcomes = BTreeMap::new();
    for n in 0..claims {
        let id = format!("{lane}-{n}");
        let claim = async {
            let mut answer = site
                .call("POST", &format!("/claim/{id}?ms=150"), "seat")
                .await?;
            let outcome = answer.outcome();
            answer.read_body().await?;
            Ok::<_, caller::Error>(outcome)
        };
        let outcome = match timeout(Duration::from_secs(3), claim).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(e)) if e.category() == Category::NotRun => RequestOutcome::NotRun,
            Ok(Err(_)) | Err(_) => RequestOutcome::Unknown,
        };
        outcomes.insert(id, outcome);
    }
    outcomes
}

/// P4, P5. Guards against a claim that runs twice, and against the outcome
/// `not-run` for a claim that ran, while one agent is killed, another one is
/// paused, an upstream is stopped and a balancer is killed.
#[actix_rt::test]
async fn claim_runs_at_most_once_despite_failures() {
    let mut site = Site::start_serving(plan(40, 3, 2)).await;
    let (outcomes, ()) = {
        let mut agents = std::mem::take(&mut site.agents);
        let mut balancers = std::mem::take(&mut site.balancers);
        let site = &site;
        let claims = join_all((0..6).map(|lane| send_claims(site, lane, 12)));
        let failures = async move {
            sleep(Duration::from_millis(300)).await;
            agents[0].kill();
            sleep(Duration::from_millis(300)).await;
            site.upstreams[1].stop().await;
            sleep(Duration::from_millis(300)).await;
            balancers[0].kill();
            site.set_fabric_balancers(&[1]).await;
            agents[2].signal(Signal::SIGSTOP);
            sleep(Duration::from_millis(500)).await;
            agents[2].signal(Signal::SIGCONT);
            sleep(WAIT_TIMEOUT).await;
        };
        let outcomes = tokio::select! {
            outcomes = claims => outcomes,
            () = failures => panic!("the claims were not answered within {WAIT_TIMEOUT:?}"),
        };
        (outcomes, ())
    };
    let outcomes: BTreeMap<String, RequestOutcome> = outcomes.into_iter().flatten().collect();

    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for upstream in &site.upstreams {
        for (id, count) in upstream.runs().await {
            *runs
                .entry(String::from_utf8_lossy(&id).into_owned())
                .or_default() += count;
        }
    }
    let run = |id: &String| runs.get(id).copied().unwrap_or_default();
    for (id, outcome) in &outcomes {
        match outcome {
            RequestOutcome::Answered => assert_eq!(run(id), 1, "{id} was answered"),
            RequestOutcome::NotRun => assert_eq!(run(id), 0, "{id} was reported as not run"),
            RequestOutcome::Unknown => assert!(run(id) <= 1, "{id} ran {} times", run(id)),
        }
    }
    let answered = outcomes
        .values()
        .filter(|o| **o == RequestOutcome::Answered)
        .count();
    assert!(
        answered >= outcomes.len() / 2,
        "only {answered} of {} claims were answered",
        outcomes.len()
    );
}

/// P3. Guards against a truncated answer that looks complete to the caller, from
/// the agent's own upstream and through a peer, with and without a content
/// length.
#[actix_rt::test]
async fn a_truncated_answer_ends_in_a_reset() {
    let site = Site::start_serving(plan(41, 2, 1)).await;
    let (mut busy, feed) = busy_connection(&site).await;
    for path in ["/truncated", "/truncated?chunked=1"] {
        let mut handed_off = busy.send(request("GET", path, "")).await.unwrap();
        assert_eq!(handed_off.outcome(), RequestOutcome::Answered);
        let e = handed_off.read_body().await.unwrap_err();
        assert_eq!(e.category(), Category::Unknown, "{path}: {e}");
    }
    feed.cancel();
    wait_until_idle(&site).await;
    for path in ["/truncated", "/truncated?chunked=1"] {
        let mut local = busy.send(request("GET", path, "")).await.unwrap();
        let e = local.read_body().await.unwrap_err();
        assert_eq!(e.category(), Category::Unknown, "{path}: {e}");
    }
    wait_until_idle(&site).await;
}

/// Guards against requests that keep running at the upstream, or keep their slot,
/// after the caller has cancelled them: before the answer, during the answer,
/// during the upload, and by closing the connection; at the agent's own upstream
/// and through a peer.
#[actix_rt::test]
async fn a_cancelled_request_ends_at_the_upstream() {
    let site = Site::start_serving(plan(42, 2, 1)).await;
    let mut expected = 0;
    for handed_off in [false, true] {
        let (mut caller, hold) = if handed_off {
            let (caller, feed) = busy_connection(&site).await;
            (caller, Some(feed))
        } else {
            (site.connect().await, None)
        };
        let running = 1 + u64::from(handed_off);
        let wait_for_running = async |count: u64| {
            wait_for("number of requests at the upstreams", async || {
                let mut running = 0;
                for upstream in &site.upstreams {
                    running += upstream.activity().await.map_or(0, |a| a.running);
                }
                running == count
            })
            .await;
        };
        let slow = request("GET", "/slow?ms=30000", "").map(drop);
        let mut waiting = caller.start(slow).await.unwrap();
        waiting.finish().await.unwrap();
        wait_for_running(running).await;
        waiting.cancel();
        wait_for_running(running - 1).await;

        let mut feed = caller.send(request("GET", "/feed", "")).await.unwrap();
        feed.next_chunk().await.unwrap();
        wait_for_running(running).await;
        feed.cancel();
        wait_for_running(running - 1).await;

        let upload = request("POST", "/upload", "").map(drop);
        let mut upload = caller.start(upload).await.unwrap();
        upload
            .send_chunk(Bytes::from_static(&[7; 4096]))
            .await
            .unwrap();
        wait_for_running(running).await;
        upload.cancel();
        wait_for_running(running - 1).await;

        let slow = request("GET", "/slow?ms=30000", "").map(drop);
        let mut waiting = caller.start(slow).await.unwrap();
        waiting.finish().await.unwrap();
        wait_for_running(running).await;
        caller.connection().close(0u32.into(), b"");
        wait_for_running(0).await;
        drop(hold);
        expected += 3 + u64::from(handed_off);
    }
    wait_until_idle(&site).await;
    assert!(cancelled_requests(&site).await >= expected);
}

/// Guards against a deadline that is not forwarded to the upstream, that is not
/// enforced while the request waits for a slot or for its answer, or that is
/// parsed from a malformed value.
#[actix_rt::test]
async fn deadline_is_forwarded_and_enforced() {
    let site = Site::start_serving(plan(43, 2, 1)).await;
    let mut caller = site.connect().await;
    let field = "limpet-timeout-ms";
    let head = with_field(request("GET", "/head", ""), field, "5000");
    let text = caller.send(head).await.unwrap().read_body().await.unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("limpet-timeout-ms: "));
    let remaining: u64 = line.expect("deadline at the upstream").parse().unwrap();
    assert!((4000..=5000).contains(&remaining), "{remaining}");

    for malformed in ["soon", "-1", "+5", "", "1e3", "99999999999999999999"] {
        let head = with_field(request("GET", "/head", ""), field, malformed);
        let mut answer = caller.send(head).await.unwrap();
        assert_eq!(answer.status, 200, "{malformed:?}");
        let text = answer.read_body().await.unwrap();
        let text = String::from_utf8(text.to_vec()).unwrap();
        assert!(!text.contains(field), "{malformed:?}: {text}");
    }

    let far = with_field(request("GET", "/", ""), field, "18446744073709551615");
    assert_eq!(caller.send(far).await.unwrap().status, 200);

    let began = Instant::now();
    let slow = with_field(request("GET", "/slow?ms=10000", ""), field, "300");
    let answer = caller.send(slow).await.unwrap();
    assert_eq!(
        (answer.status.as_u16(), answer.outcome()),
        (504, RequestOutcome::Unknown)
    );
    assert!(began.elapsed() < Duration::from_secs(2));
    wait_until_idle(&site).await;

    let (mut busy, _one) = busy_connection(&site).await;
    let _two = busy.send(request("GET", "/feed", "")).await.unwrap();
    let began = Instant::now();
    let queued = with_field(request("POST", "/claim/late", "x"), field, "200");
    let answer = busy.send(queued).await.unwrap();
    assert_eq!(
        (answer.status.as_u16(), answer.outcome()),
        (503, RequestOutcome::NotRun)
    );
    assert!(
        began.elapsed() < Duration::from_millis(450),
        "{:?}",
        began.elapsed()
    );
    for upstream in &site.upstreams {
        assert!(upstream.runs().await.is_empty());
    }
}

/// P3. Guards against framing that does not match the answer, hop-by-hop fields
/// that are forwarded, large bodies that are truncated, and answers that arrive
/// before the request body is complete; at the agent's own upstream and through
/// a peer.
#[actix_rt::test]
async fn bodies_and_end_to_end_fields_pass_unchanged() {
    let site = Site::start_serving(plan(44, 2, 1)).await;
    let mut idle = site.connect().await;
    check_bodies(&mut idle).await;
    wait_until_idle(&site).await;
    let (mut busy, _feed) = busy_connection(&site).await;
    check_bodies(&mut busy).await;
    check_internal_paths(&mut busy).await;
}

async fn check_bodies(caller: &mut Caller) {
    for (method, path, status) in [
        ("HEAD", "/", 200),
        ("HEAD", "/feed?lines=3", 200),
        ("GET", "/empty/204", 204),
        ("GET", "/empty/304", 304),
        ("GET", "/empty/200", 200),
        ("DELETE", "/empty/204", 204),
    ] {
        let mut answer = caller.send(request(method, path, "")).await.unwrap();
        assert_eq!(answer.status, status, "{method} {path}");
        assert_eq!(
            answer.outcome(),
            RequestOutcome::Answered,
            "{method} {path}"
        );
        assert_eq!(answer.read_body().await.unwrap(), "", "{method} {path}");
    }

    let large = request("POST", "/upload", "").map(|_| Bytes::from(vec![7; UPLOAD_BYTES]));
    let mut answer = caller.send(large).await.unwrap();
    assert_eq!(
        answer.read_body().await.unwrap(),
        format!("{UPLOAD_BYTES}\n")
    );

    let early = request("POST", "/early", "").map(|_| Bytes::from(vec![7; UPLOAD_BYTES]));
    let answer = caller.send(early).await.unwrap();
    let result = (answer.status.as_u16(), answer.outcome());
    // The upstream closes the connection while the body is still being sent,
    // which may discard its answer.
    assert!(
        result == (413, RequestOutcome::Answered) || result == (502, RequestOutcome::Unknown),
        "{result:?}"
    );

    let mut outside = request("GET", "/head", "");
    for name in ["limpet-reservation", "limpet-upstream", "limpet-other"] {
        outside = with_field(outside, name, "1");
    }
    let text = caller
        .send(outside)
        .await
        .unwrap()
        .read_body()
        .await
        .unwrap();
    let text = String::from_utf8(text.to_vec()).unwrap();
    assert!(text.contains("host: localhost\n"), "{text}");
    assert!(!text.contains("limpet-"), "{text}");

    let answer = caller.send(request("GET", "/fields", "")).await.unwrap();
    assert_eq!(
        (answer.status.as_u16(), answer.outcome()),
        (200, RequestOutcome::Answered)
    );
    assert_eq!(answer.headers["x-kept"], "1");
    assert!(
        !answer.headers.contains_key("x-hop"),
        "{:?}",
        answer.headers
    );
    let internal = |name: &http::HeaderName| name.as_str().starts_with("limpet-");
    assert!(!answer.headers.keys().any(internal), "{:?}", answer.headers);

    let answer = caller.send(request("GET", "/shed", "")).await.unwrap();
    assert_eq!(
        (answer.status.as_u16(), answer.outcome()),
        (503, RequestOutcome::Answered)
    );
}

/// Guards against a caller's request that reaches the handlers for messages
/// between agents because it has the same path.
async fn check_internal_paths(busy: &mut Caller) {
    for path in ["/v1/reserve", "/v1/release", "/v1/offer"] {
        let mut answer = busy.send(request("POST", path, "x")).await.unwrap();
        assert_eq!(answer.status, 200, "{path}");
        assert!(
            answer.read_body().await.unwrap().starts_with(b"served by"),
            "{path}"
        );
    }
}

/// Guards against more concurrent requests at an upstream than it has slots, and
/// against refusals without the outcome `not-run` or a time to return.
#[actix_rt::test]
async fn upstream_never_gets_more_requests_than_slots() {
    let site = Site::start_serving(plan(45, 2, 2)).await;
    let mut callers = Vec::new();
    for _ in 0..4 {
        callers.push(site.connect().await);
    }
    let mut pending = Vec::new();
    for n in 0..40 {
        let claim = request("POST", &format!("/claim/{n}?ms=150"), "").map(drop);
        let mut claim = callers[n % 4].start(claim).await.unwrap();
        claim.finish().await.unwrap();
        pending.push(async move {
            let answer = claim.response().await.unwrap();
            let retry_after = answer.headers.get("retry-after");
            let retry_after = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
            (n, answer.status.as_u16(), answer.outcome(), retry_after)
        });
    }
    let outcomes = join_all(pending).await;
    let mut runs = BTreeSet::new();
    for upstream in &site.upstreams {
        let activity = upstream.activity().await.unwrap();
        assert!(activity.max_running <= 2, "{activity:?}");
        runs.extend(upstream.runs().await.into_keys());
    }
    for (n, status, outcome, retry_after) in outcomes {
        // Callers are told to return within a minute, and the delay is rounded up.
        let is_bounded = retry_after.is_some_and(|after: u64| (1..=61).contains(&after));
        assert_eq!(is_bounded, status == 503, "{n}: {retry_after:?}");
        let ran = runs.contains(n.to_string().as_bytes());
        match status {
            200 => assert!(ran && outcome == RequestOutcome::Answered, "{n}"),
            503 => assert!(!ran && outcome == RequestOutcome::NotRun, "{n}"),
            other => panic!("{n}: status {other}"),
        }
    }
    assert!(
        runs.len() >= 8,
        "expected at least 8 claims to run, {} ran",
        runs.len()
    );
    wait_until_idle(&site).await;
}

/// Guards against requests that fail because they are sent to an upstream that
/// refuses connections, and against an upstream that gets no requests after it
/// is restarted.
#[actix_rt::test]
async fn requests_avoid_an_upstream_that_is_down() {
    let mut site = Site::start_serving(plan(46, 2, 4)).await;
    let mut caller = site.connect().await;
    let served = get_text(&mut caller, "/").await;
    let own = usize::from(served.contains("upstream-1"));
    let address = site.upstreams[own].address;
    site.upstreams[own].stop().await;

    let state = async |site: &Site| {
        let status = site.status().await;
        let upstreams = status.services.into_iter().flat_map(|s| s.upstreams);
        let host = format!("agent-{own}");
        let found = upstreams.into_iter().find(|u| u.host.as_str() == host);
        found.map(|u| u.state)
    };
    for _ in 0..20 {
        assert_ne!(get_text(&mut caller, "/").await, served);
    }
    wait_for("upstream that is down", async || {
        state(&site).await == Some(UpstreamState::Down)
    })
    .await;
    site.upstreams[own] = Upstream::start(&format!("upstream-{own}"), address).unwrap();
    wait_for("upstream that is ready", async || {
        state(&site).await == Some(UpstreamState::Ready)
    })
    .await;
    assert_eq!(get_text(&mut caller, "/").await, served);
}

/// Guards against a load report that does not limit the requests in progress.
#[actix_rt::test]
async fn a_load_report_lowers_the_slots() {
    let site = Site::start_serving(SitePlan {
        load_path: Some("/load"),
        ..plan(47, 1, 4)
    })
    .await;
    site.upstreams[0].set_slots(1);
    // Longer than the interval at which the agent reads the load report.
    sleep(Duration::from_millis(1200)).await;
    let mut caller = site.connect().await;
    let mut pending = Vec::new();
    for _ in 0..6 {
        let slow = request("GET", "/slow?ms=60", "").map(drop);
        let mut slow = caller.start(slow).await.unwrap();
        slow.finish().await.unwrap();
        pending.push(slow.response());
    }
    join_all(pending).await;
    assert_eq!(site.upstreams[0].activity().await.unwrap().max_running, 1);
}

/// P2. Guards against an agent that accepts datagrams or requests for another
/// service or for an earlier incarnation of itself.
#[actix_rt::test]
async fn messages_for_another_service_or_incarnation_are_dropped() {
    let mut site = Site::start_serving(plan(48, 1, 4)).await;
    let mut caller = site.connect().await;
    get_text(&mut caller, "/").await;

    // An initial packet to the address of another service.
    let socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let endpoints = wire::Endpoints {
        caller: "127.0.0.1:9".parse().unwrap(),
        service: "127.0.0.1:9".parse().unwrap(),
    };
    let mut datagram = Vec::new();
    endpoints.encode(&mut datagram);
    datagram.extend_from_slice(&[0xc0; 1200]);
    let agent = harness::data_address(site.plan, 0);
    socket.send_to(&datagram, agent).await.unwrap();
    wait_for("drop of a datagram for another service", async || {
        site.dropped_datagrams(0, "other_service").await >= 1.0
    })
    .await;

    check_claims(&site).await;

    // The next incarnation at the same address drops packets of the earlier
    // one's connections.
    site.agents[0].kill();
    let agent = site.start_agent(0);
    site.agents[0] = agent;
    wait_for("answer of the next incarnation", async || {
        let call = timeout(Duration::from_secs(2), site.call("GET", "/", ""));
        call.await.is_ok_and(|a| a.is_ok_and(|a| a.status == 200))
    })
    .await;
    let old = timeout(Duration::from_secs(2), caller.send(request("GET", "/", "")));
    assert!(!matches!(old.await, Ok(Ok(_))));
}

/// Checks that a claim for another service or incarnation is refused as not run,
/// even with a valid reservation.
async fn check_claims(site: &Site) {
    let status = site.status().await;
    let upstream = status.services[0].upstreams[0].id;
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let reply = site.operator.query("/v1/query", &Query::Services, deadline);
    let QueryReply::Services(services) = reply.await.unwrap() else {
        panic!("no services");
    };
    let service = services[0].id;
    let agent = harness::peer_address(site.plan, 0);
    let cases = [
        (UpstreamId(upstream.0 ^ 1), service, false),
        (upstream, ServiceId(service.0 ^ 1), false),
        (upstream, service, true),
    ];
    for (n, (upstream_field, service_field, runs)) in (1..).zip(cases) {
        let id = ReservationId(n);
        let reserve = ReserveRequest {
            id,
            service,
            upstream,
            from: UpstreamId(9),
            class: "default".parse().unwrap(),
            hold: Duration::from_millis(200),
        };
        let http = HttpClient::default();
        let reply = http.post::<_, ReserveReply>(agent, "/v1/reserve", &reserve, deadline);
        assert_eq!(reply.await.unwrap(), ReserveReply::Granted);
        let claim = format!(
            "POST /claim/{n} HTTP/1.1\r\nhost: x\r\nlimpet-upstream: {upstream_field}\r\n\
            limpet-service: {service_field}\r\nlimpet-reservation: {id}\r\n\
            content-length: 0\r\nconnection: close\r\n\r\n"
        );
        let text = harness::send_text(agent, &claim).await;
        assert_eq!(!text.contains("limpet-outcome: not-run"), runs, "{text}");
        let name = n.to_string();
        let ran = site.upstreams[0].runs().await;
        assert_eq!(ran.contains_key(name.as_bytes()), runs, "{n}");
    }
}

/// Guards against more connections than the limit of an upstream, and against a
/// connection count that does not decrease when connections close.
#[actix_rt::test]
async fn connections_of_an_upstream_are_limited() {
    let site = Site::start_serving(SitePlan {
        connections: 3,
        ..plan(49, 1, 4)
    })
    .await;
    let mut open = Vec::new();
    for _ in 0..3 {
        open.push(site.connect().await);
    }
    let e = site.try_connect().await.err().expect("refused connection");
    assert_eq!(e.category(), Category::NotRun, "{e}");
    assert_eq!(get_text(&mut open[0], "/").await, "served by upstream-0\n");
    open.clear();
    wait_for("connection below the limit", async || {
        site.try_connect().await.is_ok()
    })
    .await;
}

/// Guards against a flood of initial packets from spoofed addresses that takes
/// all connections. The agent must ask for address validation, so that callers
/// that answer it still connect.
#[actix_rt::test]
async fn flood_of_initial_packets_does_not_block_callers() {
    let site = Site::start_serving(SitePlan {
        connections: 400,
        ..plan(52, 1, 4)
    })
    .await;
    let silent_socket = tokio::net::UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let silent_address = silent_socket.local_addr().unwrap();
    let endpoint = Endpoint::open(silent_address, ServerTrust::Any).unwrap();
    let agent = harness::data_address(site.plan, 0);
    let mut buf = vec![0; 2048];
    let mut connecting = JoinSet::new();
    for _ in 0..600 {
        let endpoint = endpoint.clone();
        connecting.spawn_local(async move {
            let _ = Caller::connect(&endpoint, silent_address, "localhost").await;
        });
        let (len, _) = silent_socket.recv_from(&mut buf).await.unwrap();
        let endpoints = wire::Endpoints {
            caller: "127.0.0.1:9".parse().unwrap(),
            service: site.fabric.service,
        };
        let mut datagram = Vec::new();
        endpoints.encode(&mut datagram);
        datagram.extend_from_slice(&buf[..len]);
        silent_socket.send_to(&datagram, agent).await.unwrap();
    }
    wait_for("address validation", async || {
        let name = "limpet_agent_refused_connections_total{reason=\"retry\"}";
        site.agent_metric(0, name).await > 0.0
    })
    .await;
    let mut caller = site.connect().await;
    assert_eq!(get_text(&mut caller, "/").await, "served by upstream-0\n");
}

/// P1. Guards against an agent that keeps sending answers through a paused
/// balancer, and against a feed that breaks when a balancer is paused or resumed.
#[actix_rt::test]
async fn agent_stops_using_a_paused_balancer() {
    let site = Site::start_serving(plan(50, 1, 4)).await;
    let mut caller = site.connect().await;
    let mut feed = caller
        .send(request("GET", "/feed?ms=20&lines=150", ""))
        .await
        .unwrap();
    site.balancers[0].signal(Signal::SIGSTOP);
    site.set_fabric_balancers(&[1]).await;
    // An agent stops using a balancer that has been silent for 300 ms.
    sleep(Duration::from_millis(300)).await;
    let mut slowest = Duration::ZERO;
    for _ in 0..40 {
        let began = Instant::now();
        get_text(&mut caller, "/").await;
        slowest = slowest.max(began.elapsed());
    }
    // An answer through the paused balancer is lost and is sent again only after
    // a probe timeout.
    assert!(slowest < Duration::from_millis(150), "{slowest:?}");
    site.balancers[0].signal(Signal::SIGCONT);
    assert_eq!(feed.read_body().await.unwrap(), feed_lines(0, 150));
}

/// P3. Guards against an answer that is matched to another request, when answers
/// arrive out of order and the fabric drops 2% of the datagrams.
#[actix_rt::test]
async fn answers_match_their_requests() {
    let site = Site::start_serving(plan(51, 2, 8)).await;
    let mut caller = site.connect().await;
    site.fabric.set_loss_rate(0.02).await;
    let mut pending = Vec::new();
    for n in 0..60 {
        let path = format!("/head?n={n}&ms={}", (n * 7) % 50);
        let head = request("GET", &path, "").map(drop);
        let mut head = caller.start(head).await.unwrap();
        head.finish().await.unwrap();
        pending.push(async move {
            let mut answer = head.response().await.unwrap();
            let outcome = answer.outcome();
            (path, outcome, answer.read_body().await.unwrap())
        });
    }
    let mut answered = 0;
    for (path, outcome, body) in join_all(pending).await {
        if outcome == RequestOutcome::Answered {
            let first = format!("GET {path}\n");
            assert!(body.starts_with(first.as_bytes()), "{path}: {body:?}");
            answered += 1;
        }
    }
    assert!(
        answered >= 30,
        "only {answered} of 60 requests were answered"
    );
}
