//! The order in which the control hosts are asked.

use std::{
    collections::{BTreeSet, VecDeque},
    net::SocketAddr,
    time::Instant,
};

/// One round over the control hosts, in which each is asked at most once.
///
/// A host that still names a dead leader therefore cannot keep the others
/// from being asked.
pub(super) struct Round {
    waiting: VecDeque<SocketAddr>,
    asked: BTreeSet<SocketAddr>,
}

impl Round {
    /// Starts a round with the leader that was named last, if any.
    pub(super) fn new(hint: Option<SocketAddr>, control: &[SocketAddr]) -> Self {
        Round {
            waiting: hint.into_iter().chain(control.iter().copied()).collect(),
            asked: BTreeSet::new(),
        }
    }

    /// Has `leader` asked next, unless it was asked in this round.
    pub(super) fn prefer(&mut self, leader: Option<SocketAddr>) {
        self.waiting.extend(leader);
        self.waiting.rotate_right(usize::from(leader.is_some()));
    }

    /// The next host to ask, while there is time.
    pub(super) fn next_before(&mut self, deadline: Instant) -> Option<SocketAddr> {
        if Instant::now() >= deadline {
            return None;
        }
        while let Some(host) = self.waiting.pop_front() {
            if self.asked.insert(host) {
                return Some(host);
            }
        }
        None
    }
}
