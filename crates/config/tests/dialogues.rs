//! Snapshot tests of sequences of operator changes.

mod common;

use std::fmt::Write;

use common::{HOUR, Log, MINUTE, add_key, create, delete, delete_target, drain, set_target};
use types::{Change, ChangeRequest};

/// A sequence of requests and its transcript.
#[derive(Default)]
struct Session {
    log: Log,
    text: String,
}

impl Session {
    fn apply(&mut self, req: &ChangeRequest) {
        let answer = self.log.apply(req);
        let record = self.log.state.audit().last().unwrap();
        let resend = if record.resend { " (resend)" } else { "" };
        let (author, base, change) = (&record.author, record.base, &record.change);
        let text = &mut self.text;
        writeln!(text, "{author} from {base}: {change}{resend}\n  {answer:?}").unwrap();
    }

    fn apply_new(&mut self, author: &str, base: u64, change: Change) -> ChangeRequest {
        let req = self.log.request(author, base, change);
        self.apply(&req);
        req
    }

    fn advance_time(&mut self, millis: u64) {
        self.log.advance_time(millis);
        writeln!(self.text, "... {} minutes", millis / MINUTE).unwrap();
    }

    fn finish(mut self) -> String {
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

/// Guards against acceptance of two changes with the same base.
#[test]
fn racing_operators() {
    let mut s = Session::default();
    s.apply_new("ana", 0, create("vouchers", 1));
    s.apply_new("boris", 0, create("vouchers", 2));
    s.apply_new("ana", 1, set_target("vouchers", "claims", 7, "/claims"));
    s.apply_new("boris", 1, set_target("vouchers", "claims", 2, "/claims"));
    s.apply_new("boris", 3, set_target("vouchers", "claims", 2, "/claims"));
    s.apply_new("ana", 3, delete("vouchers"));
    s.apply_new("ana", 5, delete_target("vouchers", "claims"));
    s.apply_new("boris", 7, delete("vouchers"));
    s.apply_new("ana", 7, set_target("vouchers", "claims", 7, "/claims"));
    insta::assert_snapshot!(s.finish());
}

/// Guards against invalid changes that are accepted or refused with the wrong
/// reason.
#[test]
fn refusals() {
    let mut s = Session::default();
    s.apply_new("ana", 5, create("a", 1));
    s.apply_new("ana", 0, delete("a"));
    s.apply_new("ana", 7, set_target("a", "x", 1, "/x"));
    s.apply_new("ana", 0, create("a", 1));
    s.apply_new("ana", 0, create("b", 1));
    s.apply_new("ana", 4, set_target("a", "x", 0, "/x"));
    s.apply_new("ana", 4, delete_target("a", "x"));
    s.apply_new("ana", 4, set_target("a", "x", 1, "/x"));
    s.apply_new("ana", 8, set_target("a", "y", 1, "/x"));
    s.apply_new("ana", 8, set_target("a", "x", 2, "/x"));
    s.apply_new("ana", 10, delete("a"));
    s.apply_new("ana", 0, create("b", 1));
    s.apply_new("ana", 0, create("a", 2));
    s.apply_new("ana", 10, delete("a"));
    s.apply_new("ana", 3, drain("host-1", true));
    s.apply_new("ana", 3, add_key(0));
    s.apply_new("ana", 0, add_key(4));
    insta::assert_snapshot!(s.finish());
}

/// Guards against a retry that is applied twice after its answer was lost, and
/// against acceptance of reused or expired ids.
#[test]
fn resends() {
    let mut s = Session::default();
    let first = s.apply_new("ana", 0, create("badges", 1));
    s.apply_new("boris", 1, set_target("badges", "default", 2, "/"));
    s.apply(&first);
    let lost = s.apply_new("ana", 1, delete("badges"));
    s.apply(&lost);
    let (mut other_base, mut other_author) = (lost.clone(), first.clone());
    other_base.base.0 += 1;
    other_author.author = "boris".parse().unwrap();
    s.apply(&other_base);
    s.apply(&other_author);
    s.advance_time(24 * HOUR);
    s.apply(&first);
    s.advance_time(MINUTE);
    s.apply(&first);
    s.apply(&lost);
    insta::assert_snapshot!(s.finish());
}

/// Guards against a rotation that removes a key that live flows use.
#[test]
fn key_rotation() {
    let mut s = Session::default();
    s.apply_new("ana", 0, Change::ActivateKey);
    s.apply_new("ana", 0, add_key(0));
    s.apply_new("ana", 2, add_key(2));
    s.apply_new("ana", 2, add_key(1));
    s.apply_new("ana", 4, add_key(1));
    s.apply_new("ana", 4, Change::ActivateKey);
    s.apply_new("ana", 5, Change::ActivateKey);
    s.apply_new("boris", 5, Change::ActivateKey);
    s.apply_new("boris", 7, Change::ActivateKey);
    s.apply_new("boris", 7, add_key(2));
    s.advance_time(20 * MINUTE);
    s.apply_new("boris", 7, add_key(2));
    insta::assert_snapshot!(s.finish());
}

/// Guards against a drain mark that cannot be cleared, or that is set again by
/// a delayed change.
#[test]
fn drains() {
    let mut s = Session::default();
    s.apply_new("ana", 0, drain("host-1", true));
    s.apply_new("boris", 0, drain("host-1", true));
    s.apply_new("boris", 1, drain("host-1", false));
    s.apply_new("ana", 0, drain("host-1", true));
    s.apply_new("ana", 0, drain("host-2", true));
    insta::assert_snapshot!(s.finish());
}
