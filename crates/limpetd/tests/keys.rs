//! Claims with idempotency keys, with real processes.

mod harness;

use std::{collections::BTreeMap, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use caller::{Caller, Response};
use harness::{Site, SitePlan, request, wait_for};
use http::Request;
use types::ChangeId;

/// A claim request with its idempotency key.
struct Claim {
    id: String,
    key: String,
    query: &'static str,
}

impl Claim {
    fn new(query: &'static str) -> Self {
        // Idempotency keys are version 7 UUIDs, as change ids are.
        let key = ChangeId::generate().to_string();
        Claim {
            id: format!("claim-{key}"),
            key,
            query,
        }
    }

    fn request(&self) -> Request<Bytes> {
        let path = format!("/claim/{}{}", self.id, self.query);
        let mut request = request("POST", &path, "");
        let key = format!("\"{}\"", self.key).parse().expect("key");
        request.headers_mut().insert("idempotency-key", key);
        request
    }

    async fn send(&self, caller: &mut Caller) -> caller::Result<Response> {
        caller.send(self.request()).await
    }
}

/// Number of runs of each claim, summed over all upstreams.
async fn claim_runs(site: &Site) -> BTreeMap<Bytes, u64> {
    let mut all = BTreeMap::new();
    for upstream in &site.upstreams {
        for (id, count) in upstream.runs().await {
            *all.entry(id).or_default() += count;
        }
    }
    all
}

/// Starts a site and waits until 20 claims in a row run, so that the home of
/// every key accepts new keys.
async fn start_accepting_keys(range: u8) -> Site {
    let site = Site::start_serving(SitePlan {
        range,
        upstreams: 3,
        ..SitePlan::default()
    })
    .await;
    let mut consecutive_runs = 0;
    wait_for("20 accepted claims in a row", async || {
        let mut caller = site.connect().await;
        let answer = Claim::new("").send(&mut caller).await;
        let claim_ran = answer.is_ok_and(|answer| answer.status == 200);
        consecutive_runs = if claim_ran { consecutive_runs + 1 } else { 0 };
        consecutive_runs >= 20
    })
    .await;
    site
}

/// Guards against a claim that runs again when its caller resends it on another
/// connection, which most likely reaches another agent.
#[actix_rt::test]
async fn resent_claim_gets_its_first_answer() {
    let site = start_accepting_keys(80).await;
    for _ in 0..8 {
        let claim = Claim::new("");
        for _ in 0..4 {
            let mut caller = site.connect().await;
            let mut answer = claim.send(&mut caller).await.unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(answer.read_body().await.unwrap(), "1\n");
        }
    }
    assert!(claim_runs(&site).await.values().all(|runs| *runs == 1));
}

/// Guards against a claim that is lost or runs twice when its caller disconnects
/// before the answer, and against a key that is accepted for two different
/// requests.
#[actix_rt::test]
async fn claim_is_answered_after_its_caller_disconnects() {
    let site = start_accepting_keys(81).await;
    let claim = Claim::new("?ms=600");
    let mut first = site.connect().await;
    let sent = tokio::time::timeout(Duration::from_millis(300), claim.send(&mut first)).await;
    assert!(
        sent.is_err(),
        "the claim was answered before the caller disconnected"
    );
    drop(first);

    let mut in_progress = false;
    wait_for("answer to the resent claim", async || {
        let mut caller = site.connect().await;
        let mut answer = claim.send(&mut caller).await.unwrap();
        in_progress |= answer.status == 409;
        answer.status == 200 && answer.read_body().await.unwrap() == "1\n"
    })
    .await;
    assert!(
        in_progress,
        "no resend was refused with 409 while the first claim ran"
    );

    let other = Claim {
        id: "another".into(),
        ..claim
    };
    let mut caller = site.connect().await;
    let answer = other.send(&mut caller).await.unwrap();
    assert_eq!(answer.status, 422);
    assert!(claim_runs(&site).await.values().all(|runs| *runs == 1));
}

/// Guards against a claim that runs again after the agent that held its answer
/// or its record was killed.
#[actix_rt::test]
async fn no_claim_runs_twice_when_agents_crash() {
    let mut site = start_accepting_keys(82).await;
    let claims: Vec<Claim> = (0..12).map(|_| Claim::new("?ms=400")).collect();
    let mut callers = Vec::new();
    for claim in &claims {
        let mut caller = site.connect().await;
        let request = claim.request();
        callers.push(actix_rt::spawn(async move {
            // Fails if the agent is killed before it answers.
            let _ = caller.send(request).await;
        }));
    }
    sleep(Duration::from_millis(200)).await;
    site.agents[0].kill();
    for caller in callers {
        caller.abort();
    }

    // Long enough for the lease to expire and for keys to move to another home.
    for _ in 0..10 {
        for claim in &claims {
            if let Ok(mut caller) = site.try_connect().await {
                let _ = claim.send(&mut caller).await;
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
    let runs = claim_runs(&site).await;
    for (claim, count) in &runs {
        assert!(*count <= 1, "{claim:?} ran {count} times");
    }
}
