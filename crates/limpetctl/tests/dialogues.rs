//! Golden files of whole dialogues, with every exit code of changes.

mod common;

use common::{
    Session,
    host::{Fault, Host, Spread},
    refusing,
};
use insta::assert_snapshot;
use types::Change;

fn vouchers() -> Change {
    Change::CreateService {
        name: "vouchers".parse().unwrap(),
        address: "198.51.100.1:443".parse().unwrap(),
    }
}

/// Guards against a change, a refusal and a conflict that read alike.
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

/// Guards against routing sets that the tool cannot give, split or show.
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

/// Guards against JSON whose fields change under the scripts that read it.
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

/// Guards against an accepted change that passes for one in force.
#[test]
fn waits_for_a_node_that_lags() {
    let host = Host {
        spread: Spread::Lagging,
        made: vec![vouchers()],
        ..Host::default()
    };
    let mut s = Session::new(&[host.start()]);
    s.run("target set vouchers default --carry 7 --wait --deadline 1s");
    s.run("upstream drain booking-3 --wait --deadline 1s --output json");
    s.run("status");
    let host = Host {
        spread: Spread::NotSaid,
        ..Host::default()
    };
    let mut mute = Session::new(&[host.start()]);
    mute.run("upstream drain booking-3 --wait --deadline 1s");
    assert_snapshot!(s.text + &mute.text);
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
        spread: Spread::Lagging,
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

/// Guards against a rotation that cannot go on after a lost answer to either
/// of its changes, and against one that adds a second key instead.
#[test]
fn resumes_a_rotation() {
    let mut text = String::new();
    for answered in [1, 2] {
        let host = Host {
            change: Some((Fault::Late, 1)),
            answered,
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

/// Guards against a lost answer that looks final, and against a printed
/// command that is not the same change again.
#[test]
fn resends_after_a_lost_answer() {
    let host = Host {
        change: Some((Fault::CutOff, 100)),
        made: vec![vouchers()],
        ..Host::default()
    };
    let broken = host.start();
    let working = Host {
        made: vec![vouchers()],
        ..Host::default()
    };
    let working = working.start();
    let mut s = Session::new(&[broken]);
    s.name(working, "WORKING");
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

/// Guards against a resend that denies the first request: with nobody there,
/// with other contents, and with an id that is too old.
#[test]
fn resends_that_learn_nothing() {
    let mut s = Session::new(&[refusing()]);
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

/// Guards against commands that leave a group half changed without a word.
#[test]
fn changes_the_control_group() {
    let new = Host::default().start();
    let used = Host {
        used: true,
        ..Host::default()
    };
    let used = used.start();
    let mut s = Session::new(&[Host::default().start()]);
    s.name(new, "NEW");
    s.name(used, "USED");
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

/// Guards against the refusal of a second attempt that denies the first.
#[test]
fn group_changes_survive_lost_answers() {
    let new = Host::default().start();
    let mut text = String::new();
    let faults = [Fault::CutOff, Fault::Status, Fault::Garbage, Fault::Unknown];
    // One loss is followed by the refusal of a member that is already there.
    for (fault, count) in faults.into_iter().flat_map(|f| [(f, 1), (f, 3)]) {
        let host = Host {
            group: Some((fault, count)),
            hidden: 1,
            ..Host::default()
        };
        let mut s = Session::new(&[host.start()]);
        s.name(new, "NEW");
        s.run(&format!("control replace 0000000000000001 {new}"));
        text = format!("{text}{fault:?} x{count}\n{}", s.text);
    }
    let slow = Host {
        slow_learners: true,
        ..Host::default()
    };
    let mut s = Session::new(&[slow.start()]);
    s.name(new, "NEW");
    s.run(&format!("control add {new} --deadline 1s --output json"));
    assert_snapshot!(text + &s.text);
}

/// Guards against a failed query that passes for an empty answer.
#[test]
fn nobody_answers() {
    let mut s = Session::new(&[refusing()]);
    s.run("status --deadline 300ms");
    s.run("service list --deadline 300ms --output json");
    s.run("control add 127.0.0.1:1 --deadline 300ms");
    assert_snapshot!(s.text);
}
