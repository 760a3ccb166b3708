//! Each way to lose the answer to a change, with each event that may follow.

mod common;

use std::{
    net::{SocketAddr, TcpListener},
    process::Output,
    thread,
};

use common::{
    closing_host,
    host::{Fault, Host},
    limpetctl, refusing_address, unreachable_host,
};

/// Ways to lose an answer; `None` closes the connection without one.
const LOST_ANSWERS: [Option<Fault>; 6] = [
    None,
    Some(Fault::CutOff),
    Some(Fault::Status),
    Some(Fault::Garbage),
    Some(Fault::Late),
    Some(Fault::Unknown),
];

fn host_with_fault(fault: Fault) -> SocketAddr {
    let host = Host {
        change_fault: Some((fault, usize::MAX)),
        ..Host::default()
    };
    host.start()
}

fn host_losing_answers(fault: Option<Fault>) -> SocketAddr {
    fault.map_or_else(closing_host, host_with_fault)
}

/// Hosts that certainly did not make the change.
fn declining_hosts() -> [SocketAddr; 3] {
    [
        refusing_address(),
        host_with_fault(Fault::NotLeader),
        host_with_fault(Fault::Unavailable),
    ]
}

fn create(control: &[SocketAddr], deadline: &str) -> Output {
    let control: Vec<_> = control.iter().map(ToString::to_string).collect();
    let control = control.join(",");
    let mut args = vec![
        "--control",
        &control,
        "--operator",
        "alice",
        "--output",
        "json",
    ];
    args.extend(["--deadline", deadline, "service", "create", "vouchers"]);
    args.extend(["--address", "198.51.100.1:443"]);
    limpetctl(&args)
}

fn assert_unknown(output: &Output, case: &str) {
    let stdout = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(5), "{case}: {output:?}");
    assert!(
        stdout.contains(r#""outcome": "unknown""#),
        "{case}: {stdout}"
    );
    assert!(stdout.contains("--change-id"), "{case}: {stdout}");
}

/// A deadline long enough to try the next host after one that does not answer.
fn deadline(fault: Option<Fault>) -> &'static str {
    if fault == Some(Fault::Late) {
        "2500ms"
    } else {
        "500ms"
    }
}

/// Guards against reporting a change as unavailable that may have been made,
/// because the hosts tried afterwards did not receive it.
#[test]
fn lost_then_declined() {
    thread::scope(|scope| {
        for fault in LOST_ANSWERS {
            scope.spawn(move || {
                let lost = host_losing_answers(fault);
                for next in declining_hosts() {
                    let output = create(&[lost, next], deadline(fault));
                    assert_unknown(&output, &format!("{fault:?}, then {next}"));
                }
                let output = create(&[lost, host_losing_answers(fault)], deadline(fault));
                assert_unknown(&output, &format!("{fault:?} twice"));
            });
        }
    });
}

/// Guards against ignoring a lost answer because it was the last one.
#[test]
fn declined_then_lost() {
    thread::scope(|scope| {
        for fault in LOST_ANSWERS {
            scope.spawn(move || {
                let lost = host_losing_answers(fault);
                for first in declining_hosts() {
                    let output = create(&[first, lost], deadline(fault));
                    assert_unknown(&output, &format!("{first}, then {fault:?}"));
                }
            });
        }
    });
}

/// Guards against a wrong outcome if the deadline passes during the only attempt
/// or between two attempts.
#[test]
fn deadline_after_a_loss() {
    for fault in LOST_ANSWERS {
        for deadline in ["100ms", "150ms", "250ms"] {
            let output = create(&[host_losing_answers(fault)], deadline);
            assert_unknown(&output, &format!("{fault:?} within {deadline}"));
        }
    }
}

/// Guards against reporting an unknown outcome although another host has the
/// answer.
#[test]
fn lost_then_answered() {
    thread::scope(|scope| {
        for fault in LOST_ANSWERS {
            scope.spawn(move || {
                let leader = Host::default().start();
                let output = create(&[host_losing_answers(fault), leader], "5s");
                assert_eq!(output.status.code(), Some(0), "{fault:?}: {output:?}");
            });
        }
    });
}

/// Guards against reporting an unknown outcome although no host received the
/// change.
#[test]
fn only_declined() {
    for host in declining_hosts() {
        let output = create(&[host], "300ms");
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        let stdout = String::from_utf8_lossy(&output.stdout);
        assert!(stdout.contains(r#""outcome": "unavailable""#), "{stdout}");
    }
    let output = create(&declining_hosts(), "300ms");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against reporting an unknown outcome because a host is unreachable,
/// although no host received the change.
#[test]
fn only_unreachable() {
    let (address, _queue) = unreachable_host();
    let output = create(&[address], "3s");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against following a host that keeps naming a dead leader instead of
/// trying the new leader.
#[test]
fn dead_leader_is_named() {
    let stale = Host {
        change_fault: Some((Fault::NotLeader, usize::MAX)),
        named_leader: Some(refusing_address()),
        ..Host::default()
    };
    let output = create(&[stale.start(), Host::default().start()], "2s");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Guards against trying a named leader too late or not at all.
#[test]
fn live_leader_is_named() {
    let follower = Host {
        change_fault: Some((Fault::NotLeader, usize::MAX)),
        named_leader: Some(Host::default().start()),
        ..Host::default()
    };
    let output = create(&[follower.start()], "2s");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Guards against retrying a host that names itself as the leader forever, and
/// never trying the real leader.
#[test]
fn host_names_itself() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let self_naming = Host {
        change_fault: Some((Fault::NotLeader, usize::MAX)),
        named_leader: Some(listener.local_addr().unwrap()),
        ..Host::default()
    };
    let control = [self_naming.start_at(listener), Host::default().start()];
    let output = create(&control, "2s");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}
