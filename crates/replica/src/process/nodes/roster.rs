//! Keeping the roster, and learning whether the directory is complete.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use bytes::Bytes;
use directory::{GroupView, Node, NodeRole, ROSTER_PATH, Roster, RosterReply};
use http::{Method, StatusCode};

use super::NodeTask;

/// Timeout for fetching the roster of another member.
const FETCH_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of an encoded roster: room for 160,000 agents at 13 bytes each.
const MAX_ROSTER_BYTES: usize = 2 << 20;

/// The roster of this host, shared with its HTTP interface.
#[derive(Debug)]
pub(crate) struct SharedRoster {
    /// Whether it lists all agents that this host has listed.
    pub vouched: bool,
    /// The members of the group, as this host knows them.
    pub members: Vec<Ipv4Addr>,
    pub roster: Roster,
}

/// The answer of a member to a request for its roster; `None` if there is none yet.
pub(super) type FetchedRoster = (Ipv4Addr, Option<RosterReply>);

impl NodeTask {
    /// Records that an agent was heard, here or at another control host.
    pub(super) fn record_agent(&mut self, node: &Node) {
        if !matches!(node.role, NodeRole::Agent(_)) {
            return;
        }
        self.coverage.record_agent(node.address);
        let is_new = self.roster.borrow_mut().roster.insert(node.address);
        if is_new {
            self.save_roster();
        }
    }

    /// Removes agents whose lease has expired.
    pub(super) fn remove_agents(&mut self, gone: &[Node]) {
        let mut changed = false;
        for node in gone {
            changed |= self.roster.borrow_mut().roster.remove(node.address);
        }
        if changed {
            self.save_roster();
        }
    }

    /// Removes the agents from before the start that were not heard for a lease.
    pub(super) fn remove_unheard_agents(&mut self, now: Instant) {
        if self.restored_roster_until.is_none_or(|until| now < until) {
            return;
        }
        self.restored_roster_until = None;
        let listed = self.directory.nodes().map(|(node, _)| node);
        let listed = listed.filter(|node| matches!(node.role, NodeRole::Agent(_)));
        let roster: Roster = listed.map(|node| node.address).collect();
        if roster != self.roster.borrow().roster {
            self.roster.borrow_mut().roster = roster;
            self.save_roster();
        }
    }

    fn save_roster(&self) {
        if let Some(writer) = &self.roster_writer {
            // The thread only ends with the process.
            let _ = writer.send(self.roster.borrow().roster.clone());
        }
    }

    /// Updates whether this host's directory covers all processes, and notifies nodes
    /// once it does. An observer's never does, since it has no list of the members of
    /// the group.
    pub(super) async fn update_coverage(&mut self, now: Instant) {
        let Some(member) = &self.member else {
            return;
        };
        let status = member.membership_status.borrow().clone();
        let others: Vec<Ipv4Addr> = status.other_members.iter().filter_map(ipv4).collect();
        let group = status.formed.then_some(GroupView {
            others: &others,
            hears_leader: self.local_node.is_current(),
        });
        self.coverage.update(group, now);
        self.remove_unheard_agents(now);
        let is_complete = self.coverage.is_complete(now);
        if is_complete != self.was_complete {
            log::info!(
                event = "directory_complete", complete = u64::from(is_complete);
                "whether the directory lists all processes changed"
            );
        }
        let is_news = is_complete && !self.was_complete;
        self.was_complete = is_complete;
        self.share_roster(&others, now);
        if status.formed {
            self.fetch_missing_rosters(&others, now);
        }
        if is_news {
            self.notify_subscribers(true).await;
        }
    }

    fn share_roster(&self, others: &[Ipv4Addr], now: Instant) {
        let mut shared = self.roster.borrow_mut();
        shared.vouched = self.coverage.vouches_for_roster(now);
        shared.members = others.to_vec();
        shared.members.push(self.cfg.ip);
    }

    fn fetch_missing_rosters(&mut self, others: &[Ipv4Addr], now: Instant) {
        for host in self.coverage.missing_rosters(others, now) {
            if !self.roster_fetches.insert(host) {
                continue;
            }
            let address = SocketAddrV4::new(host, self.cfg.member_port);
            let tx = self.fetched_rosters_tx.clone();
            actix_rt::spawn(async move {
                let reply = fetch_roster(address).await;
                // The receiver is only dropped when the process ends.
                let _ = tx.send((host, reply)).await;
            });
        }
    }

    pub(super) fn handle_fetched_roster(&mut self, (host, reply): FetchedRoster, now: Instant) {
        self.roster_fetches.remove(&host);
        let Some(RosterReply { members, roster }) = reply else {
            // The next update fetches it again.
            return;
        };
        let directory = &self.directory;
        let is_listed = |agent| directory.lists(agent);
        self.coverage
            .record_roster(host, members, &roster, is_listed, now);
    }
}

fn ipv4(address: &SocketAddr) -> Option<Ipv4Addr> {
    match address {
        SocketAddr::V4(address) => Some(*address.ip()),
        SocketAddr::V6(_) => None,
    }
}

async fn fetch_roster(host: SocketAddrV4) -> Option<RosterReply> {
    let response = net::send_request(
        host.into(),
        Method::POST,
        ROSTER_PATH,
        Bytes::new(),
        MAX_ROSTER_BYTES,
        Instant::now() + FETCH_TIMEOUT,
    );
    let failed = match response.await {
        Ok((StatusCode::OK, body)) => match wire::decode(&body) {
            Ok(reply) => return Some(reply),
            Err(e) => e.to_string(),
        },
        Ok((status, _)) => status.to_string(),
        Err(e) => e.to_string(),
    };
    log::debug!(event = "roster_not_fetched", host:% = host, error = failed.as_str(); "cannot fetch the list of agents of a control host");
    None
}
