//! What a balancer learns from control hosts: routes, policy and agents.

use std::time::Instant;

use directory::{Node, NodeRole, ViewChanges};
use flow::{AdmittedShare, AgentStatus, Load};
use types::{ServiceName, Slots, UpstreamId};

use super::{Balancer, ControlUpdate};
use crate::Codec;

impl<C: Codec> Balancer<C> {
    pub(super) async fn apply_update(&mut self, update: ControlUpdate) {
        match update {
            ControlUpdate::Nodes(changes) => self.apply_node_changes(changes, Instant::now()),
            ControlUpdate::NodeListComplete(until) => {
                self.steering.set_directory_complete_until(until);
                let queries = self.steering.resume_searches(Instant::now());
                self.send_search_queries(queries).await;
            }
            ControlUpdate::Policy(policy) => {
                log::info!(
                    event = "policy_applied", revision:% = policy.revision,
                    evacuated = policy.evacuated.len(); "applying a newer placement policy"
                );
                self.steering.set_evacuated(policy.evacuated);
            }
            // A balancer has no records.
            ControlUpdate::Record(_) | ControlUpdate::RecordsFetched => {}
            ControlUpdate::Routes(delta) => {
                let (number, changed) = (delta.number, delta.changed.len());
                let applied = self.steering.routes_mut().apply(delta);
                log::info!(
                    event = "routes", set = number.0, changed = changed,
                    applied = u64::from(applied); "received a newer routing set"
                );
            }
        }
        self.update_readiness();
    }

    fn apply_node_changes(&mut self, changes: ViewChanges, now: Instant) {
        for node in changes.changed {
            if let NodeRole::Agent(service) = node.role.clone() {
                self.add_listed_agent(&node, &service, now);
            }
        }
        for node in changes.removed {
            if let NodeRole::Agent(_) = node.role {
                self.listed_agents.remove(&node.address);
            }
        }
    }

    fn add_listed_agent(&mut self, node: &Node, service: &ServiceName, now: Instant) {
        self.listed_agents.insert(node.address);
        self.kept_flow_lists
            .observe_run(node.address, node.incarnation);
        let pool = self.steering.pool(service);
        let former = pool.get(node.address).map(|known| known.id);
        if former.is_some_and(|id| id != UpstreamId(node.incarnation)) {
            // The new process may be of an earlier version.
            self.steering.set_batching(node.address, false);
        }
        let pool = self.steering.pool(service);
        match pool.get_mut(node.address) {
            Some(known) if known.id == UpstreamId(node.incarnation) => {
                known.accepting &= !node.leaving;
            }
            _ => pool.insert(
                node.address,
                AgentStatus {
                    id: UpstreamId(node.incarnation),
                    data_centre: node.data_centre.clone(),
                    slots: Slots(1),
                    // It is eligible for flows once it has sent a report.
                    accepting: false,
                    load: Load::default(),
                    service_time: None,
                    share: AdmittedShare::default(),
                    reported_at: now,
                    placed_since_report: 0,
                },
            ),
        }
    }

    pub(super) fn update_readiness(&mut self) {
        let ready = self.steering.can_place(Instant::now());
        self.ready.send_if_modified(|known| {
            let changed = *known != ready;
            if changed {
                log::info!(event = "ready", ready = u64::from(ready); "readiness of the balancer changed");
            }
            *known = ready;
            changed
        });
    }
}
