//! Peers of the service and what is known of their load.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use rand::{Rng, rngs::SmallRng};
use types::{ClassLoad, ClassName, DataCentre, Loads, UpstreamId};

use crate::Settings;

/// Up to this many peers, all are asked in order.
const ALL_PEERS: usize = 16;

/// Peers drawn for one question when there are more than [`ALL_PEERS`]; the
/// best of them by known load is asked.
const DRAWN: usize = 4;

/// Peers that one request asks when there are more than [`ALL_PEERS`].
const SAMPLE_QUESTIONS: usize = 4;

/// Time for which a peer that did not answer is not asked again.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(1);

/// Peers of the service.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    known: BTreeMap<UpstreamId, Peer>,
    /// The keys of `known`, to draw from.
    ids: Vec<UpstreamId>,
}

#[derive(Debug, Clone)]
struct Peer {
    /// Whether it is in the data centre of this agent.
    near: bool,
    classes: BTreeMap<ClassName, PeerClass>,
    /// Not asked before this instant, because it did not answer.
    paused: Option<Instant>,
}

#[derive(Debug, Clone, Default)]
struct PeerClass {
    load: ClassLoad,
    /// Not asked before this instant, because it was full.
    paused: Option<Instant>,
}

impl Peer {
    fn may_be_asked(&self, now: Instant, class: &ClassName) -> bool {
        let full = self.classes.get(class).and_then(|known| known.paused);
        [self.paused, full]
            .into_iter()
            .flatten()
            .all(|at| at <= now)
    }

    /// Free slots by the latest news; unknown counts as free.
    fn free(&self, class: &ClassName) -> u32 {
        self.classes
            .get(class)
            .map_or(u32::MAX, |known| known.load.free().0)
    }
}

impl Peers {
    /// Replaces the list; what is known of peers that stay is kept.
    pub(crate) fn set(&mut self, own: &DataCentre, peers: &BTreeMap<UpstreamId, DataCentre>) {
        let mut former = std::mem::take(&mut self.known);
        for (&id, data_centre) in peers {
            let mut peer = former.remove(&id).unwrap_or(Peer {
                near: false,
                classes: BTreeMap::new(),
                paused: None,
            });
            peer.near = data_centre == own;
            self.known.insert(id, peer);
        }
        self.ids = self.known.keys().copied().collect();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Notes loads that may be old: they order the peers and end a pause, and
    /// never start one.
    pub(crate) fn note_loads(&mut self, id: UpstreamId, loads: &Loads) {
        let Some(peer) = self.known.get_mut(&id) else {
            return;
        };
        for (class, load) in loads {
            let known = peer.classes.entry(class.clone()).or_default();
            known.load = *load;
            if load.free().0 > 0 {
                known.paused = None;
            }
        }
    }

    /// Notes that the peer had no slot. It is not asked for a while, and longer
    /// when requests of its own wait for its slots.
    pub(crate) fn note_full(
        &mut self,
        now: Instant,
        id: UpstreamId,
        class: &ClassName,
        settings: &Settings,
    ) {
        if let Some(peer) = self.known.get_mut(&id) {
            let known = peer.classes.entry(class.clone()).or_default();
            let backlog = known.load.queued.0.div_ceil(known.load.slots.0.max(1));
            known.paused = Some(now + settings.full_peer_backoff * (1 + backlog));
        }
    }

    pub(crate) fn note_unreachable(&mut self, now: Instant, id: UpstreamId) {
        if let Some(peer) = self.known.get_mut(&id) {
            peer.paused = Some(now + UNREACHABLE_PAUSE);
        }
    }

    /// Notes that a slot of the peer was taken.
    pub(crate) fn note_granted(&mut self, id: UpstreamId, class: &ClassName) {
        let known = self.known.get_mut(&id);
        if let Some(known) = known.and_then(|peer| peer.classes.get_mut(class)) {
            known.load.in_flight.0 = known.load.in_flight.0.saturating_add(1);
        }
    }

    /// The peer to ask next: own data centre first, then by known free slots,
    /// equal ones in random order so that agents do not all ask the same.
    pub(crate) fn choose(
        &self,
        now: Instant,
        class: &ClassName,
        tried: &[UpstreamId],
        rng: &mut SmallRng,
    ) -> Option<UpstreamId> {
        let eligible = |id: &UpstreamId| {
            let peer = self
                .known
                .get(id)
                .filter(|peer| peer.may_be_asked(now, class))?;
            (!tried.contains(id)).then_some((peer.near, peer.free(class)))
        };
        let drawn = if self.ids.len() <= ALL_PEERS {
            self.ids.clone()
        } else if tried.len() < SAMPLE_QUESTIONS {
            let draw = |_| self.ids[rng.random_range(0..self.ids.len())];
            (0..DRAWN).map(draw).collect()
        } else {
            Vec::new()
        };
        drawn
            .into_iter()
            .filter_map(|id| Some((eligible(&id)?, rng.random::<u32>(), id)))
            .max()
            .map(|(_, _, id)| id)
    }
}
