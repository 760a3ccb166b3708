//! Stable assignment of buckets to upstreams with quotas.
//!
//! Each pair of an upstream and a bucket has a rank, which depends only on a
//! hash of the upstream and its share. Upstreams and buckets both prefer lower
//! ranks. As both sides have the same preferences, the only stable assignment
//! results from going through the pairs by ascending rank and assigning the
//! bucket if it is free and the upstream is below its quota.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, binary_heap::PeekMut},
};

use types::{Share, UpstreamId};

use crate::connection::hash;

/// Maximum number of upstreams of a service that has `SMALL_SERVICE_BUCKETS`.
const MAX_SMALL_SERVICE_UPSTREAMS: usize = 16;

/// Number of buckets of a service with few upstreams. With more buckets, a
/// change exceeds the minimum number of moves by less; this many take 512 bytes
/// with two upstreams, which 52,000 services can afford.
const SMALL_SERVICE_BUCKETS: usize = 1 << 12;

/// Minimum number of buckets of a service with more upstreams. An assignment
/// takes about 7 ms. With 1,000 upstreams, one that leaves moves 4.2 times the
/// minimum number of buckets, and a step of a ramp 6.6 times; fewer moves need
/// more buckets and a longer assignment.
const MIN_LARGE_SERVICE_BUCKETS: usize = 1 << 16;

/// Minimum number of buckets per upstream, so that rounding changes a quota by
/// less than 1%.
const MIN_BUCKETS_PER_UPSTREAM: usize = 64;

/// Marks a bucket without an owner.
const UNASSIGNED: u32 = u32::MAX;

/// Number of buckets of a service with `upstreams` upstreams.
///
/// A change of this number moves almost all flows that are being opened (94%
/// from 16 to 17 upstreams), so it has few steps.
fn bucket_count(upstreams: usize) -> usize {
    match upstreams {
        // A single upstream owns the only bucket.
        0 | 1 => upstreams,
        2..=MAX_SMALL_SERVICE_UPSTREAMS => SMALL_SERVICE_BUCKETS,
        _ => (upstreams * MIN_BUCKETS_PER_UPSTREAM)
            .next_power_of_two()
            .max(MIN_LARGE_SERVICE_BUCKETS),
    }
}

/// Index in `shares` of the owner of each bucket.
pub(crate) fn assign(shares: &[(UpstreamId, Share)]) -> Vec<u32> {
    let buckets = bucket_count(shares.len());
    let mut owners = vec![UNASSIGNED; buckets];
    let mut orders: Vec<BucketOrder> = quotas(shares, buckets)
        .into_iter()
        .zip(shares)
        .map(|(quota, (id, share))| BucketOrder::new(*id, *share, quota, buckets))
        .collect();
    let mut next: BinaryHeap<Reverse<(u64, u32)>> = (0..)
        .zip(&orders)
        .filter(|(_, order)| order.remaining_quota > 0)
        .map(|(at, order)| Reverse((order.rank(), at)))
        .collect();
    while let Some(mut earliest) = next.peek_mut() {
        let at = earliest.0.1;
        let order = &mut orders[at as usize];
        let owner = &mut owners[order.bucket];
        if *owner == UNASSIGNED {
            *owner = at;
            order.remaining_quota -= 1;
        }
        if order.remaining_quota > 0 {
            order.advance_to_unassigned(&owners);
            earliest.0.0 = order.rank();
        } else {
            PeekMut::pop(earliest);
        }
    }
    owners
}

/// Number of buckets of each upstream, rounded by largest remainder. A hash of
/// the id breaks ties.
fn quotas(shares: &[(UpstreamId, Share)], buckets: usize) -> Vec<u64> {
    let total: u64 = shares.iter().map(|(_, share)| u64::from(share.0)).sum();
    let exact = |share: Share| u64::from(share.0) * buckets as u64;
    let mut quotas: Vec<u64> = shares.iter().map(|s| exact(s.1) / total).collect();
    let unassigned = buckets - usize::try_from(quotas.iter().sum::<u64>()).unwrap_or(buckets);
    let by_remainder: BTreeMap<_, _> = shares
        .iter()
        .enumerate()
        .map(|(at, (id, share))| {
            let tie_break = hash(0, &id.0.to_le_bytes());
            ((Reverse(exact(*share) % total), tie_break, *id), at)
        })
        .collect();
    for at in by_remainder.into_values().take(unassigned) {
        quotas[at] += 1;
    }
    quotas
}

/// The buckets by ascending rank for one upstream.
struct BucketOrder {
    /// Hash of the upstream id; the order depends on nothing else.
    seed: u64,
    share: Share,
    /// Number of buckets that the upstream still has to get.
    remaining_quota: u64,
    /// Position in the order.
    step: u64,
    /// Bucket at this position.
    bucket: usize,
    /// Number of buckets minus 1.
    mask: u64,
}

impl BucketOrder {
    fn new(id: UpstreamId, share: Share, quota: u64, buckets: usize) -> Self {
        let mut order = BucketOrder {
            seed: hash(1, &id.0.to_le_bytes()),
            share,
            remaining_quota: quota,
            step: 0,
            bucket: 0,
            mask: buckets as u64 - 1,
        };
        order.bucket = order.bucket_at(0);
        order
    }

    /// The bucket at position `step`. Each operation is a bijection on the
    /// numbers up to the mask, so that the order contains each bucket once.
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

    /// Rank of the current pair. A step adds 1 / share, so that a smaller share
    /// raises the ranks of this upstream and no others.
    ///
    /// The value has room for 2^24 buckets, which is enough for 260,000
    /// upstreams.
    fn rank(&self) -> u64 {
        let jitter = (self.step ^ self.seed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48;
        ((self.step << 16 | jitter) << 24) / u64::from(self.share.0)
    }

    /// Advances to the next bucket without an owner. There is one while a quota
    /// remains, because the quotas add up to the number of buckets.
    fn advance_to_unassigned(&mut self, owners: &[u32]) {
        loop {
            self.step += 1;
            self.bucket = self.bucket_at(self.step);
            if owners[self.bucket] == UNASSIGNED {
                return;
            }
        }
    }
}
