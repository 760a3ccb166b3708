//! Updates of a process's view of the directory.

use std::time::{Duration, Instant};

use arbtest::arbtest;
use directory::{Directory, DirectoryVersion, NODE_LEASE, Node, NodeRole, View};
use types::MemberId;

fn node(n: u8, incarnation: u64, seq: u64) -> Node {
    Node {
        incarnation,
        seq,
        ..Node::example(&format!("10.0.0.{n}:7000"))
    }
}

fn apply_deltas(view: &mut View, directory: &Directory, now: Instant) {
    for delta in directory.deltas_since(view.version()) {
        view.apply(delta, now);
    }
}

fn view_nodes(view: &View) -> Vec<Node> {
    view.nodes().cloned().collect()
}

fn directory_nodes(directory: &Directory) -> Vec<Node> {
    directory.nodes().map(|(node, _)| node.clone()).collect()
}

/// Guards against a view that differs from its directory after any order of
/// hellos, missed leases and lost deltas.
#[test]
fn an_updated_view_equals_the_directory() {
    arbtest(|u| {
        let mut now = Instant::now();
        let mut directory = Directory::new(1);
        let mut view = View::default();
        for _ in 0..u.int_in_range(1..=60)? {
            now += Duration::from_millis(u.int_in_range(1..=1500)?);
            let n = u.int_in_range(1..=40)?;
            match u.int_in_range(0..=3)? {
                0 => drop(directory.expire(now)),
                1 => apply_deltas(&mut view, &directory, now),
                _ => drop(
                    directory
                        .record_hello(node(n, u.int_in_range(1..=2)?, u.int_in_range(0..=3)?), now),
                ),
            }
        }
        apply_deltas(&mut view, &directory, now);
        assert_eq!(view_nodes(&view), directory_nodes(&directory));
        assert!(directory.deltas_since(view.version()).is_empty());
        Ok(())
    })
    .seed(0x11_0000_4000)
    .run();
}

/// Guards against nodes that are removed because another control host, which
/// has just started, has not heard from them yet.
#[test]
fn a_new_control_host_does_not_remove_unknown_nodes_at_once() {
    let now = Instant::now();
    let mut old = Directory::new(1);
    for n in 1..=5 {
        old.record_hello(node(n, 1, 0), now);
    }
    let mut view = View::default();
    apply_deltas(&mut view, &old, now);
    let mut new = Directory::new(2);
    new.record_hello(node(1, 1, 0), now);
    apply_deltas(&mut view, &new, now);
    assert!(view.expire(now + NODE_LEASE).is_empty());
    assert_eq!(view.nodes().count(), 5);
    assert_eq!(view.expire(now + 2 * NODE_LEASE).len(), 4);
}

/// Guards against a late hello of an earlier incarnation that replaces a newer
/// record.
#[test]
fn an_earlier_incarnation_does_not_replace_a_later_one() {
    let now = Instant::now();
    let mut directory = Directory::new(1);
    directory.record_hello(node(1, 2, 0), now + Duration::from_secs(1));
    let changed = directory.record_relayed(
        node(1, 1, 9),
        Duration::from_secs(1),
        now + Duration::from_secs(1),
    );
    assert!(!changed);
    assert_eq!(directory_nodes(&directory), [node(1, 2, 0)]);
}

/// Guards against control hosts that are not seeds and never hear of one
/// another: a new leader then took one for unresponsive.
#[test]
fn other_control_hosts_are_relayed() {
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
    let relayed: Vec<Node> = directory
        .heard_since(now.checked_sub(NODE_LEASE).unwrap(), now)
        .map(|(node, _)| node)
        .collect();
    assert_eq!(relayed, [control]);
}

/// Guards against a delta that is applied to a version other than its base.
#[test]
fn a_delta_from_another_version_is_ignored() {
    let now = Instant::now();
    let mut directory = Directory::new(1);
    directory.record_hello(node(1, 1, 0), now);
    let first = directory.version();
    directory.record_hello(node(2, 1, 0), now);
    let deltas = directory.deltas_since(first);
    let mut view = View::default();
    for delta in deltas {
        view.apply(delta, now);
    }
    assert_eq!(view.version(), DirectoryVersion::default());
    assert_eq!(view.nodes().count(), 0);
}
