//! What nodes learn of one another.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use directory::{Directory, DirectoryVersion, NODE_LEASE, Node, NodeRole, View};
use types::MemberId;

fn node(n: u8, run: u64, seq: u64) -> Node {
    Node {
        incarnation: run,
        seq,
        ..Node::example(&format!("10.0.0.{n}:7000"))
    }
}

fn follow(view: &mut View, directory: &Directory, now: Instant) {
    for news in directory.deltas_since(view.version()) {
        view.apply(news, now);
    }
}

fn known(view: &View) -> Vec<Node> {
    view.nodes().cloned().collect()
}

fn held(directory: &Directory) -> Vec<Node> {
    directory.nodes().map(|(node, _)| node.clone()).collect()
}

/// Guards against a view that differs from the directory it follows, whatever
/// order hellos, silences and lost news come in.
#[test]
fn a_view_that_follows_equals_the_directory() {
    arbtest(|u| {
        let mut now = Instant::now();
        let mut directory = Directory::new(1);
        let mut view = View::default();
        for _ in 0..u.int_in_range(1..=60)? {
            now += Duration::from_millis(u.int_in_range(1..=1500)?);
            let n = u.int_in_range(1..=40)?;
            match u.int_in_range(0..=3)? {
                0 => drop(directory.expire(now)),
                1 => follow(&mut view, &directory, now),
                _ => drop(
                    directory
                        .record_hello(node(n, u.int_in_range(1..=2)?, u.int_in_range(0..=3)?), now),
                ),
            }
        }
        follow(&mut view, &directory, now);
        assert_eq!(known(&view), held(&directory));
        assert!(directory.deltas_since(view.version()).is_empty());
        Ok(())
    })
    .seed(0x11_0000_4000)
    .run();
}

/// Guards against nodes that are forgotten because another control host, which
/// has just started, does not know them yet.
#[test]
fn a_new_control_host_takes_nobody_away_at_once() {
    let now = Instant::now();
    let mut old = Directory::new(1);
    for n in 1..=5 {
        old.record_hello(node(n, 1, 0), now);
    }
    let mut view = View::default();
    follow(&mut view, &old, now);
    let mut new = Directory::new(2);
    new.record_hello(node(1, 1, 0), now);
    follow(&mut view, &new, now);
    assert!(view.expire(now + NODE_LEASE).is_empty());
    assert_eq!(view.nodes().count(), 5);
    assert_eq!(view.expire(now + 2 * NODE_LEASE).len(), 4);
}

/// Guards against a node that an earlier run, heard late, takes the place of.
#[test]
fn what_an_earlier_run_said_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut directory = Directory::new(1);
    directory.record_hello(node(1, 2, 0), now + Duration::from_secs(1));
    let late = directory.record_relayed(
        node(1, 1, 9),
        Duration::from_secs(1),
        now + Duration::from_secs(1),
    );
    assert!(!late);
    assert_eq!(held(&directory), [node(1, 2, 0)]);
}

/// Guards against control hosts that are no seeds and never hear of one
/// another: a new leader then took one for silent.
#[test]
fn control_hosts_are_told_on() {
    let now = Instant::now();
    let mut directory = Directory::new(1);
    let control = Node {
        role: NodeRole::Control {
            member: MemberId(3),
            formed: true,
            current: true,
        },
        ..node(1, 1, 0)
    };
    directory.record_relayed(control.clone(), Duration::from_millis(200), now);
    directory.record_relayed(node(2, 1, 0), Duration::from_millis(200), now);
    let told: Vec<Node> = directory
        .heard_since(now.checked_sub(NODE_LEASE).unwrap(), now)
        .map(|(node, _)| node)
        .collect();
    assert_eq!(told, [control]);
}

/// Guards against news that is applied to what it does not follow on.
#[test]
fn news_that_does_not_follow_on_is_left_out() {
    let now = Instant::now();
    let mut directory = Directory::new(1);
    directory.record_hello(node(1, 1, 0), now);
    let first = directory.version();
    directory.record_hello(node(2, 1, 0), now);
    let later = directory.deltas_since(first);
    let mut view = View::default();
    for news in later {
        view.apply(news, now);
    }
    assert_eq!(view.version(), DirectoryVersion::default());
    assert_eq!(view.nodes().count(), 0);
}
