//! Claims under idempotency keys, with real processes.

mod harness;

use std::{collections::BTreeMap, time::Duration};

use actix_rt::time::sleep;
use bytes::Bytes;
use caller::{Answer, Caller};
use harness::{Plan, Site, request, wait_for};
use http::Request;
use types::ChangeId;

/// A claim with a new key.
struct Claim {
    id: String,
    key: String,
    query: &'static str,
}

impl Claim {
    fn new(query: &'static str) -> Self {
        // Change ids are version 7 UUIDs, as keys are.
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

    async fn send(&self, caller: &mut Caller) -> caller::Result<Answer> {
        caller.send(self.request()).await
    }
}

/// How often each claim ran, over all upstreams.
async fn runs(site: &Site) -> BTreeMap<Bytes, u64> {
    let mut all = BTreeMap::new();
    for upstream in &site.upstreams {
        for (id, count) in upstream.runs().await {
            *all.entry(id).or_default() += count;
        }
    }
    all
}

/// A site whose homes let new keys run.
async fn settled(range: u8) -> Site {
    let site = Site::serving(Plan {
        range,
        upstreams: 3,
        ..Plan::default()
    })
    .await;
    let mut in_a_row = 0;
    wait_for("settled homes", async || {
        let mut caller = site.connect().await;
        let answer = Claim::new("").send(&mut caller).await;
        let settled = answer.is_ok_and(|answer| answer.status == 200);
        in_a_row = if settled { in_a_row + 1 } else { 0 };
        in_a_row >= 20
    })
    .await;
    site
}

/// Guards against a claim that runs again when its caller resends it, on
/// another connection and so most likely to another agent.
#[actix_rt::test]
async fn a_resent_claim_gets_its_first_answer() {
    let site = settled(80).await;
    for _ in 0..8 {
        let claim = Claim::new("");
        for _ in 0..4 {
            let mut caller = site.connect().await;
            let mut answer = claim.send(&mut caller).await.unwrap();
            assert_eq!(answer.status, 200);
            assert_eq!(answer.body().await.unwrap(), "1\n");
        }
    }
    assert!(runs(&site).await.values().all(|runs| *runs == 1));
}

/// Guards against a claim that is lost or runs twice when its caller goes away
/// before the answer, and against a key that serves two requests.
#[actix_rt::test]
async fn a_claim_whose_caller_went_away_is_answered_later() {
    let site = settled(81).await;
    let claim = Claim::new("?ms=600");
    let mut first = site.connect().await;
    let sent = tokio::time::timeout(Duration::from_millis(300), claim.send(&mut first)).await;
    assert!(sent.is_err(), "answered too early for the test");
    drop(first);

    let mut in_progress = false;
    wait_for("answer to the resent claim", async || {
        let mut caller = site.connect().await;
        let mut answer = claim.send(&mut caller).await.unwrap();
        in_progress |= answer.status == 409;
        answer.status == 200 && answer.body().await.unwrap() == "1\n"
    })
    .await;
    assert!(in_progress, "a resend came through while the first one ran");

    let other = Claim {
        id: "another".into(),
        ..claim
    };
    let mut caller = site.connect().await;
    let answer = other.send(&mut caller).await.unwrap();
    assert_eq!(answer.status, 422);
    assert!(runs(&site).await.values().all(|runs| *runs == 1));
}

/// Guards against a claim that runs again after an agent has died with the
/// answer or with the record of it.
#[actix_rt::test]
async fn no_claim_runs_twice_when_agents_die() {
    let mut site = settled(82).await;
    let claims: Vec<Claim> = (0..12).map(|_| Claim::new("?ms=400")).collect();
    let mut callers = Vec::new();
    for claim in &claims {
        let mut caller = site.connect().await;
        let request = claim.request();
        callers.push(actix_rt::spawn(async move {
            // The agent may die before it answers.
            let _ = caller.send(request).await;
        }));
    }
    sleep(Duration::from_millis(200)).await;
    site.agents[0].kill();
    for caller in callers {
        caller.abort();
    }

    // Long enough for the lease to end and for homes to change.
    for _ in 0..10 {
        for claim in &claims {
            if let Ok(mut caller) = site.try_connect().await {
                let _ = claim.send(&mut caller).await;
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
    let runs = runs(&site).await;
    for (claim, count) in &runs {
        assert!(*count <= 1, "{claim:?} ran {count} times");
    }
}
