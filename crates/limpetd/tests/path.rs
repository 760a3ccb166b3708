//! The whole path with real processes: three control hosts, two balancers, two
//! upstreams with an agent each, and a fabric that sprays datagrams.

mod harness;

use harness::{Plan, Site, feed_lines, request, wait_for};

/// Guards against a path that does not hold together, and against a feed that
/// depends on one balancer.
#[actix_rt::test]
async fn a_request_is_served_and_a_feed_outlives_a_balancer() {
    let mut site = Site::serving(Plan {
        range: 1,
        ..Plan::default()
    })
    .await;

    let mut answer = site.call("GET", "/", "").await.unwrap();
    assert_eq!(answer.status, 200);
    let body = answer.body().await.unwrap();
    assert!(body.starts_with(b"served by upstream-"), "{body:?}");

    let mut caller = site.connect().await;
    let request = request("GET", "/feed?ms=20&lines=200", "");
    let mut feed = caller.send(request).await.unwrap();
    assert_eq!(feed.part().await.unwrap().unwrap(), "0\n");

    site.balancers[0].kill();
    let rest = feed.body().await.unwrap();
    assert_eq!(rest, feed_lines(1, 200));

    site.use_balancers(&[1]).await;
    wait_for("answer through the other balancer", async || {
        site.call("GET", "/", "")
            .await
            .is_ok_and(|a| a.status == 200)
    })
    .await;
}
