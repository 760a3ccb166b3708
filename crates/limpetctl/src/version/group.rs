//! The control group.

use std::net::SocketAddr;

use serde::Serialize;
use types::MemberId;
use wire::request::GroupReport;

use crate::process::{Report, table};

/// The control group.
#[derive(Debug, Serialize)]
pub struct GroupView {
    pub leader: String,
    pub term: u64,
    pub members: Vec<MemberView>,
}

/// A member of the control group.
#[derive(Debug, Serialize)]
pub struct MemberView {
    pub id: String,
    pub address: SocketAddr,
    /// `voter` or `learner`.
    pub part: &'static str,
    pub leader: bool,
    pub caught_up: bool,
}

impl From<&GroupReport> for GroupView {
    fn from(group: &GroupReport) -> Self {
        let member = |part| {
            move |(id, address): (&MemberId, &SocketAddr)| MemberView {
                id: id.to_string(),
                address: *address,
                part,
                leader: *id == group.leader,
                caught_up: group.caught_up.contains(id),
            }
        };
        let voters = group.voters.iter().map(member("voter"));
        let learners = group.learners.iter().map(member("learner"));
        GroupView {
            leader: group.leader.to_string(),
            term: group.term.0,
            members: voters.chain(learners).collect(),
        }
    }
}

impl Report for GroupView {
    fn text(&self) -> String {
        let head = ["MEMBER", "ADDRESS", "PART", "LEADER", "CAUGHT UP"];
        let flag = |set| if set { "yes" } else { "no" }.to_owned();
        table(
            &head,
            self.members.iter().map(|m| {
                [
                    m.id.clone(),
                    m.address.to_string(),
                    m.part.to_owned(),
                    flag(m.leader),
                    flag(m.caught_up),
                ]
            }),
        )
    }
}
