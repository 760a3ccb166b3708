//! Forming the first group.

use std::net::{Ipv4Addr, SocketAddrV4};

use consensus::Group;
use directory::{ControlMessage, FirstGroup, NodeRole};
use types::MemberId;

use super::NodeTask;
use crate::{
    process::{
        formation::{FormationEvent, FormationHandle, FormationInput},
        group::GroupCommand,
    },
    version::HeardHosts,
};

impl NodeTask {
    /// Records the first group that another host has sent.
    pub(super) fn learn_first_group(&mut self, group: FirstGroup) {
        if self.first_group.as_ref() != Some(&group) {
            self.pass_to_formation(FormationInput::Learned(group.clone()));
        }
        self.bootstrap_group(group);
    }

    /// Passes a message of another seed to the formation task. A host without one is no
    /// acceptor, but may know the chosen group.
    pub(super) fn pass_to_formation(&self, input: FormationInput) {
        if let Some(formation) = &self.formation {
            // Dropped if the queue is full; seeds repeat their messages.
            let _ = formation.inputs.try_send(input);
        }
    }

    /// Carries out an event of the formation task.
    pub(super) async fn handle_formation_event(&mut self, event: FormationEvent) {
        let port = self.cfg.node_port;
        match event {
            FormationEvent::Send(to, message) => {
                let from = self.cfg.ip;
                let message = ControlMessage::Formation { from, message };
                self.send(SocketAddrV4::new(to, port), &message).await;
            }
            FormationEvent::Inform(to, group) => {
                let message = ControlMessage::FormGroup(group);
                self.send(SocketAddrV4::new(to, port), &message).await;
            }
            FormationEvent::Chosen(group) => {
                log::info!(event = "first_group", voters = group.0.len(); "the first group is chosen");
                self.bootstrap_group(group);
            }
        }
    }

    /// Passes the first group to the local member, which ignores it if it already has a
    /// group.
    fn bootstrap_group(&mut self, group: FirstGroup) {
        // Only one group is ever chosen.
        let group = &*self.first_group.get_or_insert(group);
        let Some(member) = &self.member else {
            return;
        };
        if !group.contains(member.id) || member.membership_status.borrow().formed {
            return;
        }
        log::info!(event = "forming", voters = group.0.len(); "joining the first group");
        let port = self.cfg.member_port;
        let voters = group.0.iter();
        let group =
            Group::from_voters(voters.map(|(id, ip)| (*id, SocketAddrV4::new(*ip, port).into())));
        // Dropped if the queue is full; the group is sent again until it is formed.
        let _ = member.group.try_send(GroupCommand::Bootstrap(group));
    }

    /// Reports the control hosts to the formation task, and sends the first group, if it
    /// is known, to the members that have not formed it.
    pub(super) async fn form_first_group(&mut self) {
        let mut controls: Vec<(Ipv4Addr, MemberId, bool)> = Vec::new();
        let mut hosts = HeardHosts::default();
        let nodes = self.directory.nodes().map(|(node, _)| node);
        for node in nodes.filter(|node| !node.leaving) {
            match node.role {
                NodeRole::Control { member, formed, .. } => {
                    controls.push((node.ip(), member, formed));
                    hosts.controls.insert(node.ip(), member);
                }
                NodeRole::Observer => {
                    hosts.observers.insert(node.ip());
                }
                NodeRole::Balancer | NodeRole::Agent(_) => {}
            }
        }
        let member = self.member.as_ref();
        self.pass_to_formation(FormationInput::Heard {
            hosts,
            formed: member.is_some_and(|member| member.membership_status.borrow().formed),
        });
        let Some(group) = self.first_group.clone() else {
            return;
        };
        let port = self.cfg.node_port;
        let is_uninformed =
            |(_, id, formed): &&(Ipv4Addr, MemberId, bool)| !formed && group.contains(*id);
        let message = ControlMessage::FormGroup(group.clone());
        for (ip, ..) in controls.iter().filter(is_uninformed) {
            if *ip != self.cfg.ip {
                self.send(SocketAddrV4::new(*ip, port), &message).await;
            }
        }
        self.bootstrap_group(group);
    }
}

/// Waits for an event of the formation task; never returns on a host without one.
pub(super) async fn next_event(formation: &mut Option<FormationHandle>) -> FormationEvent {
    if let Some(formation) = formation
        && let Some(event) = formation.events.recv().await
    {
        return event;
    }
    std::future::pending().await
}
