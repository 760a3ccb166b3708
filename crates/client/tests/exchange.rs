//! Tests of requests to a control host that fails or sends older versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use client::{Category, HttpClient, NodeAnnouncement, SyncEvent, SyncSettings, SyncTask};
use tokio::sync::{mpsc, watch};
use types::{Revision, Role, Term, Version};
use wire::{SyncReply, Update};

/// How the fake host handles one request.
enum Answer {
    /// Closes the connection.
    Close,
    /// Responds with this status and body.
    Reply(&'static str, Vec<u8>),
}

/// Starts a fake host that handles one request per connection and exits after the
/// last of `answers`.
fn host(answers: Vec<Answer>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().unwrap();
            let mut buf = [0; 4096];
            assert!(stream.read(&mut buf).unwrap() > 0);
            if let Answer::Reply(status, body) = answer {
                let len = body.len();
                let head = format!(
                    "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-length: {len}\r\n\r\n"
                );
                stream.write_all(head.as_bytes()).unwrap();
                stream.write_all(&body).unwrap();
            }
        }
    });
    address
}

/// Guards against a request that is reported as not sent although the host may have
/// executed it.
#[actix_rt::test]
async fn the_error_category_says_whether_the_request_may_have_been_sent() {
    let ok = wire::encode(&7u32).unwrap();
    let cases = [
        (host(Vec::new()), Category::NotSent),
        (host(vec![Answer::Close]), Category::MaybeSent),
        (
            host(vec![Answer::Reply("503 Unavailable", Vec::new())]),
            Category::InvalidReply,
        ),
        (
            host(vec![Answer::Reply("200 OK", b"text".to_vec())]),
            Category::InvalidReply,
        ),
    ];
    // Wait until the thread of the first host has exited, so that its port is
    // closed.
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let http = HttpClient::default();
    let deadline = Instant::now() + Duration::from_secs(5);
    for (n, (host, category)) in cases.into_iter().enumerate() {
        let reply: client::Result<u32> = http.post(host, "/", &1u32, deadline).await;
        assert_eq!(reply.unwrap_err().category(), category, "case {n}");
    }
    let host = host(vec![Answer::Reply("200 OK", ok)]);
    let reply: client::Result<u32> = http.post(host, "/", &1u32, deadline).await;
    assert_eq!(reply.unwrap(), 7);
}

fn version(revision: u64, epoch: u64, seq: u64) -> Version {
    Version {
        revision: Revision(revision),
        epoch: Term(epoch),
        seq,
    }
}

fn update(version: Version) -> Answer {
    let update = Update {
        version,
        is_snapshot: false,
        keys: None,
        services: Vec::new(),
        removed_services: Vec::new(),
        balancers: BTreeMap::new(),
        draining_hosts: BTreeSet::new(),
        loads: BTreeMap::new(),
    };
    let reply = SyncReply::Update(Box::new(update));
    Answer::Reply("200 OK", wire::encode(&reply).unwrap())
}

/// Guards against a node that applies an update whose revision or membership is
/// older than its own.
#[actix_rt::test]
async fn a_node_discards_older_versions() {
    let first = version(5, 2, 3);
    let last = version(6, 3, 1);
    let control = host(vec![
        update(first),
        update(version(4, 2, 4)),
        update(version(6, 1, 9)),
        update(version(6, 2, 2)),
        Answer::Close,
        update(last),
    ]);
    let cfg = SyncSettings {
        max_retry_delay: Duration::from_millis(20),
        ..SyncSettings::new(
            "lb-1".parse().unwrap(),
            Role::Balancer,
            "sofia".parse().unwrap(),
            vec![control],
        )
    };
    let (_report, reports) = watch::channel(NodeAnnouncement::default());
    let (tx, mut rx) = mpsc::channel(1);
    let task = actix_rt::spawn(SyncTask::new(cfg, HttpClient::default(), reports, tx).run());
    let mut applied = Vec::new();
    while applied.last() != Some(&last) {
        let step = tokio::time::timeout(Duration::from_secs(5), rx.recv());
        if let Some(SyncEvent::Update(update, done)) = step.await.expect("a step in time") {
            applied.push(update.version);
            let _ = done.send(());
        }
    }
    assert_eq!(applied, [first, last]);
    task.abort();
}
