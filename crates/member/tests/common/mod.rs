//! A leader's registry with one service, on a simulated clock in milliseconds.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use member::{Publication, Registry, Settings};
use types::{
    ClassLoad, ClassLoads, Connections, HostName, ServiceId, Slots, Target, Term,
    UpstreamAnnouncement, UpstreamId, UpstreamMember, UpstreamState,
};

pub const SERVICE: ServiceId = ServiceId(1);

/// Target slots of each upstream.
pub const CARRY: u32 = 8;

pub fn host(n: u64) -> HostName {
    format!("host-{n}").parse().unwrap()
}

fn loads(slots: u32, in_flight: u32, queued: u32) -> ClassLoads {
    let load = ClassLoad {
        slots: Slots(slots),
        in_flight: Slots(in_flight),
        queued: Slots(queued),
    };
    BTreeMap::from([("default".parse().unwrap(), load)])
}

/// Announcement of upstream `n`, idle and ready since one minute.
pub fn announcement(n: u64) -> UpstreamAnnouncement {
    let port = u16::try_from(n).unwrap();
    UpstreamAnnouncement {
        id: UpstreamId(n),
        service: "badges".parse().unwrap(),
        data_centre: "dar-1".parse().unwrap(),
        data_address: ([127, 0, 0, 1], port).into(),
        peer_address: ([127, 0, 0, 2], port).into(),
        state: UpstreamState::Ready,
        connections: Connections(0),
        loads: loads(CARRY, 0, 0),
        ready_for: Duration::from_mins(1),
    }
}

pub fn in_state(n: u64, state: UpstreamState) -> UpstreamAnnouncement {
    UpstreamAnnouncement {
        state,
        ..announcement(n)
    }
}

/// Announcement of upstream `n` with the given slots and requests in flight and
/// queued.
pub fn with_load(n: u64, slots: u32, in_flight: u32, queued: u32) -> UpstreamAnnouncement {
    let loads = loads(slots, in_flight, queued);
    UpstreamAnnouncement {
        loads,
        ..announcement(n)
    }
}

pub fn newly_ready(n: u64) -> UpstreamAnnouncement {
    let ready_for = Duration::ZERO;
    UpstreamAnnouncement {
        ready_for,
        ..announcement(n)
    }
}

pub struct Leader {
    pub registry: Registry,
    start: Instant,
    /// Milliseconds since the start of the leadership.
    pub now: u64,
}

impl Leader {
    pub fn new() -> Self {
        let start = Instant::now();
        let mut registry = Registry::new(Settings::default(), start, Term(4));
        let target = Target {
            carry: Slots(CARRY),
            ..Target::default()
        };
        let targets = BTreeMap::from([("default".parse().unwrap(), target)]);
        registry.set_service(SERVICE, &"badges".parse().unwrap(), &targets);
        Leader {
            registry,
            start,
            now: 0,
        }
    }

    /// A leader whose first publication has the upstreams `1..=n` at full share.
    pub fn with_warm_upstreams(n: u64) -> Self {
        let mut leader = Leader::new();
        leader.run(3000, &(1..=n).map(announcement).collect::<Vec<_>>());
        leader
    }

    pub fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    pub fn announce(&mut self, announcement: &UpstreamAnnouncement) {
        let now = self.at(self.now);
        self.registry
            .announce(now, &host(announcement.id.0), announcement);
    }

    pub fn tick(&mut self) -> Option<Publication> {
        self.registry.tick(self.at(self.now))
    }

    /// Advances the clock in steps of 500 ms, with these announcements at each
    /// step. Returns the published versions.
    pub fn run(&mut self, millis: u64, announcements: &[UpstreamAnnouncement]) -> Vec<Publication> {
        let mut published = Vec::new();
        for _ in 0..millis / 500 {
            self.now += 500;
            for announcement in announcements {
                self.announce(announcement);
            }
            published.extend(self.tick());
        }
        published
    }

    pub fn members(&self) -> &BTreeMap<UpstreamId, UpstreamMember> {
        self.registry.members(SERVICE)
    }

    /// Share of upstream `n`; `None` if it is not listed.
    pub fn share(&self, n: u64) -> Option<u32> {
        Some(self.members().get(&UpstreamId(n))?.share.0)
    }

    pub fn shares(&self) -> Vec<u32> {
        self.members().values().map(|m| m.share.0).collect()
    }
}
