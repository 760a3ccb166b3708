//! Forming the first group.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use consensus::Group;
use directory::{ControlMessage, NodeRole};
use types::MemberId;

use super::NodeTask;
use crate::process::group::GroupCommand;

impl NodeTask {
    /// Hands the first group to the member beside this task; one that knows a
    /// group already ignores it.
    pub(super) fn form(&self, members: &[(MemberId, Ipv4Addr)]) {
        let Some(member) = &self.member else {
            return;
        };
        if members.iter().all(|(id, _)| *id != member.id) || member.standing.borrow().formed {
            return;
        }
        log::info!(event = "forming", voters = members.len(); "joining the first group");
        let port = self.cfg.member_port;
        let group = Group::from_voters(
            members
                .iter()
                .map(|(id, ip)| (*id, SocketAddrV4::new(*ip, port).into())),
        );
        // A full queue is made up for by the next call to form.
        let _ = member.group.try_send(GroupCommand::Form(group));
    }

    /// Forms the first group of the blank hosts that have said hello, unless
    /// there is one already. It is told again until all its members know it.
    pub(super) async fn form_first(&mut self, now: Instant) {
        if self.form_at.is_none_or(|at| now < at) {
            return;
        }
        let port = self.cfg.node_port;
        let controls = self
            .directory
            .nodes()
            .filter_map(|(node, _)| match node.role {
                NodeRole::Control { member, formed, .. } => Some((member, node.ip(), formed)),
                _ => None,
            });
        let controls: Vec<_> = controls.collect();
        let group = match &self.first_group {
            Some(group) => group.clone(),
            None if controls.is_empty() => return,
            None if controls.iter().any(|(_, _, formed)| *formed) => {
                self.form_at = None;
                return;
            }
            None => controls.iter().map(|(id, ip, _)| (*id, *ip)).collect(),
        };
        let waiting = |(id, _): &&(MemberId, Ipv4Addr)| {
            controls
                .iter()
                .any(|(other, _, formed)| other == id && !formed)
        };
        let late: Vec<Ipv4Addr> = group.iter().filter(waiting).map(|(_, ip)| *ip).collect();
        if late.is_empty() {
            self.form_at = None;
        }
        self.form(&group);
        let message = ControlMessage::FormGroup(group.clone());
        for ip in late {
            self.send(SocketAddrV4::new(ip, port), &message).await;
        }
        self.first_group = Some(group);
    }
}
