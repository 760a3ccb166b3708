//! Replacement of the routing set.

mod common;

use common::{Log, replace_routes, snapshot};
use config::{ChangeSummary, ConfigState};
use types::{Answer, Refusal, RoutingSetNumber};

fn number(log: &Log) -> Option<u64> {
    log.state.routes().map(|set| set.number.0)
}

/// Guards against a return to a lower set number, and against other content
/// for a number that was already accepted.
#[test]
fn the_highest_number_is_in_force() {
    let mut log = Log::default();
    assert_eq!(number(&log), None);
    for (given, service, expected) in [(4, "a", 4), (2, "b", 4), (4, "b", 4), (9, "b", 9)] {
        let answer = log.apply_new("mira", 0, replace_routes(given, service, 1));
        assert!(matches!(answer, Answer::Accepted(_)), "set {given}");
        assert_eq!(number(&log), Some(expected));
    }
    let mut log = Log::default();
    log.apply_new("mira", 0, replace_routes(4, "a", 1));
    let before = log.state.routes().cloned();
    log.apply_new("mira", 0, replace_routes(4, "b", 1));
    assert_eq!(log.state.routes().cloned(), before);
}

/// Guards against a rule that sends flows to no service.
#[test]
fn a_rule_with_only_zero_parts_is_refused() {
    let mut log = Log::default();
    let answer = log.apply_new("mira", 0, replace_routes(4, "a", 0));
    let address = ([198, 18, 0, 1], 443).into();
    assert_eq!(
        answer,
        Answer::Refused(Refusal::EmptyRule(RoutingSetNumber(4), address))
    );
    assert_eq!(number(&log), None);
}

/// Guards against a routing set that is missing from the snapshot or from the
/// audit trail.
#[test]
fn a_set_survives_a_snapshot_and_is_in_the_audit_trail() {
    let mut log = Log::default();
    log.apply_new("mira", 0, replace_routes(4, "a", 1));
    let restored = ConfigState::decode(&snapshot(&log.state)[..]).unwrap();
    assert_eq!(restored, log.state);
    let last = log.state.audit().last().unwrap();
    assert_eq!(
        last.change,
        ChangeSummary::ReplaceRoutes(RoutingSetNumber(4), 1)
    );
}
