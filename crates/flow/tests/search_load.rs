//! Searches for many flows after a restart, over a slow link in simulated time.

mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use bytes::Bytes;
use common::{address, ready_with, service_address};
use flow::{
    BatchTarget, Claim, FlowQuery, FlowTuple, QueryBatches, Segment, Steering, SteeringDecision,
    SteeringSettings,
};

const AGENTS: u8 = 52;
const FLOWS: u16 = 400;
/// 3.8 Mbit/s.
const LINK_BYTES_PER_S: u64 = 475_000;
const ROUND_TRIP: Duration = Duration::from_millis(4);
/// When the caller of a flow sends its datagram again.
const RETRANSMISSIONS_MS: [u64; 3] = [0, 200, 600];

/// A restarted balancer, its link and the agents, which hold no flow.
struct Simulation {
    steering: Steering,
    batches: QueryBatches<FlowTuple>,
    link_free_at: Instant,
    replies: BTreeMap<(Instant, u64), (SocketAddrV4, Vec<FlowTuple>)>,
    sent_messages: u64,
    sent_bytes: u64,
    settled: BTreeSet<Bytes>,
}

fn datagram(n: u16) -> (Segment, Bytes) {
    let seg = Segment {
        source: SocketAddrV4::new([100, 64, 0, 1].into(), 10_000 + n),
        destination: service_address(),
        acknowledges: true,
        ..Segment::default()
    };
    (seg, Bytes::copy_from_slice(&n.to_be_bytes()))
}

impl Simulation {
    fn send(&mut self, agent: SocketAddrV4, flows: Vec<FlowTuple>, now: Instant) {
        // As in relay/tests/messages.rs, with the headers of the packet.
        let bytes = match flows.len() as u64 {
            1 => 76,
            count => 28 + 37 + 11 * count,
        };
        self.sent_bytes += bytes;
        self.sent_messages += 1;
        let transmission = Duration::from_micros(bytes * 1_000_000 / LINK_BYTES_PER_S);
        self.link_free_at = self.link_free_at.max(now) + transmission;
        let reply = (self.link_free_at + ROUND_TRIP, self.sent_messages);
        self.replies.insert(reply, (agent, flows));
    }

    fn query(&mut self, queries: Vec<FlowQuery>, now: Instant) {
        let mut batches: BTreeMap<BatchTarget, Vec<FlowTuple>> = BTreeMap::new();
        for FlowQuery { payload, agents } in queries {
            let n = u16::from_be_bytes([payload[0], payload[1]]);
            let key = datagram(n).0.key_from_caller();
            for (agent, service) in agents {
                if self.steering.is_batching(agent) {
                    let address = key.service;
                    let target = BatchTarget {
                        agent,
                        service,
                        address,
                    };
                    batches.entry(target).or_default().push(key);
                } else {
                    self.send(agent, vec![key], now);
                }
            }
        }
        for (target, keys) in batches {
            for (target, keys) in self.batches.push(&target, keys, now) {
                self.send(target.agent, keys, now);
            }
        }
    }

    /// Number of flows that are reset within a second, and bytes of queries.
    fn run(batching: bool) -> (usize, u64) {
        let settings = SteeringSettings {
            max_queries_per_second: u32::try_from(LINK_BYTES_PER_S / 10 / 72).unwrap(),
            ..SteeringSettings::default()
        };
        let (steering, start) = ready_with(settings, AGENTS);
        let mut simulation = Simulation {
            steering,
            batches: QueryBatches::default(),
            link_free_at: start,
            replies: BTreeMap::new(),
            sent_messages: 0,
            sent_bytes: 0,
            settled: BTreeSet::new(),
        };
        let steering = &mut simulation.steering;
        steering.set_directory_complete_until(start + Duration::from_secs(9));
        for n in 1..=AGENTS {
            steering.set_batching(address(n), batching);
        }
        for ms in 0..1000 {
            simulation.step(ms, start + Duration::from_millis(ms));
        }
        (simulation.settled.len(), simulation.sent_bytes)
    }

    fn step(&mut self, ms: u64, now: Instant) {
        for n in 0..FLOWS {
            let (seg, payload) = datagram(n);
            let sent_at = RETRANSMISSIONS_MS.map(|at| at + u64::from(n) % 200);
            if !sent_at.contains(&ms) || self.settled.contains(&payload) {
                continue;
            }
            if let SteeringDecision::Query(agents) = self.steering.steer(&seg, &payload, now) {
                self.query(vec![FlowQuery { payload, agents }], now);
            }
        }
        while let Some(reply) = self.replies.first_entry().filter(|e| e.key().0 <= now) {
            let (agent, flows) = reply.remove();
            for key in flows {
                self.steering.handle_claim(key, agent, Claim::No, now);
            }
        }
        for (target, keys) in self.batches.take_due(now) {
            self.send(target.agent, keys, now);
        }
        if ms.is_multiple_of(250) || self.steering.next_deadline().is_some_and(|at| at <= now) {
            let ended = self.steering.end_searches(now);
            self.settled.extend(ended.lost_flows);
            self.query(ended.queries, now);
        }
    }
}

/// Guards against callers that wait for their deadline because flows that no agent holds
/// are reset late, and against searches that take more of the link.
#[test]
fn many_lost_flows_are_reset_within_a_second() {
    let (before, bytes_before) = Simulation::run(false);
    let (after, bytes_after) = Simulation::run(true);
    println!("single queries: {before} flows reset, {bytes_before} bytes of queries");
    println!("queries for many flows: {after} flows reset, {bytes_after} bytes of queries");
    // A flow among 40 takes a sixth of the bytes; half of that is left for small groups.
    assert!(after >= 3 * before && bytes_after <= bytes_before);
}
