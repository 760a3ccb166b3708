//! Handover of an agent's flows at a planned stop, and their recovery after the start.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use directory::{NodeRole, ViewChanges};
use flow::{
    FlowListId, FlowListPart, FlowListRecovery, FlowListRecoverySettings, FlowListTransfer,
    FlowListTransferSettings, KeeperCandidates, KeeperNode, KeeperRole, KeptFlowLists,
    KeptFlowListsSettings, TrialArbiter, TrialArbiterSettings,
};

use super::{Agent, millis};
use crate::{Codec, Message};

/// When a stopping agent sends a second list, which has what has changed since the
/// first one. It leaves 0.4 s of the agent's drain time for the transfer.
const SECOND_LIST_DELAY: Duration = Duration::from_millis(1100);

/// State of an agent for planned restarts, its own and those of others.
pub(super) struct RestartState {
    /// The nodes that may keep the list of this agent.
    candidates: KeeperCandidates,
    /// Lists of other agents.
    kept: KeptFlowLists,
    /// The fetch of the list of the previous process, until it ends.
    recovery: Option<FlowListRecovery>,
    /// The list that is sent to keepers while this process stops.
    transfer: Option<FlowListTransfer>,
    /// Grants trials of flows to balancers.
    trial_arbiter: TrialArbiter,
    round: u32,
    second_list_at: Option<Instant>,
    started_at: Instant,
}

impl RestartState {
    pub fn new(now: Instant) -> Self {
        RestartState {
            candidates: KeeperCandidates::default(),
            kept: KeptFlowLists::new(KeptFlowListsSettings::default()),
            recovery: Some(FlowListRecovery::new(
                FlowListRecoverySettings::default(),
                now,
            )),
            transfer: None,
            trial_arbiter: TrialArbiter::new(TrialArbiterSettings::default(), now),
            round: 0,
            second_list_at: None,
            started_at: now,
        }
    }

    /// Whether the list of the previous process is still being fetched.
    pub fn is_recovering(&self) -> bool {
        self.recovery.is_some()
    }

    pub fn set_directory_complete(&mut self) {
        if let Some(recovery) = &mut self.recovery {
            recovery.set_directory_complete();
        }
    }

    pub fn expire(&mut self, now: Instant) {
        self.kept.expire(now);
        self.trial_arbiter.expire(now);
    }

    fn apply_node_changes(&mut self, changes: &ViewChanges) {
        for node in &changes.removed {
            self.candidates.remove(node.address);
        }
        for node in &changes.changed {
            let role = match node.role {
                NodeRole::Agent(_) => KeeperRole::Agent,
                NodeRole::Balancer => KeeperRole::Balancer,
                NodeRole::Control { .. } | NodeRole::Observer => continue,
            };
            if role == KeeperRole::Agent {
                self.kept.observe_run(node.address, node.incarnation);
            }
            let keeper = KeeperNode {
                role,
                data_centre: node.data_centre.clone(),
                leaving: node.leaving,
            };
            self.candidates.insert(node.address, keeper);
        }
    }
}

impl<C: Codec> Agent<C> {
    /// Applies changes of the nodes that may keep lists. New ones are asked for the list
    /// of the previous process, and take the place of keepers that stop.
    pub(super) async fn apply_keeper_changes(&mut self, changes: &ViewChanges, now: Instant) {
        self.restart.apply_node_changes(changes);
        let (agent, data_centre) = (self.cfg.peer_address, &self.cfg.data_centre);
        let candidates = &self.restart.candidates;
        if let Some(recovery) = &mut self.restart.recovery {
            let asked = candidates.asked(agent, data_centre).into_iter();
            recovery.add_nodes(asked.map(|(node, _)| node));
        }
        if let Some(transfer) = &mut self.restart.transfer {
            transfer.add_keepers(candidates.keepers(agent, data_centre));
        }
        self.advance_transfer(now).await;
        self.advance_recovery(now).await;
    }

    /// Starts to send the list of flows to keepers. The agent accepts no new flows any
    /// more, so no flow is missing in the list.
    pub(super) async fn start_handover(&mut self, now: Instant) {
        self.restart.second_list_at = Some(now + SECOND_LIST_DELAY);
        self.send_flow_list(now).await;
    }

    async fn send_flow_list(&mut self, now: Instant) {
        let flows = self.flow_table.records(now);
        let complete = self.flow_table.is_complete(now) && !self.restart.is_recovering();
        let id = FlowListId {
            owner: self.cfg.incarnation,
            round: self.restart.round,
        };
        self.restart.round += 1;
        let upstream = self.flow_table.flows_incarnation();
        let candidates = &self.restart.candidates;
        let keepers = candidates.keepers(self.cfg.peer_address, &self.cfg.data_centre);
        log::info!(
            event = "list_sent", flows = flows.len(), complete = u64::from(complete),
            keepers = keepers.len(), round = id.round; "sending the list of flows to its keepers"
        );
        let parts = FlowListPart::divide(id, complete, upstream, &flows);
        let settings = FlowListTransferSettings::default();
        self.restart.transfer = Some(FlowListTransfer::new(settings, id, parts, keepers));
        self.advance_transfer(now).await;
    }

    async fn advance_transfer(&mut self, now: Instant) {
        let Some(transfer) = &mut self.restart.transfer else {
            return;
        };
        let due = transfer.due(now).into_iter();
        let due: Vec<(SocketAddrV4, FlowListPart)> =
            due.map(|(keeper, part)| (keeper, part.clone())).collect();
        for (keeper, part) in due {
            self.send_message(keeper, &Message::KeepFlows(part)).await;
        }
    }

    /// Sends what is due of a handover or a recovery.
    pub(super) async fn advance_restart(&mut self, now: Instant) {
        // A large first list is not replaced before it is stored.
        let is_sent = |transfer: &FlowListTransfer| transfer.finished_keepers() > 0;
        if self.restart.second_list_at.is_some_and(|at| now >= at)
            && self.restart.transfer.as_ref().is_some_and(is_sent)
        {
            self.restart.second_list_at = None;
            self.send_flow_list(now).await;
        }
        self.advance_transfer(now).await;
        self.advance_recovery(now).await;
    }

    async fn advance_recovery(&mut self, now: Instant) {
        let Some(recovery) = &mut self.restart.recovery else {
            return;
        };
        if let Some(recovered) = recovery.result(now) {
            let took = now.saturating_duration_since(self.restart.started_at);
            log::info!(
                event = "list_recovered", flows = recovered.flows.len(),
                complete = u64::from(recovered.complete), took_ms = millis(took);
                "ended the recovery of the previous process's list of flows"
            );
            self.restart.recovery = None;
            let was_planned = recovered.was_planned;
            self.restart.trial_arbiter.begin(was_planned, now);
            self.flow_table.restore(recovered, now);
            return;
        }
        let incarnation = self.cfg.incarnation;
        for (keeper, index) in recovery.due(now) {
            let query = Message::KeptFlowsQuery { incarnation, index };
            self.send_message(keeper, &query).await;
        }
    }

    /// Handles a message about a list of flows or a trial; others are not for agents.
    pub(super) async fn handle_restart_message(
        &mut self,
        message: Message,
        from: SocketAddrV4,
        now: Instant,
    ) {
        match message {
            Message::KeepFlows(part) => {
                let (id, index) = (part.id, part.index);
                if self.restart.kept.store(from, part, now) {
                    self.send_message(from, &Message::FlowsKept { id, index })
                        .await;
                }
            }
            Message::FlowsKept { id, index } => {
                if let Some(transfer) = &mut self.restart.transfer {
                    transfer.acknowledge(from, id, index);
                    self.advance_transfer(now).await;
                }
            }
            Message::KeptFlowsQuery { incarnation, index } => {
                let part = self.restart.kept.part(from, incarnation, index);
                self.send_message(from, &Message::KeptFlows(part)).await;
            }
            Message::KeptFlows(part) => {
                if let Some(recovery) = &mut self.restart.recovery {
                    match part {
                        Some(part) => recovery.handle_part(from, part, now),
                        None => recovery.handle_nothing(from),
                    }
                    self.advance_recovery(now).await;
                }
            }
            Message::TrialRequest { key } => {
                let granted = self.restart.trial_arbiter.grant(key, now);
                self.send_message(from, &Message::TrialAnswer { key, granted })
                    .await;
            }
            _ => {
                self.metrics
                    .dropped_datagrams
                    .with_label_values(&["not_for_agents"])
                    .inc();
            }
        }
    }
}
