//! Peers of the service and their last known loads.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::SmallRng};
use types::{ClassLoad, ClassLoads, ClassName, DataCentre, UpstreamId};

use crate::Settings;

/// Maximum number of peers up to which all of them are candidates for each ask.
/// With more peers, a random sample is taken.
const MAX_PEERS_WITHOUT_SAMPLING: usize = 16;

/// Number of peers sampled for each ask when there are more than
/// [`MAX_PEERS_WITHOUT_SAMPLING`]; the best of them by known load is asked.
const SAMPLED_PEERS: usize = 4;

/// Maximum number of peers that one request asks when there are more than
/// [`MAX_PEERS_WITHOUT_SAMPLING`].
const MAX_SAMPLED_ASKS: usize = 4;

/// Time for which an unreachable peer is not asked again.
const UNREACHABLE_BACKOFF: Duration = Duration::from_secs(1);

/// Peers of the service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    by_id: BTreeMap<UpstreamId, Peer>,
    /// The keys of `by_id`, for random sampling.
    ids: Vec<UpstreamId>,
}

#[derive(Debug, Clone)]
struct Peer {
    /// Whether the peer is in the data centre of this agent.
    same_data_centre: bool,
    classes: BTreeMap<ClassName, PeerClass>,
    /// Instant before which the peer is not asked, because it was unreachable.
    retry_at: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct PeerClass {
    load: ClassLoad,
    /// Instant before which the peer is not asked, because it was full.
    retry_at: Option<Instant>,
}

impl Peer {
    fn may_be_asked(&self, now: Instant, class: &ClassName) -> bool {
        let full = self
            .classes
            .get(class)
            .and_then(|peer_class| peer_class.retry_at);
        [self.retry_at, full]
            .into_iter()
            .flatten()
            .all(|at| at <= now)
    }

    /// Free slots according to the last known load; an unknown load counts as
    /// free.
    fn free_slots(&self, class: &ClassName) -> u32 {
        self.classes
            .get(class)
            .map_or(u32::MAX, |peer_class| peer_class.load.free().0)
    }
}

impl Peers {
    /// Replaces the list of peers; the state of peers that remain is kept.
    pub(crate) fn set(&mut self, own: &DataCentre, peers: &BTreeMap<UpstreamId, DataCentre>) {
        let mut former = std::mem::take(&mut self.by_id);
        for (&id, data_centre) in peers {
            let mut peer = former.remove(&id).unwrap_or(Peer {
                same_data_centre: false,
                classes: BTreeMap::new(),
                retry_at: None,
            });
            peer.same_data_centre = data_centre == own;
            self.by_id.insert(id, peer);
        }
        self.ids = self.by_id.keys().copied().collect();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Updates loads, which may be outdated: they rank the peers and may end a
    /// backoff, but never start one.
    pub(crate) fn update_loads(&mut self, id: UpstreamId, loads: &ClassLoads) {
        let Some(peer) = self.by_id.get_mut(&id) else {
            return;
        };
        for (class, load) in loads {
            let peer_class = peer.classes.entry(class.clone()).or_default();
            peer_class.load = *load;
            if load.free().0 > 0 {
                peer_class.retry_at = None;
            }
        }
    }

    /// Records that the peer had no free slot and starts a backoff, which is
    /// longer if the peer has queued requests of its own.
    pub(crate) fn record_full(
        &mut self,
        now: Instant,
        id: UpstreamId,
        class: &ClassName,
        settings: &Settings,
    ) {
        if let Some(peer) = self.by_id.get_mut(&id) {
            let peer_class = peer.classes.entry(class.clone()).or_default();
            let backlog = peer_class
                .load
                .queued
                .0
                .div_ceil(peer_class.load.slots.0.max(1));
            peer_class.retry_at = Some(now + settings.full_peer_backoff * (1 + backlog));
        }
    }

    pub(crate) fn record_unreachable(&mut self, now: Instant, id: UpstreamId) {
        if let Some(peer) = self.by_id.get_mut(&id) {
            peer.retry_at = Some(now + UNREACHABLE_BACKOFF);
        }
    }

    /// Records that a slot of the peer was taken.
    pub(crate) fn record_granted(&mut self, id: UpstreamId, class: &ClassName) {
        let peer = self.by_id.get_mut(&id);
        if let Some(peer_class) = peer.and_then(|peer| peer.classes.get_mut(class)) {
            peer_class.load.in_flight.0 = peer_class.load.in_flight.0.saturating_add(1);
        }
    }

    /// Chooses the peer to ask next: peers of the own data centre first, then by
    /// free slots. Ties are broken at random, so that agents do not all ask the
    /// same peer.
    pub(crate) fn choose(
        &self,
        now: Instant,
        class: &ClassName,
        asked_peers: &[UpstreamId],
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        let eligible = |id: &UpstreamId| {
            let peer = self
                .by_id
                .get(id)
                .filter(|peer| peer.may_be_asked(now, class))?;
            (!asked_peers.contains(id)).then_some((peer.same_data_centre, peer.free_slots(class)))
        };
        let candidates = if self.ids.len() <= MAX_PEERS_WITHOUT_SAMPLING {
            self.ids.clone()
        } else if asked_peers.len() < MAX_SAMPLED_ASKS {
            let random_id = |_| self.ids[rng.random_range(0..self.ids.len())];
            (0..SAMPLED_PEERS).map(random_id).collect()
        } else {
            Vec::new()
        };
        candidates
            .into_iter()
            .filter_map(|id| Some((eligible(&id)?, rng.random::<u32>(), id)))
            .max()
            .map(|(_, _, id)| id)
    }
}
