//! What an agent tells balancers and other agents, and knows of them.

use std::time::{Duration, Instant};

use directory::{NodeRole, ViewChanges};
use flow::AgentPool;
use types::UpstreamId;

use super::Agent;
use crate::{AgentReport, Codec, Handover, Message};

/// Pause between two rounds of forgetting what is over.
const EXPIRE: Duration = Duration::from_secs(1);

/// Flows of which a balancer is told at most: a few datagrams. It searches for
/// the others when they are used.
const MAX_TOLD: usize = 200;

/// Flows in one message, so that it fits a packet.
const KEYS: usize = 40;

impl<C: Codec> Agent<C> {
    /// Tells balancers and other agents the load, if it is due.
    pub(super) async fn report(&mut self, now: Instant) {
        let load = self.holder.load(now);
        let accepting = self.accepts(now);
        let listeners = self.audience.due(load, accepting, now);
        if listeners.is_empty() {
            return;
        }
        self.metrics.busy.set(i64::from(load.busy_requests));
        let report = Message::Report(AgentReport {
            run: self.cfg.run,
            data_centre: self.cfg.data_centre.clone(),
            service: self.cfg.service.clone(),
            slots: self.holder.slots(now),
            accepting,
            load,
        });
        for listener in listeners {
            self.tell(listener, &report).await;
        }
    }

    /// Takes over what the directory says of balancers and other agents.
    pub(super) async fn nodes_changed(&mut self, changes: ViewChanges) {
        for handover in self.balancers.handovers(&changes) {
            self.hand_over(&handover).await;
        }
        for node in changes.removed {
            self.audience.remove(node.address);
            self.pool.remove(node.address);
        }
        for node in changes.changed {
            let listens = match &node.role {
                NodeRole::Balancer => true,
                NodeRole::Agent(service) => *service == self.cfg.service,
                NodeRole::Control { .. } | NodeRole::Observer => false,
            };
            if !listens || node.address == self.cfg.peer_address {
                continue;
            }
            let near = node.data_centre == self.cfg.data_centre;
            self.audience.insert(node.address, near);
            let leaving = node.leaving;
            if let Some(known) = self.pool.get_mut(node.address) {
                known.accepting &= !leaving || known.id != UpstreamId(node.incarnation);
            }
        }
    }

    /// Tells balancers which flows are held here, so that they need not search.
    async fn hand_over(&self, handover: &Handover) {
        let keys = self
            .holder
            .flows_via(|via| handover.from.contains(&via), MAX_TOLD);
        if keys.is_empty() {
            return;
        }
        self.metrics
            .flows
            .with_label_values(&["handed_over"])
            .inc_by(keys.len() as u64);
        for balancer in &handover.to {
            log::info!(
                event = "handed_over", to:% = balancer, flows = keys.len();
                "telling a balancer which flows are held here"
            );
            for piece in keys.chunks(KEYS) {
                let message = Message::Holds {
                    service: self.cfg.service.clone(),
                    keys: piece.to_vec(),
                };
                self.tell(*balancer, &message).await;
            }
        }
    }

    /// Forgets what is over, if it is due.
    pub(super) fn expire(&mut self, now: Instant) {
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + EXPIRE;
        self.holder.expire(now);
        let linger = self.cfg.holder.linger_timeout;
        self.openings.retain(|_, opening| now < opening.at + linger);
        let holder = &self.holder;
        self.tried_by.retain(|key, _| holder.is_tried(key));
        self.pool
            .retain(|_, agent| AgentPool::has_recent_report(agent, now));
        let flows = self.holder.load(now).open_flows;
        self.metrics.known.set(i64::from(flows));
    }
}
