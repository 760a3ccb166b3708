//! Golden files of whole operator dialogues.

mod common;

use std::fmt::Write;

use common::{HOUR, Log, MINUTE, add_key, create, delete, delete_target, drain, set_target};
use types::{Change, ChangeRequest};

/// A dialogue and its transcript.
#[derive(Default)]
struct Session {
    log: Log,
    text: String,
}

impl Session {
    fn send(&mut self, req: &ChangeRequest) {
        let answer = self.log.send(req);
        let record = self.log.state.audit().last().unwrap();
        let resend = if record.resend { " (resend)" } else { "" };
        let (author, base, change) = (&record.author, record.base, &record.change);
        let text = &mut self.text;
        writeln!(text, "{author} from {base}: {change}{resend}\n  {answer:?}").unwrap();
    }

    fn ask(&mut self, author: &str, base: u64, change: Change) -> ChangeRequest {
        let req = self.log.request(author, base, change);
        self.send(&req);
        req
    }

    fn wait(&mut self, millis: u64) {
        self.log.wait(millis);
        writeln!(self.text, "... {} minutes", millis / MINUTE).unwrap();
    }

    fn end(mut self) -> String {
        let state = &self.log.state;
        writeln!(
            self.text,
            "revision {} of {}",
            state.revision(),
            state.last_applied()
        )
        .unwrap();
        writeln!(self.text, "{:#?}", state.full_changes()).unwrap();
        self.text
    }
}

/// Guards against two operators who both believe that their change holds.
#[test]
fn racing_operators() {
    let mut s = Session::default();
    s.ask("ana", 0, create("vouchers", 1));
    s.ask("boris", 0, create("vouchers", 2));
    s.ask("ana", 1, set_target("vouchers", "claims", 7, "/claims"));
    s.ask("boris", 1, set_target("vouchers", "claims", 2, "/claims"));
    s.ask("boris", 3, set_target("vouchers", "claims", 2, "/claims"));
    s.ask("ana", 3, delete("vouchers"));
    s.ask("ana", 5, delete_target("vouchers", "claims"));
    s.ask("boris", 7, delete("vouchers"));
    s.ask("ana", 7, set_target("vouchers", "claims", 7, "/claims"));
    insta::assert_snapshot!(s.end());
}

/// Guards against refusals that are missing or have the wrong reason.
#[test]
fn refusals() {
    let mut s = Session::default();
    s.ask("ana", 5, create("a", 1));
    s.ask("ana", 0, delete("a"));
    s.ask("ana", 7, set_target("a", "x", 1, "/x"));
    s.ask("ana", 0, create("a", 1));
    s.ask("ana", 0, create("b", 1));
    s.ask("ana", 4, set_target("a", "x", 0, "/x"));
    s.ask("ana", 4, delete_target("a", "x"));
    s.ask("ana", 4, set_target("a", "x", 1, "/x"));
    s.ask("ana", 8, set_target("a", "y", 1, "/x"));
    s.ask("ana", 8, set_target("a", "x", 2, "/x"));
    s.ask("ana", 10, delete("a"));
    s.ask("ana", 0, create("b", 1));
    s.ask("ana", 0, create("a", 2));
    s.ask("ana", 10, delete("a"));
    s.ask("ana", 3, drain("host-1", true));
    s.ask("ana", 3, add_key(0));
    s.ask("ana", 0, add_key(4));
    insta::assert_snapshot!(s.end());
}

/// Guards against lost answers, ids used twice and old ids.
#[test]
fn resends() {
    let mut s = Session::default();
    let first = s.ask("ana", 0, create("badges", 1));
    s.ask("boris", 1, set_target("badges", "default", 2, "/"));
    s.send(&first);
    let lost = s.ask("ana", 1, delete("badges"));
    s.send(&lost);
    let (mut other_base, mut other_author) = (lost.clone(), first.clone());
    other_base.base.0 += 1;
    other_author.author = "boris".parse().unwrap();
    s.send(&other_base);
    s.send(&other_author);
    s.wait(24 * HOUR);
    s.send(&first);
    s.wait(MINUTE);
    s.send(&first);
    s.send(&lost);
    insta::assert_snapshot!(s.end());
}

/// Guards against a rotation that takes a key away from live flows.
#[test]
fn key_rotation() {
    let mut s = Session::default();
    s.ask("ana", 0, Change::ActivateKey);
    s.ask("ana", 0, add_key(0));
    s.ask("ana", 2, add_key(2));
    s.ask("ana", 2, add_key(1));
    s.ask("ana", 4, add_key(1));
    s.ask("ana", 4, Change::ActivateKey);
    s.ask("ana", 5, Change::ActivateKey);
    s.ask("boris", 5, Change::ActivateKey);
    s.ask("boris", 7, Change::ActivateKey);
    s.ask("boris", 7, add_key(2));
    s.wait(20 * MINUTE);
    s.ask("boris", 7, add_key(2));
    insta::assert_snapshot!(s.end());
}

/// Guards against a drain mark that an operator cannot take back or that a
/// late change sets again.
#[test]
fn drains() {
    let mut s = Session::default();
    s.ask("ana", 0, drain("host-1", true));
    s.ask("boris", 0, drain("host-1", true));
    s.ask("boris", 1, drain("host-1", false));
    s.ask("ana", 0, drain("host-1", true));
    s.ask("ana", 0, drain("host-2", true));
    insta::assert_snapshot!(s.end());
}
