//! New flows at an agent: delivered to the upstream, forwarded to another agent,
//! queued or refused.

use std::{net::SocketAddrV4, time::Instant};

use bytes::Bytes;
use flow::{Origin, Placement, Segment};
use types::RequestTargets;

use super::{Agent, CallerDatagram, millis};
use crate::{Codec, Message};

/// Agents that a new flow is offered to, one after the other.
const MAX_PLACEMENT_ATTEMPTS: usize = 3;

/// How an opening datagram reached this agent.
#[derive(Debug)]
pub(super) struct OpeningRoute {
    pub via: SocketAddrV4,
    pub declined_by: Vec<SocketAddrV4>,
    pub targets: RequestTargets,
    pub delivered_at: Instant,
}

impl<C: Codec> Agent<C> {
    /// Forwards an opening datagram to another agent. If none is available, the flow
    /// is served here, or reset if the upstream accepts no flows.
    pub(super) async fn forward_opening(
        &mut self,
        seg: &Segment,
        arrival: CallerDatagram,
        now: Instant,
    ) {
        let accepts_flows = self.accepts_flows(now);
        let Some(arrival) = self.pass_to_peer(seg, arrival, accepts_flows, now).await else {
            return;
        };
        if !accepts_flows {
            return self.reset_flow(seg, "no_agent").await;
        }
        if self.flow_table.free_admissions(now) > 0 {
            self.flow_table.accept_opening(seg, now);
            return self.deliver(seg, arrival, now).await;
        }
        self.queue_opening(seg, arrival, now).await;
    }

    /// Sends an opening datagram to another agent, with a free slot if this one
    /// accepts flows itself, or refuses it if that agent cannot serve it in time. Returns
    /// the datagram if there is no other agent.
    async fn pass_to_peer(
        &mut self,
        seg: &Segment,
        arrival: CallerDatagram,
        needs_free_slot: bool,
        now: Instant,
    ) -> Option<CallerDatagram> {
        let key = seg.key_from_caller();
        let mut declined_by = arrival.declined_by.clone();
        declined_by.push(self.cfg.peer_address);
        let may_forward = declined_by.len() <= MAX_PLACEMENT_ATTEMPTS
            && (!needs_free_slot || self.pool.has_free_slot(&declined_by, now));
        let peer = if may_forward {
            self.pool
                .place(&self.cfg.data_centre, key.stable_hash(), &declined_by, now)
        } else {
            None
        };
        let Some(peer) = peer else {
            return Some(arrival);
        };
        let placement = self.pool.take_placement();
        if !self.can_be_served(seg, &arrival, peer, placement, now) {
            self.reset_flow(seg, "no_slot_in_time").await;
            return None;
        }
        log::info!(
            event = "passed_on", flow:% = key, copy = seg.ack, to:% = peer, full = u64::from(needs_free_slot);
            "forwarding the opening datagram of a new flow to another agent"
        );
        self.send_to_agent(peer, arrival, declined_by).await;
        None
    }

    /// Whether the best agent for a new flow can serve it in time, by its last report. A
    /// copy is never refused for this reason: the agent may have delivered an earlier one.
    fn can_be_served(
        &self,
        seg: &Segment,
        arrival: &CallerDatagram,
        peer: SocketAddrV4,
        placement: Option<Placement>,
        now: Instant,
    ) -> bool {
        if !self.cfg.opening_queue.fair_queueing || seg.ack > 0 {
            return true;
        }
        let service_time = self.pool.get(peer).and_then(|agent| agent.service_time);
        let wait = placement
            .zip(service_time)
            .map(|(placement, service)| placement.expected.saturating_sub(service.duration()));
        let wait = wait.unwrap_or_default();
        let (arrived_at, targets) = (arrival.arrived_at, arrival.targets);
        self.opening_queue
            .can_serve(seg, arrived_at, targets, wait, now)
    }

    /// Sends an opening datagram to another agent, which may decline it.
    async fn send_to_agent(
        &self,
        peer: SocketAddrV4,
        arrival: CallerDatagram,
        declined_by: Vec<SocketAddrV4>,
    ) {
        self.metrics
            .flow_events
            .with_label_values(&["passed_on"])
            .inc();
        let message = Message::Opening {
            tag: self.tag,
            origin: Origin::Passed,
            via: arrival.via,
            declined_by,
            targets: arrival.targets,
            waited_ms: millis(arrival.arrived_at.elapsed()),
            payload: arrival.payload,
        };
        self.send_message(peer, &message).await;
    }

    /// Forwards an opening datagram that the upstream returned to another agent, or
    /// resets its flow. It is not delivered again: the upstream would return it
    /// again.
    pub(super) async fn forward_bounced_opening(
        &mut self,
        seg: &Segment,
        payload: Bytes,
        now: Instant,
    ) {
        let route = self.opening_routes.remove(&seg.key_from_caller());
        let route = route.unwrap_or_else(|| OpeningRoute {
            via: self.cfg.peer_address,
            declined_by: Vec::new(),
            targets: RequestTargets::default(),
            delivered_at: now,
        });
        let arrival = CallerDatagram {
            origin: Origin::Placed,
            via: route.via,
            declined_by: route.declined_by,
            targets: route.targets,
            arrived_at: now,
            payload,
        };
        if self.pass_to_peer(seg, arrival, false, now).await.is_some() {
            self.reset_flow(seg, "bounced").await;
        }
    }

    /// Records that the cold limit holds back an opening, if it does.
    pub(super) fn record_cold_hold(&self, seg: &Segment, now: Instant) {
        if !self.accepts_flows(now) || !self.flow_table.is_held_by_cold_limit(now) {
            return;
        }
        self.metrics
            .flow_events
            .with_label_values(&["cold_held"])
            .inc();
        let next_ms = self.flow_table.next_cold_admission_at(now);
        let next_ms = next_ms.map_or(0, |at| millis(at.saturating_duration_since(now)));
        log::info!(
            event = "cold_held", flow:% = seg.key_from_caller(), copy = seg.ack,
            next_ms = next_ms, waiting = self.opening_queue.len();
            "the cold upstream has got as many new flows as it may; holding back an opening"
        );
    }

    /// When a waiting opening can go to the upstream that the cold limit holds back now.
    pub(super) fn next_cold_admission_at(&self, now: Instant) -> Option<Instant> {
        if self.opening_queue.is_empty() {
            return None;
        }
        self.flow_table.next_cold_admission_at(now)
    }

    /// Keeps a new flow until a slot is free, here or at another agent.
    pub(super) async fn queue_opening(
        &mut self,
        seg: &Segment,
        arrival: CallerDatagram,
        now: Instant,
    ) {
        let key = seg.key_from_caller();
        log::info!(
            event = "queued", flow:% = key, copy = seg.ack, origin:? = arrival.origin,
            waiting = self.opening_queue.len(); "no slot is free; the new flow waits"
        );
        self.metrics
            .flow_events
            .with_label_values(&["queued"])
            .inc();
        if arrival.origin == Origin::Passed {
            // The caller's copies of the datagram come here too.
            self.send_flow_taken(key, arrival.via).await;
        }
        self.opening_queue
            .push(seg, arrival.arrived_at, arrival.targets, arrival);
        self.refuse_hopeless_openings(now).await;
    }

    /// Delivers queued openings while the upstream can be given more flows, forwards
    /// them while another agent has a free slot, and refuses those for which neither
    /// happens in time.
    pub(super) async fn serve_waiting_openings(&mut self, now: Instant) {
        if self.opening_queue.is_empty() {
            return self.serve_waiting(now).await;
        }
        if !self.accepts_flows(now) {
            for arrival in self.opening_queue.take_all() {
                if let Some(seg) = self.codec.parse(&arrival.payload) {
                    self.forward_opening(&seg, arrival, now).await;
                }
            }
            return;
        }
        self.serve_waiting(now).await;
        self.forward_waiting_openings(now).await;
        self.refuse_hopeless_openings(now).await;
    }

    /// Delivers an opening that has waited.
    pub(super) async fn deliver_opening(&mut self, arrival: CallerDatagram, now: Instant) {
        if let Some(seg) = self.codec.parse(&arrival.payload) {
            self.flow_table.accept_opening(&seg, now);
            self.flow_table.set_via(&seg.key_from_caller(), arrival.via);
            self.deliver(&seg, arrival, now).await;
        }
    }

    async fn forward_waiting_openings(&mut self, now: Instant) {
        while self.pool.has_free_slot(&[self.cfg.peer_address], now) {
            let Some((seg, arrival)) = self.pop_opening(now) else {
                return;
            };
            if let Some(arrival) = self.pass_to_peer(&seg, arrival, true, now).await {
                // It was offered to as many agents as a flow may be.
                return self
                    .opening_queue
                    .push(&seg, arrival.arrived_at, arrival.targets, arrival);
            }
        }
    }

    fn pop_opening(&mut self, now: Instant) -> Option<(Segment, CallerDatagram)> {
        let arrival = self.opening_queue.pop(self.flow_table.pace(), now)?;
        let seg = self.codec.parse(&arrival.payload)?;
        Some((seg, arrival))
    }

    async fn refuse_hopeless_openings(&mut self, now: Instant) {
        let pace = self.flow_table.pace();
        let (first_slot_at, interval) = self.flow_table.admission_schedule(now);
        let hopeless = self
            .opening_queue
            .take_hopeless_from(first_slot_at, interval, pace, now);
        for arrival in hopeless {
            if let Some(seg) = self.codec.parse(&arrival.payload) {
                self.reset_flow(&seg, "no_slot_in_time").await;
            }
        }
    }
}
