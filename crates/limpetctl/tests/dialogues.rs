//! Snapshots of command sequences, with every exit code of changes.

mod common;

use common::{
    Session,
    host::{Fault, Host, Rollout},
    refusing_address,
};
use insta::assert_snapshot;
use types::Change;

fn vouchers() -> Change {
    Change::CreateService {
        name: "vouchers".parse().unwrap(),
        address: "198.51.100.1:443".parse().unwrap(),
    }
}

/// Guards against outputs that do not tell a change, a refusal and a conflict
/// apart.
#[test]
fn changes_of_services() {
    let mut s = Session::new(&[Host::default().start()]);
    s.run("service create vouchers --address 198.51.100.1:443");
    s.run("service create intake --address 198.51.100.1:443");
    s.run_as("bob", "service create vouchers --address 198.51.100.2:443");
    s.run("target set vouchers default --carry 7");
    s.run("target set vouchers redeem --carry 2 --path-prefix /redeem --leave-within 5s --wait");
    s.run_as("bob", "target delete vouchers redeem --base 1");
    s.run("target delete vouchers redeem");
    s.run("service list");
    s.run("service show vouchers");
    s.run("service show intake");
    s.run("upstream drain booking-3");
    s.run("upstream undrain booking-3");
    s.run("service delete vouchers");
    s.run("audit --limit 4");
    assert_snapshot!(s.text);
}

/// Guards against a hedge budget that is not stored, shown, audited or cleared.
#[test]
fn hedge_budgets() {
    let mut s = Session::new(&[Host::default().start()]);
    s.run("service create vouchers --address 198.51.100.1:443");
    s.run("target set vouchers default --carry 7 --hedge-budget 0");
    s.run("target set vouchers default --carry 7 --hedge-budget 2.5");
    s.run("service show vouchers");
    s.run("service show vouchers --output json");
    s.run("target set vouchers default --carry 7");
    s.run("service show vouchers");
    s.run("audit --limit 2");
    assert_snapshot!(s.text);
}

/// Guards against routing sets that the tool cannot set, split among services or
/// show.
#[test]
fn routing_sets() {
    let mut s = Session::new(&[Host::default().start()]);
    s.run("routes show");
    s.run("service create vouchers --address 198.51.100.1:443");
    s.run("service create intake --address 198.51.100.2:443");
    s.run("routes set 7 --rule 198.18.0.1:443=vouchers:3 --rule 198.18.0.1:443=intake");
    s.run("routes show");
    s.run("routes show --output json");
    s.run("routes set 7 --rule 198.18.0.1:443=vouchers:3 --rule 198.18.0.1:443=intake");
    s.run("routes set 6 --rule 198.18.0.9:443=vouchers");
    s.run("routes set 8 --rule 198.18.0.1:443=vouchers:0");
    s.run("routes set 9");
    s.run("routes show");
    s.run("audit --limit 3");
    assert_snapshot!(s.text);
}

/// Guards against evacuations that the tool cannot start, end, repeat or show, and
/// against operators that are not warned of their effect.
#[test]
fn evacuations() {
    let mut s = Session::new(&[Host::default().start()]);
    s.run("service create vouchers --address 198.51.100.1:443");
    s.run("evacuate varna");
    s.run("evacuate varna");
    s.run_as("bob", "evacuate varna --end --base 1");
    s.run_as("bob", "evacuate varna --end");
    s.run("evacuate sofia --wait --output json");
    s.run("status");
    s.run("status --output json");
    s.run("evacuate sofia --end");
    s.run("evacuate no/name");
    s.run("audit --limit 6");
    assert_snapshot!(s.text);
}

/// Guards against changed JSON fields, which scripts depend on.
#[test]
fn json_for_scripts() {
    let mut s = Session::new(&[Host::default().start()]);
    s.run("service create vouchers --address 198.51.100.1:443 --output json");
    s.run("target set vouchers default --carry 7 --wait --output json");
    s.run("service create intake --address 198.51.100.1:443 --output json");
    s.run_as("bob", "service delete vouchers --base 1 --output json");
    s.run("service list --output json");
    s.run("service show vouchers --output json");
    s.run("key show --output json");
    s.run("control list --output json");
    s.run("status --output json");
    s.run("audit --limit 2 --output json");
    assert_snapshot!(s.text);
}

/// Guards against reporting an accepted change as in force.
#[test]
fn waits_for_a_node_that_lags() {
    let host = Host {
        rollout: Rollout::Lagging,
        initial_changes: vec![vouchers()],
        ..Host::default()
    };
    let mut s = Session::new(&[host.start()]);
    s.run("target set vouchers default --carry 7 --wait --deadline 1s");
    s.run("upstream drain booking-3 --wait --deadline 1s --output json");
    s.run("status");
    let host = Host {
        rollout: Rollout::Unconfirmed,
        ..Host::default()
    };
    let mut unconfirmed = Session::new(&[host.start()]);
    unconfirmed.run("upstream drain booking-3 --wait --deadline 1s");
    assert_snapshot!(s.text + &unconfirmed.text);
}

/// Guards against a key that is activated before every live node accepts it,
/// and against key material in any output.
#[test]
fn rotates_keys() {
    let mut s = Session::new(&[Host::default().start()]);
    s.run("key show");
    s.run("key rotate");
    s.run("key rotate");
    s.run("key show");
    s.run("key rotate --output json");
    s.run("audit");
    let host = Host {
        rollout: Rollout::Lagging,
        ..Host::default()
    };
    let mut lagging = Session::new(&[host.start()]);
    lagging.run("key rotate");
    lagging.run("key rotate --deadline 1s");
    lagging.run("key rotate --deadline 1s --output json");
    lagging.run("key show");
    lagging.run("audit --output json");
    assert_snapshot!(format!(
        "{}\nWith a node that lags:\n\n{}",
        s.text, lagging.text
    ));
}

/// Guards against a rotation that cannot continue after the answer to either of
/// its changes was lost, or that adds a second key then.
#[test]
fn resumes_a_rotation() {
    let mut text = String::new();
    for answered in [1, 2] {
        let host = Host {
            change_fault: Some((Fault::Late, 1)),
            changes_before_fault: answered,
            ..Host::default()
        };
        let mut s = Session::new(&[host.start()]);
        s.run("key rotate");
        let lost = s.run("key rotate --deadline 1s");
        let stderr = String::from_utf8(lost.stderr).unwrap();
        let line = stderr.lines().find_map(|l| l.strip_prefix("resend by: "));
        s.run_printed(line.unwrap());
        s.run("key show");
        s.run("audit --output json");
        text += &s.text;
    }
    assert_snapshot!(text);
}

/// Guards against reporting a lost answer as final, and against a printed
/// command that does not resend the same change.
#[test]
fn resends_after_a_lost_answer() {
    let host = Host {
        change_fault: Some((Fault::CutOff, 100)),
        initial_changes: vec![vouchers()],
        ..Host::default()
    };
    let broken = host.start();
    let working = Host {
        initial_changes: vec![vouchers()],
        ..Host::default()
    };
    let working = working.start();
    let mut s = Session::new(&[broken]);
    s.redact_as(working, "WORKING");
    let lost = s.run("target set vouchers a --carry 7 --path-prefix /a&b --deadline 1s --wait");
    let stderr = String::from_utf8(lost.stderr).unwrap();
    let line = stderr.lines().find_map(|l| l.strip_prefix("resend by: "));
    let line = line
        .unwrap()
        .replace(&broken.to_string(), &working.to_string());
    s.run_printed(&line);
    s.run_printed(&line);
    assert_snapshot!(s.text);
}

/// Guards against a resend that reports the first request as not made: no host
/// answers, the contents differ, or the id has expired.
#[test]
fn resends_without_an_outcome() {
    let mut s = Session::new(&[refusing_address()]);
    let id = "--change-id 01890a5d-ac96-774b-bcce-b302099a8057";
    let short = "--deadline 300ms";
    let create = "service create vouchers --address 198.51.100.1:443";
    s.run(&format!("{create} {short}"));
    s.run(&format!("{create} {short} {id} --base 0"));
    s.run(&format!("{create} {short} {id} --base 0 --output json"));
    s.run(&format!("{create} {short} {id}"));
    let mut running = Session::new(&[Host::default().start()]);
    running.run(&format!("{create} {id} --base 0"));
    let id = format!("--change-id {}", types::ChangeId::generate());
    running.run(&format!("{create} {id} --base 0"));
    running.run(&format!("{create} {id} --base 0"));
    running.run_as("bob", &format!("{create} {id} --base 0"));
    assert_snapshot!(s.text + &running.text);
}

/// Guards against commands that change a group in part and do not report it.
#[test]
fn changes_the_control_group() {
    let new = Host::default().start();
    let used = Host {
        was_member: true,
        ..Host::default()
    };
    let used = used.start();
    let mut s = Session::new(&[Host::default().start()]);
    s.redact_as(new, "NEW");
    s.redact_as(used, "USED");
    s.run("control list");
    s.run(&format!("control add {used}"));
    s.run(&format!("control add {new}"));
    s.run(&format!("control add {new}"));
    s.run("control remove 0000000000000003");
    s.run("control remove 0000000000000003 --output json");
    s.run(&format!("control replace 0000000000000004 {new}"));
    s.run(&format!("control replace 0000000000000001 {new}"));
    s.run("control list");
    assert_snapshot!(s.text);
}

/// Guards against reporting a group change as refused because its second attempt
/// was, although the first, whose answer was lost, made it.
#[test]
fn group_changes_survive_lost_answers() {
    let new = Host::default().start();
    let mut text = String::new();
    let faults = [Fault::CutOff, Fault::Status, Fault::Garbage, Fault::Unknown];
    // After one lost answer, the second attempt is refused as the member exists.
    for (fault, count) in faults.into_iter().flat_map(|f| [(f, 1), (f, 3)]) {
        let host = Host {
            group_fault: Some((fault, count)),
            stale_status_reports: 1,
            ..Host::default()
        };
        let mut s = Session::new(&[host.start()]);
        s.redact_as(new, "NEW");
        s.run(&format!("control replace 0000000000000001 {new}"));
        text = format!("{text}{fault:?} x{count}\n{}", s.text);
    }
    let slow = Host {
        learners_never_catch_up: true,
        ..Host::default()
    };
    let mut s = Session::new(&[slow.start()]);
    s.redact_as(new, "NEW");
    s.run(&format!("control add {new} --deadline 1s --output json"));
    assert_snapshot!(text + &s.text);
}

/// Guards against reporting a failed query as an empty result.
#[test]
fn no_control_host_answers() {
    let mut s = Session::new(&[refusing_address()]);
    s.run("status --deadline 300ms");
    s.run("service list --deadline 300ms --output json");
    s.run("control add 127.0.0.1:1 --deadline 300ms");
    assert_snapshot!(s.text);
}
