//! Builders for the requests of nodes and operators.
#![allow(dead_code)]

use std::{collections::BTreeMap, time::Duration};

use types::{
    Change, ChangeId, ChangeRequest, Connections, Revision, Role, Slots, Target, UnixMillis,
    UpstreamAnnouncement, UpstreamId, UpstreamState, Version,
};
use wire::{ServiceSubset, SyncRequest};

pub fn create(service: &str, port: u16) -> Change {
    Change::CreateService {
        name: service.parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
    }
}

pub fn set_target(service: &str, carry: u32) -> Change {
    Change::SetTarget {
        service: service.parse().unwrap(),
        class: "default".parse().unwrap(),
        target: Target {
            carry: Slots(carry),
            ..Target::default()
        },
    }
}

pub fn request(base: Revision, change: Change) -> ChangeRequest {
    ChangeRequest {
        id: ChangeId::generate(),
        author: "mira".parse().unwrap(),
        base,
        change,
    }
}

pub fn apply(state: &mut config::ConfigState, index: u64, change: Change) {
    let req = request(Revision(0), change);
    let at = req.id.created_at().max(UnixMillis(1));
    let answer = state.apply(Revision(index), at, &req);
    assert_eq!(answer, types::Answer::Accepted(Revision(index)));
}

/// A sync request of an agent with an upstream of `service`.
pub fn agent(service: &str, have: Option<Version>) -> SyncRequest {
    SyncRequest {
        host: "app-1".parse().unwrap(),
        role: Role::Agent,
        data_centre: "dar-1".parse().unwrap(),
        applied_version: have,
        subset: ServiceSubset::Named([service.parse().unwrap()].into()),
        max_wait: Duration::from_secs(1),
        upstream: Some(announcement(service)),
        balancer: None,
    }
}

/// A sync request of a balancer, whose subset is every service.
pub fn balancer(have: Option<Version>) -> SyncRequest {
    SyncRequest {
        host: "lb-1".parse().unwrap(),
        role: Role::Balancer,
        subset: ServiceSubset::All,
        upstream: None,
        ..agent("vouchers", have)
    }
}

pub fn announcement(service: &str) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        id: UpstreamId(7),
        service: service.parse().unwrap(),
        data_centre: "dar-1".parse().unwrap(),
        data_address: ([127, 0, 0, 1], 7200).into(),
        peer_address: ([127, 0, 0, 1], 7201).into(),
        state: UpstreamState::Ready,
        connections: Connections(0),
        loads: BTreeMap::new(),
        ready_for: Duration::from_mins(1),
    }
}
