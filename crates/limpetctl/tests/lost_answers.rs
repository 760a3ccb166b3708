//! Each way to lose the answer to a change, with each thing that may follow.

mod common;

use std::{
    net::{SocketAddr, TcpListener},
    process::Output,
    thread,
};

use common::{
    closing,
    host::{Fault, Host},
    limpetctl, partitioned, refusing,
};

/// Ways in which a host takes a change and does not say what became of it.
const LOST: [Option<Fault>; 6] = [
    None,
    Some(Fault::CutOff),
    Some(Fault::Status),
    Some(Fault::Garbage),
    Some(Fault::Late),
    Some(Fault::Unknown),
];

fn always(fault: Fault) -> SocketAddr {
    let host = Host {
        change: Some((fault, usize::MAX)),
        ..Host::default()
    };
    host.start()
}

fn losing(fault: Option<Fault>) -> SocketAddr {
    fault.map_or_else(closing, always)
}

/// Hosts that certainly have not made the change.
fn declining() -> [SocketAddr; 3] {
    [
        refusing(),
        always(Fault::NotLeader),
        always(Fault::Unavailable),
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

/// Time that lets a host that answers too late be given up first.
fn deadline(fault: Option<Fault>) -> &'static str {
    if fault == Some(Fault::Late) {
        "2500ms"
    } else {
        "500ms"
    }
}

/// Guards against a change that may have been made and is reported as
/// unavailable, because hosts that were asked later had not received it.
#[test]
fn lost_then_declined() {
    thread::scope(|scope| {
        for fault in LOST {
            scope.spawn(move || {
                let lost = losing(fault);
                for next in declining() {
                    let output = create(&[lost, next], deadline(fault));
                    assert_unknown(&output, &format!("{fault:?}, then {next}"));
                }
                let output = create(&[lost, losing(fault)], deadline(fault));
                assert_unknown(&output, &format!("{fault:?} twice"));
            });
        }
    });
}

/// Guards against a loss that is overlooked because it came last.
#[test]
fn declined_then_lost() {
    thread::scope(|scope| {
        for fault in LOST {
            scope.spawn(move || {
                let lost = losing(fault);
                for first in declining() {
                    let output = create(&[first, lost], deadline(fault));
                    assert_unknown(&output, &format!("{first}, then {fault:?}"));
                }
            });
        }
    });
}

/// Guards against a deadline that ends during the only attempt or between two.
#[test]
fn deadline_after_a_loss() {
    for fault in LOST {
        for deadline in ["100ms", "150ms", "250ms"] {
            let output = create(&[losing(fault)], deadline);
            assert_unknown(&output, &format!("{fault:?} within {deadline}"));
        }
    }
}

/// Guards against an unknown outcome while another host knows the answer.
#[test]
fn lost_then_answered() {
    thread::scope(|scope| {
        for fault in LOST {
            scope.spawn(move || {
                let leader = Host::default().start();
                let output = create(&[losing(fault), leader], "5s");
                assert_eq!(output.status.code(), Some(0), "{fault:?}: {output:?}");
            });
        }
    });
}

/// Guards against a caution that hides a plain answer: nobody took the change.
#[test]
fn only_declined() {
    for host in declining() {
        let output = create(&[host], "300ms");
        assert_eq!(output.status.code(), Some(1), "{output:?}");
        let stdout = String::from_utf8_lossy(&output.stdout);
        assert!(stdout.contains(r#""outcome": "unavailable""#), "{stdout}");
    }
    let output = create(&declining(), "300ms");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against a host behind a partition that makes every change that
/// nobody has received an unknown one.
#[test]
fn only_unreachable() {
    let (address, _queue) = partitioned();
    let output = create(&[address], "3s");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
}

/// Guards against a host that names a dead leader over and over, and so keeps
/// the new leader from being asked.
#[test]
fn dead_leader_is_named() {
    let stale = Host {
        change: Some((Fault::NotLeader, usize::MAX)),
        leader: Some(refusing()),
        ..Host::default()
    };
    let output = create(&[stale.start(), Host::default().start()], "2s");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Guards against a named leader that is asked too late or not at all.
#[test]
fn live_leader_is_named() {
    let follower = Host {
        change: Some((Fault::NotLeader, usize::MAX)),
        leader: Some(Host::default().start()),
        ..Host::default()
    };
    let output = create(&[follower.start()], "2s");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

/// Guards against a host that names itself and is asked without end, while
/// the leader is not asked at all.
#[test]
fn host_names_itself() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let confused = Host {
        change: Some((Fault::NotLeader, usize::MAX)),
        leader: Some(listener.local_addr().unwrap()),
        ..Host::default()
    };
    let control = [confused.start_at(listener), Host::default().start()];
    let output = create(&control, "2s");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}
