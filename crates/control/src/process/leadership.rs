//! What the leader keeps besides the log.

use std::time::{Duration, Instant};

use config::ConfigState;
use member::Registry;
use types::{Revision, Term};

use super::{Settings, nodes::LiveNodes, waiters::WaitingSyncs};
use crate::{request::WaitingSync, version::LeaderView};

/// Shortest time between two published memberships, so that many changes at
/// once are one switch of version.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// What the leader keeps besides the log. Soft state: a new leader starts
/// without it.
pub(super) struct Leadership {
    pub term: Term,
    pub registry: Registry,
    pub nodes: LiveNodes,
    /// Nodes that wait for something newer.
    pub waiters: WaitingSyncs,
    /// No membership is published before this instant.
    pub publish_at: Instant,
    /// A read of this term was confirmed, so every entry of earlier leaders is
    /// applied here.
    pub confirmed: bool,
    /// Revision up to which the registry knows the configuration.
    pub known: Revision,
}

impl Leadership {
    pub fn new(cfg: &Settings, term: Term, now: Instant) -> Self {
        Leadership {
            term,
            registry: Registry::new(cfg.member.clone(), now, term),
            nodes: LiveNodes::default(),
            waiters: WaitingSyncs::default(),
            publish_at: now,
            confirmed: false,
            known: Revision(0),
        }
    }

    /// Takes the configuration after `self.known` over into the registry.
    pub fn learn(&mut self, state: &ConfigState) {
        if self.known == state.revision() && self.known != Revision(0) {
            return;
        }
        let changes = match state.delta_since(self.known) {
            config::Delta::Changes(changes) => changes,
            config::Delta::SnapshotNeeded => state.full_changes(),
        };
        for id in changes.removed {
            self.registry.remove_service(id);
        }
        for service in changes.services {
            self.registry
                .set_service(service.id, &service.name, &service.targets);
        }
        for (host, drain) in changes.drains {
            self.registry.set_drain(&host, drain);
        }
        self.known = state.revision();
    }

    pub fn next_deadline(&self) -> Instant {
        let publish = self.registry.next_deadline();
        let publish = publish.map(|at| at.max(self.publish_at));
        let hold = self.waiters.next_deadline();
        let far = Instant::now() + Duration::from_secs(1);
        publish.into_iter().chain(hold).min().unwrap_or(far)
    }

    /// Publishes a membership if one is due; returns whether it did.
    pub fn publish(&mut self, now: Instant) -> bool {
        let due = self.registry.next_deadline();
        if now < self.publish_at || due.is_none_or(|due| now < due) {
            return false;
        }
        self.publish_at = now + PUBLISH_INTERVAL;
        self.registry.tick(now).is_some()
    }

    /// Takes the nodes that are to be answered now.
    pub fn take_due(&mut self, now: Instant, state: &State) -> Vec<WaitingSync> {
        let view = LeaderView {
            state,
            registry: &self.registry,
        };
        self.waiters.take_due(now, view)
    }
}
