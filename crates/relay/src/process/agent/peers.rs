//! Messages of balancers and other agents to an agent.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use flow::{Claim, Segment};
use types::{RequestTargets, UpstreamId};

use super::{Agent, CallerDatagram};
use crate::{Callers, Codec, Message, Performance, QueriedFlows, ServiceTag};

impl<C: Codec> Agent<C> {
    pub(super) async fn handle_peer_datagram(&mut self, datagram: &[u8], from: SocketAddrV4) {
        let now = Instant::now();
        let message = match wire::decode(datagram) {
            Ok(message) => message,
            Err(e) => {
                log::debug!(event = "bad_message", from:% = from, error:% = e; "dropping a datagram that is not a valid message of a node");
                self.metrics
                    .dropped_datagrams
                    .with_label_values(&["malformed"])
                    .inc();
                return;
            }
        };
        match message {
            Message::Datagram {
                tag,
                origin,
                via,
                declined_by,
                payload,
            } => {
                let targets = RequestTargets::default();
                let arrival = CallerDatagram {
                    origin,
                    via,
                    declined_by,
                    targets,
                    arrived_at: now,
                    payload,
                };
                self.handle_forwarded_datagram(tag, arrival, now).await;
            }
            Message::Opening {
                tag,
                origin,
                via,
                declined_by,
                targets,
                waited_ms,
                payload,
            } => {
                let waited = Duration::from_millis(waited_ms);
                let arrival = CallerDatagram {
                    origin,
                    via,
                    declined_by,
                    targets,
                    arrived_at: now.checked_sub(waited).unwrap_or(now),
                    payload,
                };
                self.handle_forwarded_datagram(tag, arrival, now).await;
            }
            Message::ClaimQuery { tag, header } => {
                self.handle_claim_query(tag, &header, from, now).await;
            }
            Message::ClaimQueries {
                tag,
                service,
                flows,
            } => {
                self.handle_claim_queries(tag, service, &flows, from, now)
                    .await;
            }
            Message::Report(report) if report.service == self.cfg.service => {
                self.pool.apply_report(from, report.candidate(now));
                self.serve_waiting_openings(now).await;
            }
            Message::Performance(Performance {
                incarnation,
                service_time,
                share,
            }) => {
                let id = UpstreamId(incarnation);
                self.pool.apply_performance(from, id, service_time, share);
            }
            Message::Report(_)
            | Message::NotHeld { .. }
            | Message::Claim { .. }
            | Message::Claims { .. }
            | Message::FlowTaken { .. }
            | Message::HeldFlows { .. } => {
                self.metrics
                    .dropped_datagrams
                    .with_label_values(&["not_for_agents"])
                    .inc();
            }
            message @ (Message::KeepFlows(_)
            | Message::FlowsKept { .. }
            | Message::KeptFlowsQuery { .. }
            | Message::KeptFlows(_)
            | Message::TrialRequest { .. }
            | Message::TrialAnswer { .. }) => self.handle_restart_message(message, from, now).await,
        }
    }

    async fn handle_forwarded_datagram(
        &mut self,
        tag: ServiceTag,
        arrival: CallerDatagram,
        now: Instant,
    ) {
        if tag == self.tag {
            return self.handle_caller_datagram(arrival, now).await;
        }
        // The address belonged to an agent of another service before.
        self.metrics
            .dropped_datagrams
            .with_label_values(&["other_service"])
            .inc();
        self.send_not_held(arrival.via, arrival.payload).await;
    }

    async fn handle_claim_query(
        &mut self,
        tag: ServiceTag,
        header: &[u8],
        from: SocketAddrV4,
        now: Instant,
    ) {
        let Some(seg) = self.codec.parse(header) else {
            return;
        };
        let key = seg.key_from_caller();
        if let Some(claim) = self.claim(tag, &seg, now) {
            self.send_message(from, &Message::Claim { key, claim })
                .await;
        }
    }

    async fn handle_claim_queries(
        &mut self,
        tag: ServiceTag,
        service: SocketAddrV4,
        flows: &QueriedFlows,
        from: SocketAddrV4,
        now: Instant,
    ) {
        let [mut holds, mut perhaps, mut no] = [(); 3].map(|()| Callers::default());
        for flow in &flows.0 {
            let callers = match self.claim(tag, &flow.segment(service), now) {
                Some(Claim::Holds) => &mut holds,
                Some(Claim::Perhaps) => &mut perhaps,
                Some(Claim::No) => &mut no,
                None => continue,
            };
            callers.0.push(flow.caller);
        }
        let claims = Message::Claims {
            service,
            holds,
            perhaps,
            no,
        };
        self.send_message(from, &claims).await;
    }

    /// The claim for the flow of a datagram, unless it is not known yet: the list of the
    /// former process may name the flow, and the balancer asks again.
    fn claim(&self, tag: ServiceTag, seg: &Segment, now: Instant) -> Option<Claim> {
        if tag != self.tag {
            return Some(Claim::No);
        }
        let claim = self.flow_table.claim(&seg.key_from_caller(), seg, now);
        (claim != Claim::Perhaps || !self.restart.is_recovering()).then_some(claim)
    }
}
