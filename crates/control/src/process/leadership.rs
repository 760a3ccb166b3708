//! Soft state of the leader.

use std::time::{Duration, Instant};

use config::ConfigState;
use member::Registry;
use types::{Revision, ServiceName, Term};

use super::{Settings, live_nodes::LiveNodes, waiting_syncs::WaitingSyncs};
use crate::{request::WaitingSync, version::LeaderView};

/// Shortest interval between two published memberships, so that many changes
/// at once cause a single switch of version on the nodes.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(100);

/// State that the leader keeps outside the log. A new leader starts without it
/// and rebuilds it from the syncs of the nodes.
pub(super) struct Leadership {
    pub term: Term,
    pub registry: Registry,
    pub nodes: LiveNodes,
    /// Sync requests that are held until there is an update.
    pub waiting_syncs: WaitingSyncs,
    /// No membership is published before this instant.
    pub earliest_publish: Instant,
    /// Whether a read was confirmed in this term, so that every entry committed
    /// under earlier leaders has been applied here.
    pub read_confirmed: bool,
    /// Revision of the configuration that the registry has; 0 before the first
    /// copy.
    pub registry_revision: Revision,
}

impl Leadership {
    pub fn new(cfg: &Settings, term: Term, now: Instant) -> Self {
        Leadership {
            term,
            registry: Registry::new(cfg.member.clone(), now, term),
            nodes: LiveNodes::default(),
            waiting_syncs: WaitingSyncs::default(),
            earliest_publish: now,
            read_confirmed: false,
            registry_revision: Revision(0),
        }
    }

    /// Copies the configuration changes after `registry_revision` into the
    /// registry.
    pub fn apply_configuration(&mut self, state: &ConfigState) {
        if self.registry_revision == state.revision() && self.registry_revision != Revision(0) {
            return;
        }
        let changes = match state.delta_since(self.registry_revision) {
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
        let has_evacuation = changes.evacuations.values().any(|evacuated| *evacuated);
        for (data_centre, evacuated) in changes.evacuations {
            self.registry.set_evacuated(&data_centre, evacuated);
        }
        let unserved = self.registry.services_without_upstreams();
        if has_evacuation && !unserved.is_empty() {
            let services: Vec<&str> = unserved.iter().map(ServiceName::as_str).collect();
            log::warn!(
                event = "services_without_upstreams", services = services.join(", ").as_str();
                "an evacuation leaves services without upstreams"
            );
        }
        self.registry_revision = state.revision();
    }

    /// When the next membership may be published, a held sync or a review is
    /// due, or after one second if nothing is scheduled.
    pub fn next_deadline(&self) -> Instant {
        let publish_deadline = self.registry.next_deadline();
        let publish_deadline = publish_deadline.map(|at| at.max(self.earliest_publish));
        let sync_deadline = self.waiting_syncs.next_deadline();
        let idle_deadline = Instant::now() + Duration::from_secs(1);
        publish_deadline
            .into_iter()
            .chain(sync_deadline)
            .min()
            .unwrap_or(idle_deadline)
    }

    /// Publishes a membership if one is due; returns whether it was published.
    pub fn publish(&mut self, now: Instant) -> bool {
        let due = self.registry.next_deadline();
        if now < self.earliest_publish || due.is_none_or(|due| now < due) {
            return false;
        }
        self.earliest_publish = now + PUBLISH_INTERVAL;
        self.registry.tick(now).is_some()
    }

    /// Removes and returns the sync requests that are to be answered now.
    pub fn take_due(&mut self, now: Instant, state: &ConfigState) -> Vec<WaitingSync> {
        let view = LeaderView {
            state,
            registry: &self.registry,
        };
        self.waiting_syncs.take_due(now, view)
    }
}
