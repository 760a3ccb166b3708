//! The order in which the control hosts are tried.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Instant,
};

/// One round over the control hosts, in which each is tried at most once.
///
/// A host that keeps redirecting to a failed leader therefore cannot prevent the
/// others from being tried.
pub(super) struct HostRound {
    queue: VecDeque<SocketAddr>,
    tried: BTreeSet<SocketAddr>,
}

impl HostRound {
    /// Starts a round with the last known leader, if any.
    pub(super) fn new(last_leader: Option<SocketAddr>, hosts: &[SocketAddr]) -> Self {
        HostRound {
            queue: last_leader
                .into_iter()
                .chain(hosts.iter().copied())
                .collect(),
            tried: BTreeSet::new(),
        }
    }

    /// Tries `leader` next, unless it was already tried in this round.
    pub(super) fn prefer(&mut self, leader: Option<SocketAddr>) {
        self.queue.extend(leader);
        self.queue.rotate_right(usize::from(leader.is_some()));
    }

    /// The next host to try; `None` after the last one or after the deadline.
    pub(super) fn next_before(&mut self, deadline: Instant) -> Option<SocketAddr> {
        if Instant::now() >= deadline {
            return None;
        }
        while let Some(host) = self.queue.pop_front() {
            if self.tried.insert(host) {
                return Some(host);
            }
        }
        None
    }
}
