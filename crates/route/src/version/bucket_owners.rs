//! Owners of the buckets of a service.

use std::collections::BTreeMap;

use types::{FlowKey, ServiceId, Share, UpstreamId};

use super::{assign::assign, packed_ints::PackedInts};
use crate::connection::hash;

/// Upstreams with a share above 0, in ascending order of their ids.
pub(crate) type ShareList = Box<[(UpstreamId, Share)]>;

/// Owner of each bucket of a service: a pure function of the share list.
///
/// Each upstream owns exactly its quota of the buckets: its fraction of the sum
/// of the shares, rounded by largest remainder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BucketOwners {
    shares: ShareList,
    /// Index in `shares` of the owner of each bucket. The length is a power of
    /// two, or 0 when `shares` is empty.
    buckets: PackedInts,
}

impl BucketOwners {
    /// Places the buckets on the upstreams of `shares`.
    ///
    /// ```
    /// use std::collections::BTreeMap;
    /// use route::BucketOwners;
    /// use types::{Share, UpstreamId};
    ///
    /// let shares = BTreeMap::from([(UpstreamId(1), Share(300)), (UpstreamId(2), Share(100))]);
    /// let owners = BucketOwners::new(&shares);
    /// let of_1 = owners.iter().filter(|owner| *owner == UpstreamId(1)).count();
    /// assert_eq!(of_1 * 4, owners.bucket_count() * 3);
    /// ```
    #[must_use]
    pub fn new(shares: &BTreeMap<UpstreamId, Share>) -> Self {
        let positive = shares.iter().filter(|(_, share)| share.0 > 0);
        BucketOwners::from_list(positive.map(|(id, share)| (*id, *share)).collect())
    }

    pub(crate) fn from_list(shares: ShareList) -> Self {
        let buckets = assign(&shares);
        let buckets = PackedInts::new(&buckets, shares.len());
        BucketOwners { shares, buckets }
    }

    pub(crate) fn shares(&self) -> &[(UpstreamId, Share)] {
        &self.shares
    }

    /// Whether `upstream` has a share above 0.
    pub(crate) fn has_share(&self, upstream: UpstreamId) -> bool {
        self.shares.binary_search_by_key(&upstream, |s| s.0).is_ok()
    }

    /// Number of buckets; 0 if no upstream has a share.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }

    /// Owner of the flow's bucket; `None` if there are no buckets.
    #[must_use]
    pub fn owner(&self, service: ServiceId, flow: FlowKey) -> Option<UpstreamId> {
        Some(self.shares[self.position(service, flow)?].0)
    }

    /// Index in `shares` of the owner of the flow's bucket.
    pub(crate) fn position(&self, service: ServiceId, flow: FlowKey) -> Option<usize> {
        let mask = self.buckets.len().checked_sub(1)?;
        let hash = hash(u64::from(service.0), &flow.0.to_le_bytes());
        #[allow(clippy::cast_possible_truncation)] // Only the low bits count.
        let bucket = hash as usize & mask;
        Some(self.buckets.get(bucket))
    }

    /// Owner of each bucket.
    pub fn iter(&self) -> impl Iterator<Item = UpstreamId> {
        (0..self.buckets.len()).map(|bucket| self.shares[self.buckets.get(bucket)].0)
    }
}
