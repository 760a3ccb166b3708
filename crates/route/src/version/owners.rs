//! Placement of the buckets of a service on its upstreams.

use std::collections::BTreeMap;

use types::{FlowKey, ServiceId, Share, UpstreamId};

use crate::connection::hash;

/// Upstreams with a share above 0, in ascending order of their ids.
pub(crate) type ShareList = Box<[(UpstreamId, Share)]>;

/// Owner of each bucket of a service: a pure function of the share list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owners {
    shares: ShareList,
    /// Position in `shares` of the owner of each bucket; the length is a power
    /// of two, or 0 when `shares` is empty.
    buckets: Box<[u16]>,
}

impl Owners {
    /// Places the buckets on the upstreams of `shares`.
    #[must_use]
    pub fn new(shares: &BTreeMap<UpstreamId, Share>) -> Self {
        let positive = shares.iter().filter(|(_, share)| share.0 > 0);
        Owners::from_list(positive.map(|(id, share)| (*id, *share)).collect())
    }

    pub(crate) fn from_list(shares: ShareList) -> Self {
        if shares.is_empty() {
            return Owners {
                shares,
                buckets: Box::default(),
            };
        }
        let owner = |bucket: u64| {
            (0u16..)
                .zip(&shares)
                .max_by_key(|(_, s)| hash(bucket, &s.0.0.to_le_bytes()))
                .map_or(0, |(at, _)| at)
        };
        let buckets = (0..256).map(owner).collect();
        Owners { shares, buckets }
    }

    pub(crate) fn shares(&self) -> &[(UpstreamId, Share)] {
        &self.shares
    }

    /// Whether `upstream` has a share.
    pub(crate) fn has(&self, upstream: UpstreamId) -> bool {
        self.shares.binary_search_by_key(&upstream, |s| s.0).is_ok()
    }

    /// Number of buckets; 0 when nobody has a share.
    #[must_use]
    pub fn buckets(&self) -> usize {
        self.buckets.len()
    }

    /// Owner of the bucket of a flow.
    #[must_use]
    pub fn owner(&self, service: ServiceId, flow: FlowKey) -> Option<UpstreamId> {
        let mask = self.buckets.len().checked_sub(1)?;
        let hash = hash(u64::from(service.0), &flow.0.to_le_bytes());
        #[allow(clippy::cast_possible_truncation)] // Only the low bits count.
        let bucket = hash as usize & mask;
        Some(self.shares[usize::from(self.buckets[bucket])].0)
    }

    /// Owner of each bucket.
    pub fn iter(&self) -> impl Iterator<Item = UpstreamId> {
        self.buckets
            .iter()
            .map(|at| self.shares[usize::from(*at)].0)
    }
}
