//! Owners of buckets: quotas, determinism and the number of moves.

use std::collections::BTreeMap;

use arbtest::arbtest;
use route::BucketOwners;
use types::{Share, UpstreamId};

/// Number of random cases; the case number is the seed.
const CASES: u64 = 64;

/// Bytes of random input per case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 512;

fn counts(owners: &BucketOwners) -> BTreeMap<UpstreamId, u64> {
    owners.iter().fold(BTreeMap::new(), |mut counts, owner| {
        *counts.entry(owner).or_default() += 1;
        counts
    })
}

fn equal_shares(ids: std::ops::Range<u64>) -> BTreeMap<UpstreamId, Share> {
    ids.map(|id| (UpstreamId(id), Share::FULL)).collect()
}

/// Guards against an upstream that owns more or fewer buckets than its rounded
/// quota, or any without a share.
#[test]
fn each_upstream_owns_its_quota() {
    for case in 0..CASES {
        arbtest(|u| {
            let shares: BTreeMap<UpstreamId, Share> = (0..u.int_in_range(0..=24)?)
                .map(|_| Ok((UpstreamId(u.arbitrary()?), Share(u.int_in_range(0..=1024)?))))
                .collect::<arbtest::arbitrary::Result<_>>()?;
            let owners = BucketOwners::new(&shares);
            let counts = counts(&owners);
            let total: u64 = shares.values().map(|share| u64::from(share.0)).sum();
            assert_eq!(counts.values().sum::<u64>(), owners.bucket_count() as u64);
            assert_eq!(owners.bucket_count() == 0, total == 0);
            let mut remainders = [(0, 0); 2];
            for (id, share) in &shares {
                let count = counts.get(id).copied().unwrap_or_default();
                let exact = u64::from(share.0) * owners.bucket_count() as u64;
                let (floor, remainder) = (exact / total.max(1), exact % total.max(1));
                assert!(
                    count == floor || count == floor + 1,
                    "{id}: {count} of {exact}/{total}"
                );
                assert!(share.0 > 0 || count == 0);
                let [down, up] = &mut remainders;
                if count == floor {
                    *down = (*down).max((remainder, 1));
                } else if up.1 == 0 || remainder < up.0 {
                    *up = (remainder, 1);
                }
            }
            let [down, up] = remainders;
            assert!(
                up.1 == 0 || down.0 <= up.0,
                "rounded up {up:?}, down {down:?}"
            );
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against a change of the hash or of the order: hosts with two releases
/// would route flows differently.
#[test]
fn owners_do_not_change_between_releases() {
    let owners: Vec<u64> = BucketOwners::new(&equal_shares(0..7))
        .iter()
        .map(|id| id.0)
        .collect();
    assert_eq!(
        owners[..16],
        [1, 2, 4, 3, 5, 4, 2, 5, 6, 0, 2, 2, 4, 6, 1, 6]
    );
}

/// Guards against a change that moves more buckets than the target: a median of
/// 1.5 times the minimum number, at the sizes in use.
#[test]
fn few_buckets_move_on_a_change() {
    for n in [3, 7, 14] {
        let mut ratios: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for trial in 0..21 {
            let ids = trial * 100..trial * 100 + n;
            let with = |share| {
                let mut shares = equal_shares(ids.clone());
                shares.insert(UpstreamId(ids.end), Share(share));
                shares
            };
            let lowered = [(UpstreamId(ids.start), Share(512))];
            let lowered = equal_shares(ids.clone())
                .into_iter()
                .chain(lowered)
                .collect();
            let cases = [
                ("leaves", with(1024), with(0)),
                ("joins", with(0), with(128)),
                ("ramp step", with(512), with(640)),
                ("load report", with(0), lowered),
            ];
            for (name, before, after) in cases {
                let ratio = move_ratio(&before, &after);
                ratios.entry(name).or_default().push(ratio);
            }
        }
        for (name, mut ratios) in ratios {
            ratios.sort_by(f64::total_cmp);
            let median = ratios[ratios.len() / 2];
            assert!(median <= 1.5, "{n} {name}: {ratios:?}");
        }
    }
}

/// Number of moved buckets relative to the minimum that exact quotas need.
fn move_ratio(before: &BTreeMap<UpstreamId, Share>, after: &BTreeMap<UpstreamId, Share>) -> f64 {
    let (before, after) = (BucketOwners::new(before), BucketOwners::new(after));
    let moved = before
        .iter()
        .zip(after.iter())
        .filter(|(a, b)| a != b)
        .count();
    let old = counts(&before);
    let gain = |(id, n): (&UpstreamId, &u64)| n.saturating_sub(*old.get(id).unwrap_or(&0));
    let minimum: u64 = counts(&after).iter().map(gain).sum();
    f64::from(u32::try_from(moved).unwrap()) / f64::from(u32::try_from(minimum).unwrap())
}
