//! Text forms of the value types: parsing, printing and comparison.

use arbtest::arbtest;
use types::{
    Category, ChangeId, ClassName, MemberId, PathPrefix, Revision, Role, ServiceName, Slots,
    UpstreamId, Version,
};

/// Number of random cases of each property; the case number is the seed.
const RANDOM_CASES: u64 = 256;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 64;

/// Guards against a name that is ambiguous in a header or for another tool.
#[test]
fn names_reject_everything_but_labels() {
    let cases = [
        ("vouchers", true),
        ("badge-register.2_x", true),
        ("", false),
        ("two words", false),
        ("pool/1", false),
        ("läge", false),
        (&"a".repeat(63), true),
        (&"a".repeat(64), false),
    ];
    for (text, valid) in cases {
        let name = text.parse::<ServiceName>();
        assert_eq!(name.is_ok(), valid, "{text:?}");
        if let Err(e) = name {
            assert_eq!(e.category(), Category::Name);
        }
    }
}

/// Guards against deserialization that skips the validation of names.
#[test]
fn decoded_names_are_checked() {
    let valid = rmp_serde::to_vec("claims").unwrap();
    let invalid = rmp_serde::to_vec("no claims").unwrap();
    assert!(rmp_serde::from_slice::<ClassName>(&valid).is_ok());
    assert!(rmp_serde::from_slice::<ClassName>(&invalid).is_err());
}

/// Guards against ids and sizes that do not survive printing and parsing.
#[test]
fn printed_values_parse_back() {
    for case in 0..RANDOM_CASES {
        arbtest(|u| {
            let n: u64 = u.arbitrary()?;
            assert_eq!(
                UpstreamId(n).to_string().parse::<UpstreamId>().unwrap(),
                UpstreamId(n)
            );
            assert_eq!(
                MemberId(n).to_string().parse::<MemberId>().unwrap(),
                MemberId(n)
            );
            assert_eq!(
                Revision(n).to_string().parse::<Revision>().unwrap(),
                Revision(n)
            );
            let slots = Slots(u.arbitrary()?);
            assert_eq!(slots.to_string().parse::<Slots>().unwrap(), slots);
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against change ids without a timestamp to compute their age from.
#[test]
fn change_ids_are_version_7_with_a_timestamp() {
    let id = ChangeId::generate();
    assert_eq!(id.to_string().parse::<ChangeId>().unwrap(), id);
    assert!(id.created_at().0 > 1_600_000_000_000);
    let version_4 = "f47ac10b-58cc-4372-a567-0e02b2c3d479";
    assert_eq!(
        version_4.parse::<ChangeId>().unwrap_err().category(),
        Category::ChangeId
    );
}

/// Guards against an update in which the configuration or the membership is
/// older than the one in force.
#[test]
fn a_version_is_behind_if_either_order_goes_back() {
    let version = |revision, epoch, seq| Version {
        revision: Revision(revision),
        epoch: types::Term(epoch),
        seq,
    };
    let cases = [
        (version(1, 1, 1), version(1, 1, 1), false),
        (version(2, 1, 1), version(1, 1, 1), false),
        (version(1, 2, 0), version(1, 1, 9), false),
        (version(1, 1, 1), version(2, 1, 1), true),
        (version(3, 1, 0), version(2, 1, 1), true),
        (version(3, 0, 9), version(2, 1, 0), true),
    ];
    for (new, old, behind) in cases {
        assert_eq!(new.is_behind(&old), behind, "{new} against {old}");
    }
}

/// Guards against a parser that accepts other spellings of keywords or invalid
/// paths.
#[test]
fn keywords_and_paths_are_checked() {
    assert_eq!("agent".parse::<Role>().unwrap(), Role::Agent);
    assert!("Agent".parse::<Role>().is_err());
    assert!(
        "/feeds/"
            .parse::<PathPrefix>()
            .unwrap()
            .matches(b"/feeds/7")
    );
    assert!("feeds".parse::<PathPrefix>().is_err());
    assert!("/a b".parse::<PathPrefix>().is_err());
}
