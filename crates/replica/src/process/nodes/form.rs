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
    /// Passes the first group to the local member, which ignores it if it already
    /// has a group.
    pub(super) fn bootstrap_group(&self, members: &[(MemberId, Ipv4Addr)]) {
        let Some(member) = &self.member else {
            return;
        };
        if members.iter().all(|(id, _)| *id != member.id)
            || member.membership_status.borrow().formed
        {
            return;
        }
        log::info!(event = "forming", voters = members.len(); "joining the first group");
        let port = self.cfg.member_port;
        let group = Group::from_voters(
            members
                .iter()
                .map(|(id, ip)| (*id, SocketAddrV4::new(*ip, port).into())),
        );
        // Dropped if the queue is full; the group is sent again until it is
        // formed.
        let _ = member.group.try_send(GroupCommand::Bootstrap(group));
    }

    /// Forms the first group from the blank hosts in the directory, unless a group
    /// exists. The group is sent repeatedly until all its members have formed it.
    pub(super) async fn form_first_group(&mut self, now: Instant) {
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
        let uninformed: Vec<Ipv4Addr> = group.iter().filter(waiting).map(|(_, ip)| *ip).collect();
        if uninformed.is_empty() {
            self.form_at = None;
        }
        self.bootstrap_group(&group);
        let message = ControlMessage::FormGroup(group.clone());
        for ip in uninformed {
            self.send(SocketAddrV4::new(ip, port), &message).await;
        }
        self.first_group = Some(group);
    }
}
