//! Stable assignment of buckets to upstreams with quotas.
//!
//! Every pair of an upstream and a bucket has a time, from a hash of the
//! upstream and its share alone. Both sides prefer earlier times. With equal
//! preferences on both sides the one stable assignment is found by taking the
//! pairs in the order of their times: a pair is joined when the bucket is free
//! and the upstream is under its quota.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, binary_heap::PeekMut},
};

use types::{Share, UpstreamId};

use crate::connection::hash;

/// Largest number of upstreams with the least number of buckets.
const SMALL: usize = 16;

/// Buckets of a service with few upstreams. More buckets make a change move
/// fewer beyond the least possible number; these cost 512 bytes with two
/// upstreams, which 52,000 services can afford.
const SMALL_BUCKETS: usize = 1 << 12;

/// Buckets of a service with more upstreams: a rebuild takes about 7 ms. Of
/// 1,000 upstreams one that leaves then moves 4.2 times the least possible
/// number and a ramp step 6.6 times; fewer moves need more buckets and a longer
/// rebuild.
const LARGE_BUCKETS: usize = 1 << 16;

/// Least number of buckets for an upstream, so that rounding a quota changes
/// it by under 1%.
const BUCKETS_EACH: usize = 64;

/// Marks a bucket without an owner.
const FREE: u32 = u32::MAX;

/// Number of buckets for a number of upstreams.
///
/// A step from one size to another moves nearly every flow that is about to
/// open (94% from 16 to 17 upstreams), so the steps are few.
fn bucket_count(upstreams: usize) -> usize {
    match upstreams {
        // A lone upstream needs no choice.
        0 | 1 => upstreams,
        2..=SMALL => SMALL_BUCKETS,
        _ => (upstreams * BUCKETS_EACH)
            .next_power_of_two()
            .max(LARGE_BUCKETS),
    }
}

/// Position in `shares` of the owner of each bucket.
pub(crate) fn assign(shares: &[(UpstreamId, Share)]) -> Vec<u32> {
    let buckets = bucket_count(shares.len());
    let mut owners = vec![FREE; buckets];
    let mut walks: Vec<Walk> = quotas(shares, buckets)
        .into_iter()
        .zip(shares)
        .map(|(quota, (id, share))| Walk::new(*id, *share, quota, buckets))
        .collect();
    let mut next: BinaryHeap<Reverse<(u64, u32)>> = (0..)
        .zip(&walks)
        .filter(|(_, walk)| walk.quota > 0)
        .map(|(at, walk)| Reverse((walk.time(), at)))
        .collect();
    while let Some(mut earliest) = next.peek_mut() {
        let at = earliest.0.1;
        let walk = &mut walks[at as usize];
        let owner = &mut owners[walk.bucket];
        if *owner == FREE {
            *owner = at;
            walk.quota -= 1;
        }
        if walk.quota > 0 {
            walk.skip_to_free(&owners);
            earliest.0.0 = walk.time();
        } else {
            PeekMut::pop(earliest);
        }
    }
    owners
}

/// Number of buckets of each upstream, by largest remainder. Equal remainders
/// go by a hash of the id.
fn quotas(shares: &[(UpstreamId, Share)], buckets: usize) -> Vec<u64> {
    let total: u64 = shares.iter().map(|(_, share)| u64::from(share.0)).sum();
    let exact = |share: Share| u64::from(share.0) * buckets as u64;
    let mut quotas: Vec<u64> = shares.iter().map(|s| exact(s.1) / total).collect();
    let left = buckets - usize::try_from(quotas.iter().sum::<u64>()).unwrap_or(buckets);
    let by_remainder: BTreeMap<_, _> = shares
        .iter()
        .enumerate()
        .map(|(at, (id, share))| {
            let tie = hash(0, &id.0.to_le_bytes());
            ((Reverse(exact(*share) % total), tie, *id), at)
        })
        .collect();
    for at in by_remainder.into_values().take(left) {
        quotas[at] += 1;
    }
    quotas
}

/// The buckets in the order in which an upstream prefers them.
struct Walk {
    /// Hash of the upstream; the order depends on nothing else.
    seed: u64,
    share: Share,
    /// Buckets that the upstream still lacks.
    quota: u64,
    /// Steps taken.
    step: u64,
    /// The bucket at the present step.
    bucket: usize,
    /// Number of buckets less 1.
    mask: u64,
}

impl Walk {
    fn new(id: UpstreamId, share: Share, quota: u64, buckets: usize) -> Self {
        let mut walk = Walk {
            seed: hash(1, &id.0.to_le_bytes()),
            share,
            quota,
            step: 0,
            bucket: 0,
            mask: buckets as u64 - 1,
        };
        walk.bucket = walk.bucket_at(0);
        walk
    }

    /// The bucket at a step. Each of the operations is a bijection
    /// of the numbers up to the mask, so the walk visits every bucket once.
    #[allow(clippy::cast_possible_truncation)] // Buckets fit in memory.
    fn bucket_at(&self, step: u64) -> usize {
        let half = (self.mask.count_ones() / 2).max(1);
        let mut x = step;
        for (factor, offset) in [(0, 32), (16, 48)] {
            x = x.wrapping_mul((self.seed >> factor) | 1);
            x = x.wrapping_add(self.seed >> offset) & self.mask;
            x ^= x >> half;
        }
        (x.wrapping_mul(0x9e37_79b9) & self.mask) as usize
    }

    /// Time of the present step. A step takes 1 over the share, so a smaller
    /// share makes every pair of the upstream later and no other.
    ///
    /// The number has room for 2^24 buckets, so for 260,000 upstreams.
    fn time(&self) -> u64 {
        let jitter = (self.step ^ self.seed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        ((self.step << 16 | jitter) << 24) / u64::from(self.share.0)
    }

    /// Goes on to the next free bucket. There is one while a quota is open,
    /// because the quotas add up to the number of buckets.
    fn skip_to_free(&mut self, owners: &[u32]) {
        loop {
            self.step += 1;
            self.bucket = self.bucket_at(self.step);
            if owners[self.bucket] == FREE {
                return;
            }
        }
    }
}
