//! Fixtures for the tests of this crate: a balancer, agents and datagrams.
#![allow(dead_code)]

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use bytes::Bytes;
use flow::{
    AdmittedShare, AgentPool, AgentStatus, FlowTable, FlowTableSettings, Load, Segment, Steering,
    SteeringSettings, UpstreamStatus,
};
use twox_hash::XxHash64;
use types::{
    DataCentre, RouteWeight, RoutingDelta, RoutingRule, RoutingSet, RoutingSetNumber, Slots,
    UpstreamId,
};

pub const SERVICE: &str = "vouchers";
pub const NEAR: &str = "near";

/// Address of agent `n`.
pub fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7000)
}

/// An agent that accepts flows and has just reported an idle upstream.
pub fn agent(now: Instant) -> AgentStatus {
    AgentStatus {
        id: UpstreamId(1),
        data_centre: NEAR.parse().unwrap(),
        slots: Slots(4),
        accepting: true,
        load: Load::default(),
        service_time: None,
        share: AdmittedShare::default(),
        reported_at: now,
        placed_since_report: 0,
    }
}

pub fn steering() -> (Steering, Instant) {
    let settings = SteeringSettings::default();
    (
        Steering::new(settings, NEAR.parse().unwrap()),
        Instant::now(),
    )
}

/// Gives the balancer a routing set with one rule, for [`service_address`].
pub fn set_routes(steering: &mut Steering, number: u64) {
    let rule = RoutingRule {
        weights: [(SERVICE.parse().unwrap(), RouteWeight(1))].into(),
        ..RoutingRule::default()
    };
    let set = RoutingSet {
        number: RoutingSetNumber(number),
        rules: [(service_address().into(), rule)].into(),
        ..RoutingSet::default()
    };
    assert!(steering.routes_mut().apply(set.delta_from(None)));
}

/// Removes the rule.
pub fn remove_routes(steering: &mut Steering, number: u64) {
    let delta = RoutingDelta {
        number: RoutingSetNumber(number),
        ..RoutingSet::default().delta_from(None)
    };
    assert!(steering.routes_mut().apply(delta));
}

/// A balancer with routes and agents 1 to `agents`.
pub fn ready(agents: u8) -> (Steering, Instant) {
    ready_with(SteeringSettings::default(), agents)
}

/// The same with these settings.
pub fn ready_with(settings: SteeringSettings, agents: u8) -> (Steering, Instant) {
    let now = Instant::now();
    let mut steering = Steering::new(settings, NEAR.parse().unwrap());
    set_routes(&mut steering, 1);
    for n in 1..=agents {
        let pool = steering.pool(&SERVICE.parse().unwrap());
        pool.insert(address(n), agent(now));
    }
    (steering, now)
}

pub fn service_address() -> SocketAddrV4 {
    "198.18.0.1:443".parse().unwrap()
}

pub fn caller(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, n), 40_000)
}

/// An opening datagram of caller `n`.
pub fn opening(n: u8) -> Segment {
    Segment {
        source: caller(n),
        destination: service_address(),
        seq: 100,
        opens: true,
        ..Segment::default()
    }
}

/// A data datagram of caller `n` that acknowledges `ack`.
pub fn data(n: u8, seq: u32, ack: u32) -> Segment {
    Segment {
        seq,
        ack,
        len: 10,
        opens: false,
        acknowledges: true,
        ..opening(n)
    }
}

/// The upstream's answer to the opening datagram of caller `n`, with its
/// initial sequence number `seq`.
pub fn agreement(n: u8, seq: u32) -> Segment {
    Segment {
        source: service_address(),
        destination: caller(n),
        seq,
        ack: 101,
        opens: true,
        acknowledges: true,
        ..Segment::default()
    }
}

/// Data of the upstream for caller `n`.
pub fn answer(n: u8, seq: u32) -> Segment {
    Segment {
        opens: false,
        len: 10,
        ..agreement(n, seq)
    }
}

/// A datagram that the upstream returns.
pub fn bounced(seg: Segment) -> Segment {
    Segment {
        bounced: true,
        ..seg
    }
}

pub fn payload(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// The flow table of an agent with a ready upstream of 4 slots that started after it.
pub fn flow_table() -> (FlowTable, Instant) {
    let now = Instant::now();
    let mut table = FlowTable::new(FlowTableSettings::default(), now);
    table.record_absence(now);
    table.set_upstream(Some(UpstreamStatus::ready(7, Slots(4))));
    (table, now)
}

/// The agent that the rule before service times were reported chooses.
pub fn requests_per_slot(
    pool: &AgentPool,
    local: &DataCentre,
    hash: u64,
    except: &[SocketAddrV4],
) -> SocketAddrV4 {
    let agents = pool.addresses().filter(|address| !except.contains(address));
    let agents = agents.map(|address| {
        let agent = pool.get(address).unwrap();
        let is_local = agent.data_centre == *local;
        let path = if is_local { 0.0 } else { 0.4 };
        let requests = f64::from(agent.load.busy_requests + agent.placed_since_report);
        let requests = requests + f64::from(agent.load.open_flows) * 0.03;
        let cost = requests / f64::from(agent.slots.0) + path;
        let salt = (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port());
        let preference = XxHash64::oneshot(hash, &salt.to_be_bytes());
        (cost, is_local, preference, address)
    });
    let agents: Vec<_> = agents.collect();
    let least = agents.iter().map(|a| a.0).min_by(f64::total_cmp).unwrap();
    let near = agents.into_iter().filter(|a| a.0 <= least + 0.45);
    near.max_by_key(|a| (a.1, a.2)).unwrap().3
}
