//! What an agent gets from its upstream: datagrams and changes of its state.

use std::{net::SocketAddrV4, time::Instant};

use bytes::Bytes;
use flow::{FlowTuple, UpstreamAction, UpstreamStatus};

use super::{Agent, UpstreamChange, UpstreamUpdate};
use crate::{Codec, Message};

impl<C: Codec> Agent<C> {
    pub(super) async fn apply_upstream_update(&mut self, update: UpstreamUpdate) {
        let now = Instant::now();
        let before = self.flow_table.upstream().copied();
        let was_complete = self.flow_table.is_complete(now);
        match update.change {
            UpstreamChange::Runs(status) => self.flow_table.set_upstream(Some(status)),
            UpstreamChange::Ends => self.flow_table.set_upstream(None),
            UpstreamChange::Absent => self.flow_table.record_absence(now),
        }
        let after = self.flow_table.upstream().copied();
        let is_complete = self.flow_table.is_complete(now);
        let state =
            |upstream: Option<UpstreamStatus>| upstream.map(|u| (u.incarnation, u.accepting));
        if state(before) != state(after) || was_complete != is_complete {
            log::info!(
                event = "upstream",
                incarnation = after.and_then(|u| u.incarnation).unwrap_or(0),
                accepting = u64::from(after.is_some_and(|u| u.accepting)),
                slots = after.map_or(0, |u| u.slots.0),
                complete = u64::from(is_complete),
                unverified = self.flow_table.unverified_flows();
                "incarnation or readiness of the upstream changed"
            );
            self.send_due_reports(now).await;
        }
        // The receiver may have been dropped.
        let _ = update.applied.send(());
    }

    pub(super) async fn handle_upstream_datagram(&mut self, datagram: &mut [u8]) {
        let now = Instant::now();
        let Some(seg) = self.codec.parse(datagram) else {
            self.metrics
                .dropped_datagrams
                .with_label_values(&["malformed"])
                .inc();
            return;
        };
        let action = self.flow_table.upstream_datagram(&seg, now);
        if let Some(time) = self.flow_table.take_first_byte_time() {
            self.metrics.first_byte.observe(time.as_secs_f64());
        }
        match action {
            UpstreamAction::ToCaller { learned } => {
                let key = seg.key_from_upstream();
                if learned {
                    self.handle_learned_flow(key).await;
                }
                self.metrics
                    .sent_datagrams
                    .with_label_values(&["caller"])
                    .inc();
                let to = SocketAddrV4::new(*seg.destination.ip(), self.cfg.caller_port);
                // The network may lose the datagram too, so a failed send is ignored.
                let _ = self.caller_socket.send_to(datagram, to).await;
                self.serve_waiting_openings(now).await;
            }
            UpstreamAction::PassOn => {
                let key = seg.key_from_caller();
                self.codec.clear_bounce(datagram);
                log::info!(event = "bounced", flow:% = key; "upstream returned the opening datagram of a new flow");
                let payload = Bytes::copy_from_slice(datagram);
                self.forward_bounced_opening(&seg, payload, now).await;
            }
            UpstreamAction::NotHeld => {
                let key = seg.key_from_caller();
                log::info!(event = "not_held", flow:% = key; "upstream returned a datagram that was delivered on trial; it does not hold the flow");
                if let Some(via) = self.tried_flow_balancers.remove(&key) {
                    self.codec.clear_bounce(datagram);
                    self.send_not_held(via, Bytes::copy_from_slice(datagram))
                        .await;
                }
            }
            UpstreamAction::Reset => self.reset_flow(&seg, "upstream_lost_flow").await,
            UpstreamAction::Drop => {}
        }
    }

    /// Reports to the balancer that sent a datagram on trial that the flow is held
    /// here.
    async fn handle_learned_flow(&mut self, key: FlowTuple) {
        self.metrics
            .flow_events
            .with_label_values(&["learned"])
            .inc();
        log::info!(event = "learned", flow:% = key; "upstream holds a flow that was not in the flow table");
        if let Some(via) = self.tried_flow_balancers.remove(&key) {
            self.send_flow_taken(key, via).await;
        }
    }

    pub(super) async fn send_flow_taken(&self, key: FlowTuple, via: SocketAddrV4) {
        let service = self.cfg.service.clone();
        self.send_message(via, &Message::FlowTaken { key, service })
            .await;
    }
}
