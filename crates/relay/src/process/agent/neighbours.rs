//! Messages of an agent to balancers and other agents, and its view of them.

use std::time::{Duration, Instant};

use directory::{NodeRole, ViewChanges};
use flow::AgentPool;
use types::{ServiceLimits, UpstreamId};

use super::Agent;
use crate::{AgentReport, Codec, Handover, Message, Performance};

/// Interval between removals of expired state.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of flows that a handover lists, which take a few datagrams. The
/// balancer searches for the others when they are used.
const MAX_HANDOVER_FLOWS: usize = 200;

/// Flows in one message, so that it fits in a packet.
pub(super) const KEYS_PER_MESSAGE: usize = 40;

impl<C: Codec> Agent<C> {
    /// Sends a report of the state and load to the recipients for which it is due.
    pub(super) async fn send_due_reports(&mut self, now: Instant) {
        // What waits here and goes before new flows counts as load.
        let pace = self.flow_table.pace();
        let waiting = self.opening_queue.waiting_in_time(pace, now) + self.request_queue.len();
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let (slots, load) = self.flow_table.reported_load(waiting, now);
        let accepting = self.accepts_flows(now);
        let share = self.flow_table.admitted_share(now);
        let recipients = self.report_schedule.take_due((slots, load, accepting), now);
        if !recipients.is_empty() {
            self.metrics
                .busy_requests
                .set(i64::from(load.busy_requests));
        }
        let report = Message::Report(AgentReport {
            incarnation: self.cfg.incarnation,
            data_centre: self.cfg.data_centre.clone(),
            service: self.cfg.service.clone(),
            slots,
            accepting,
            load,
        });
        for recipient in recipients {
            self.send_message(recipient, &report).await;
        }
        // After the reports, because a receiver knows the agent by them.
        let service_time = self.flow_table.service_time();
        let performance = Message::Performance(Performance {
            incarnation: self.cfg.incarnation,
            service_time,
            share,
        });
        let recipients = self
            .report_schedule
            .take_due_performance((service_time, share), now);
        for recipient in recipients {
            self.send_message(recipient, &performance).await;
        }
    }

    /// Applies changes of balancers and other agents in the directory.
    pub(super) async fn apply_node_changes(&mut self, changes: ViewChanges) {
        let now = Instant::now();
        self.apply_keeper_changes(&changes, now).await;
        for handover in self.balancers.apply(&changes) {
            self.send_handover(&handover).await;
        }
        for node in changes.removed {
            self.report_schedule.remove(node.address);
            self.pool.remove(node.address);
        }
        // The first list of nodes follows the policy of the same control host, if it has
        // one.
        if !self.flow_table.has_limits() {
            self.set_limits(ServiceLimits::default(), now).await;
        }
        for node in changes.changed {
            let is_recipient = match &node.role {
                NodeRole::Balancer => true,
                NodeRole::Agent(service) => *service == self.cfg.service,
                NodeRole::Control { .. } | NodeRole::Observer => false,
            };
            if !is_recipient || node.address == self.cfg.peer_address {
                continue;
            }
            let same_data_centre = node.data_centre == self.cfg.data_centre;
            self.report_schedule.insert(node.address, same_data_centre);
            let leaving = node.leaving;
            if let Some(known) = self.pool.get_mut(node.address) {
                known.accepting &= !leaving || known.id != UpstreamId(node.incarnation);
            }
        }
    }

    /// Sends balancers the flows that are held here, so that they need not search.
    async fn send_handover(&self, handover: &Handover) {
        let keys = self
            .flow_table
            .flows_via(|via| handover.from.contains(&via), MAX_HANDOVER_FLOWS);
        if keys.is_empty() {
            return;
        }
        self.metrics
            .flow_events
            .with_label_values(&["handed_over"])
            .inc_by(keys.len() as u64);
        for balancer in &handover.to {
            log::info!(
                event = "handed_over", to:% = balancer, flows = keys.len();
                "sending a balancer the list of flows that are held here"
            );
            for chunk in keys.chunks(KEYS_PER_MESSAGE) {
                let message = Message::HeldFlows {
                    service: self.cfg.service.clone(),
                    keys: chunk.to_vec(),
                };
                self.send_message(*balancer, &message).await;
            }
        }
    }

    /// Removes expired state once per `EXPIRY_INTERVAL`.
    pub(super) fn expire_state(&mut self, now: Instant) {
        if now < self.next_expiry_at {
            return;
        }
        self.next_expiry_at = now + EXPIRY_INTERVAL;
        self.flow_table.expire(now);
        self.restart.expire(now);
        let linger = self.cfg.flow_table.linger_timeout;
        self.opening_routes
            .retain(|_, route| now < route.delivered_at + linger);
        let flow_table = &self.flow_table;
        self.tried_flow_balancers
            .retain(|key, _| flow_table.is_tried(key));
        self.pool
            .retain(|_, agent| AgentPool::has_recent_report(agent, now));
        let flows = self.flow_table.load(now).open_flows;
        self.metrics.known_flows.set(i64::from(flows));
    }
}
