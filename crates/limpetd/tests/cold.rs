//! Requests at a cold upstream of a small site.

mod harness;

use std::time::{Duration, Instant};

use harness::{Site, SitePlan, request};

/// Guards against a setting that has no effect on the requests at a cold upstream, or that
/// lets none of them through.
#[actix_rt::test]
async fn a_cold_upstream_gets_requests_at_the_stated_rate() {
    let plan = SitePlan {
        range: 88,
        control: 1,
        balancers: 1,
        upstreams: 1,
        carry: 8,
        cold_per_s: Some("4"),
        ..SitePlan::default()
    };
    let site = Site::start_serving(plan).await;
    let mut caller = site.connect().await;
    let begin = Instant::now();
    let mut answered = Vec::new();
    while begin.elapsed() < Duration::from_secs(4) {
        let mut answer = caller.send(request("GET", "/", "")).await.expect("answer");
        let status = answer.status.as_u16();
        answer.read_body().await.expect("whole answer");
        assert!(matches!(status, 200 | 503), "{status}");
        if status == 200 {
            answered.push(Instant::now());
        }
    }
    // The bound is 4 x 1.5 + 5. The stated rate gives 16 in this time.
    for second in answered.windows(12) {
        assert!(second[11] - second[0] >= Duration::from_secs(1));
    }
    assert!((8..=20).contains(&answered.len()), "{}", answered.len());
}
