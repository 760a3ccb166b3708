//! A request from the caller to the upstream, with real processes: three control
//! hosts, two balancers, two upstreams with an agent each, and a fabric that
//! sends each datagram to a random balancer.

mod harness;

use harness::{Site, SitePlan, feed_lines, request, wait_for};

/// Guards against a request that fails on the way from the caller to the
/// upstream, and against a feed that breaks because one balancer is killed.
#[actix_rt::test]
async fn request_is_answered_and_feed_survives_balancer_crash() {
    let mut site = Site::start_serving(SitePlan {
        range: 1,
        ..SitePlan::default()
    })
    .await;

    let mut answer = site.call("GET", "/", "").await.unwrap();
    assert_eq!(answer.status, 200);
    let body = answer.read_body().await.unwrap();
    assert!(body.starts_with(b"served by upstream-"), "{body:?}");

    let mut caller = site.connect().await;
    let request = request("GET", "/feed?ms=20&lines=200", "");
    let mut feed = caller.send(request).await.unwrap();
    assert_eq!(feed.next_chunk().await.unwrap().unwrap(), "0\n");

    site.balancers[0].kill();
    let rest = feed.read_body().await.unwrap();
    assert_eq!(rest, feed_lines(1, 200));

    site.set_fabric_balancers(&[1]).await;
    wait_for("answer through the other balancer", async || {
        site.call("GET", "/", "")
            .await
            .is_ok_and(|a| a.status == 200)
    })
    .await;
}
