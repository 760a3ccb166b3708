//! The parts of a version of the configuration and membership that the agent
//! uses.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use hedge::CandidateState;
use types::{
    ClassName, DataCentre, HostName, ServiceName, ServiceState, Share, Slots, Target, UpstreamId,
    UpstreamState,
};
use wire::Update;

/// The agent of another upstream of the same service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Data centre of the peer.
    pub data_centre: DataCentre,
    /// Address on which the peer accepts requests.
    pub address: SocketAddr,
}

/// The agent's view of one version.
#[derive(Debug, Clone, Default)]
pub struct VersionView {
    /// State of the agent's service; `None` while it is not configured.
    pub service: Option<ServiceState>,
    /// Addresses on which the balancers accept packets to callers.
    pub balancers: BTreeSet<SocketAddr>,
    /// Whether an operator requested to drain the upstream.
    pub drain_requested: bool,
}

impl VersionView {
    /// Applies an update.
    pub fn apply(&mut self, update: &Update, name: &ServiceName, host: &HostName) {
        let known_id = self.service.as_ref().map(|state| state.service.id);
        let removed = known_id.is_some_and(|id| update.removed_services.contains(&id));
        if update.is_snapshot || removed {
            self.service = None;
        }
        if let Some(state) = update.services.iter().find(|s| s.service.name == *name) {
            self.service = Some(state.clone());
        }
        self.balancers = update
            .balancers
            .values()
            .map(|balancer| balancer.return_address)
            .collect();
        self.drain_requested = update.draining_hosts.contains(host);
    }

    /// Targets of the service. A class that this upstream does not serve has no
    /// slots, so its requests are handed off.
    #[must_use]
    pub fn targets(&self, served_classes: &BTreeSet<ClassName>) -> BTreeMap<ClassName, Target> {
        let Some(state) = &self.service else {
            return BTreeMap::new();
        };
        let mut targets = state.service.targets.clone();
        if !served_classes.is_empty() {
            for (class, target) in &mut targets {
                if !served_classes.contains(class) {
                    target.carry = Slots(0);
                }
            }
        }
        targets
    }

    /// Whether the other upstreams of the service may get hedges.
    ///
    /// Until the last step of its ramp, an upstream has at most half of a full
    /// share. One that is just as far below it because of its load gets no hedges
    /// either. A control host from before members stated evacuations lists evacuated
    /// upstreams as leaving, which excludes them too.
    #[must_use]
    pub fn hedge_states(&self, own_id: UpstreamId) -> BTreeMap<UpstreamId, CandidateState> {
        let members = self.service.iter().flat_map(|state| &state.members);
        members
            .filter(|(id, _)| **id != own_id)
            .map(|(&id, member)| {
                let state = match member.state {
                    _ if member.evacuated => CandidateState::Evacuated,
                    UpstreamState::Ready if member.share.0 * 2 > Share::FULL.0 => {
                        CandidateState::Warm
                    }
                    UpstreamState::Ready => CandidateState::Cold,
                    UpstreamState::Leaving | UpstreamState::Down => CandidateState::Draining,
                };
                (id, state)
            })
            .collect()
    }

    /// The agents of the other upstreams of the service.
    #[must_use]
    pub fn peers(&self, own_id: UpstreamId) -> BTreeMap<UpstreamId, Peer> {
        let members = self.service.iter().flat_map(|state| &state.members);
        members
            .filter(|(id, _)| **id != own_id)
            .map(|(&id, member)| {
                let peer = Peer {
                    data_centre: member.data_centre.clone(),
                    address: member.peer_address,
                };
                (id, peer)
            })
            .collect()
    }
}
