//! How a started node fetches the records of its previous process.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::NodeRecord;

/// Interval after which a control host that has not sent all parts is asked again:
/// several round trips within a region.
const RESEND_INTERVAL: Duration = Duration::from_millis(80);

/// The fetch ends after this time, with what has arrived: callers have given up the
/// requests of before, and later processes replace the records.
const TIMEOUT: Duration = Duration::from_secs(10);

/// The fetch does not end earlier, even if all control hosts that were asked have
/// answered: others may have started at the same time and join late.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Maximum number of control hosts that are asked.
const MAX_HOSTS: usize = 4;

/// The fetch of the records of the previous process from control hosts.
#[derive(Debug)]
pub struct RecordFetch {
    started_at: Instant,
    hosts: BTreeMap<SocketAddrV4, HostProgress>,
}

#[derive(Debug, Default)]
struct HostProgress {
    received: BTreeSet<u16>,
    asked_at: Option<Instant>,
    is_done: bool,
}

impl RecordFetch {
    /// A fetch that has asked no control host yet.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        RecordFetch {
            started_at: now,
            hosts: BTreeMap::new(),
        }
    }

    /// The requests to send now: the control hosts with the parts that each has sent.
    pub fn due(
        &mut self,
        hosts: impl IntoIterator<Item = SocketAddrV4>,
        now: Instant,
    ) -> Vec<(SocketAddrV4, Vec<u16>)> {
        for host in hosts {
            if self.hosts.len() < MAX_HOSTS {
                self.hosts.entry(host).or_default();
            }
        }
        let mut due = Vec::new();
        for (address, host) in &mut self.hosts {
            let is_due = host.asked_at.is_none_or(|at| now >= at + RESEND_INTERVAL);
            if !host.is_done && is_due {
                host.asked_at = Some(now);
                due.push((*address, host.received.iter().copied().collect()));
            }
        }
        due
    }

    /// Records a part that a control host keeps. Returns whether it is new.
    pub fn handle_record(&mut self, from: SocketAddrV4, record: &NodeRecord) -> bool {
        let host = self.hosts.get_mut(&from);
        record.is_valid() && host.is_some_and(|host| host.received.insert(record.part))
    }

    /// Records that a control host has no further part.
    pub fn handle_no_more(&mut self, from: SocketAddrV4) {
        if let Some(host) = self.hosts.get_mut(&from) {
            host.is_done = true;
        }
    }

    /// Whether the fetch has ended, so that records of this process may replace those
    /// of the previous one.
    #[must_use]
    pub fn has_ended(&self, now: Instant) -> bool {
        let all_done = !self.hosts.is_empty() && self.hosts.values().all(|host| host.is_done);
        let is_settled = now >= self.started_at + SETTLE_TIME;
        (all_done && is_settled) || now >= self.started_at + TIMEOUT
    }
}
