//! Evacuations of data centres.

mod common;

use std::{collections::BTreeSet, sync::Arc};

use common::{Log, drain, evacuate, replace_routes, snapshot};
use config::{ChangeSummary, ConfigState, MAX_EVACUATION_MARKS};
use types::{Answer, Change, Refusal, RequestRate, Revision, ServiceLimits};

fn evacuated(state: &ConfigState) -> BTreeSet<String> {
    let evacuated = state.evacuated_data_centres();
    evacuated.map(ToString::to_string).collect()
}

/// Guards against a request that is not in force once it was accepted, one that is lost
/// with a snapshot, and one that the audit trail lacks.
#[test]
fn the_last_request_is_in_force_and_is_kept() {
    let mut log = Log::default();
    for (author, base, on) in [("ana", 0, true), ("boris", 1, false), ("ana", 2, true)] {
        let answer = log.apply_new(author, base, evacuate("east", on));
        assert!(matches!(answer, Answer::Accepted(_)), "{answer:?}");
        assert_eq!(evacuated(&log.state).contains("east"), on);
    }
    log.apply_new("ana", 0, evacuate("west", true));
    assert_eq!(evacuated(&log.state).len(), 2);
    let restored = ConfigState::decode(&snapshot(&log.state)[..]).unwrap();
    assert_eq!(restored, log.state);
    let east = "east".parse().unwrap();
    assert_eq!(
        log.state.audit().nth(1).unwrap().change,
        ChangeSummary::SetEvacuation(east, false)
    );
}

/// Guards against repeated requests that are refused, or that make every node apply a
/// policy anew.
#[test]
fn a_repeated_request_is_accepted_and_changes_no_policy() {
    let mut log = Log::default();
    log.apply_new("ana", 0, evacuate("east", true));
    for base in [0, 1, 7] {
        let answer = log.apply_new("boris", base, evacuate("east", true));
        assert!(matches!(answer, Answer::Accepted(_)));
    }
    assert_eq!(log.state.placement_revision(), Revision(1));
    // The end of an evacuation that was never requested.
    let answer = log.apply_new("ana", 0, evacuate("west", false));
    assert!(matches!(answer, Answer::Accepted(_)));
    assert_eq!(log.state.placement_revision(), Revision(1));
}

/// Guards against a copy of a request that is delayed on the network and undoes the
/// opposite request, which was answered in the meantime: also if that one repeated the
/// state.
#[test]
fn a_delayed_request_does_not_undo_a_later_one() {
    let mut log = Log::default();
    log.apply_new("ana", 0, evacuate("east", true));
    log.apply_new("ana", 1, evacuate("east", false));
    log.apply_new("ana", 1, evacuate("east", false));
    for base in [0, 1, 2] {
        let answer = log.apply_new("ana", base, evacuate("east", true));
        let Answer::Conflict(conflict) = answer else {
            panic!("{answer:?}");
        };
        assert_eq!(conflict.winner, Revision(3));
    }
    assert!(evacuated(&log.state).is_empty());
    // Based on what the conflict names, it is accepted.
    let answer = log.apply_new("ana", 3, evacuate("east", true));
    assert!(matches!(answer, Answer::Accepted(_)));
}

/// Guards against limits that change without a newer policy, which nodes would ignore.
#[test]
fn a_change_of_limits_renews_the_policy() {
    let mut log = Log::default();
    let mut with_rate = |number, rate: Option<f64>| {
        let Change::ReplaceRoutes(mut set) = replace_routes(number, "a", 1) else {
            unreachable!();
        };
        if let Some(rate) = rate {
            let cold_rate = RequestRate::from_per_second(rate);
            let limits = ServiceLimits { cold_rate };
            Arc::make_mut(&mut set).services = [("a".parse().unwrap(), limits)].into();
        }
        log.apply_new("ana", 0, Change::ReplaceRoutes(set));
        log.state.placement_revision()
    };
    assert_eq!(with_rate(1, None), Revision(0));
    assert_eq!(with_rate(2, Some(2.5)), Revision(2));
    assert_eq!(with_rate(3, Some(2.5)), Revision(2));
    // A set that is superseded changes nothing.
    assert_eq!(with_rate(1, Some(9.0)), Revision(2));
    assert_eq!(with_rate(5, None), Revision(5));
}

/// Guards against marks that grow without a bound, and against the loss of an
/// evacuation that is in force when other names are used.
#[test]
fn the_number_of_marks_is_bounded() {
    let mut log = Log::default();
    log.apply_new("ana", 0, evacuate("east", false));
    for n in 1..=MAX_EVACUATION_MARKS {
        let answer = log.apply_new("ana", 0, evacuate(&format!("dc-{n}"), true));
        assert!(matches!(answer, Answer::Accepted(_)));
    }
    assert!(
        !log.state
            .evacuations()
            .contains_key(&"east".parse().unwrap())
    );
    let answer = log.apply_new("ana", 0, evacuate("east", true));
    let refusal = Refusal::TooManyEvacuations(MAX_EVACUATION_MARKS);
    assert_eq!(answer, Answer::Refused(refusal));
    assert_eq!(evacuated(&log.state).len(), MAX_EVACUATION_MARKS);
}

/// A snapshot of version 0.1 before evacuations and limits of services: a drain mark
/// for `host-1` and routing set 4.
const EARLIER_SNAPSHOT: &str = "029502cf000001a3185c500098000100808081a6686f73742d3193c301a3616e61\
    c094048181a256349294ccc6120001cd01bb81a16101cdea60c40082c41001a3185c50007000800000000000000193\
    cf1db58981bd133264cf000001a31d82ac0081a8416363657074656401c41001a3185c500070008000000000000002\
    93cf28055c7b416e9480cf000001a31d82ac0081a8416363657074656402929801cf000001a3185c5000a3616e61c4\
    1001a3185c5000700080000000000000010081a8536574447261696e92a6686f73742d31c381a84163636570746564\
    01c29802cf000001a3185c5000a3616e61c41001a3185c5000700080000000000000020081ad5265706c616365526f\
    7574657392040181a8416363657074656402c2";

/// Guards against control hosts that cannot start after an upgrade.
#[test]
fn a_snapshot_of_an_earlier_version_is_read() {
    let digits = EARLIER_SNAPSHOT.as_bytes().chunks(2);
    let bytes: Vec<u8> = digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect();
    let state = ConfigState::decode(&bytes[..]).unwrap();
    let mut log = Log::default();
    log.apply_new("ana", 0, drain("host-1", true));
    log.apply_new("ana", 0, replace_routes(4, "a", 1));
    assert_eq!(state, log.state);
}
