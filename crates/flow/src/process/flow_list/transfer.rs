//! The list of a stopping agent on its way to the keepers.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{FlowListId, FlowListPart, KeeperRole};
use crate::RateLimiter;

/// Intervals and limits of a [`FlowListTransfer`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowListTransferSettings {
    /// A part that is not acknowledged within this time is sent again: several round
    /// trips within a region.
    pub resend_interval: Duration,
    /// Maximum number of parts on their way to one keeper.
    pub window: usize,
    /// Maximum rate of parts to an agent: 2,000 flows take 0.4 s.
    pub parts_per_second_to_agent: u32,
    /// Maximum rate of parts to a balancer, about 50 KB/s: a fifth of the slowest link
    /// of a balancer, 2 Mbit/s.
    pub parts_per_second_to_balancer: u32,
}

impl Default for FlowListTransferSettings {
    fn default() -> Self {
        FlowListTransferSettings {
            resend_interval: Duration::from_millis(100),
            window: 4,
            parts_per_second_to_agent: 200,
            parts_per_second_to_balancer: 40,
        }
    }
}

/// The parts of a list that are sent to the keepers and acknowledged by them.
#[derive(Debug)]
pub struct FlowListTransfer {
    settings: FlowListTransferSettings,
    id: FlowListId,
    parts: Vec<FlowListPart>,
    keepers: BTreeMap<SocketAddrV4, KeeperProgress>,
}

/// Maximum number of keepers of one list, when keepers stop while the list is sent and
/// others take their place.
const MAX_KEEPERS: usize = 8;

#[derive(Debug)]
struct KeeperProgress {
    limiter: RateLimiter,
    /// Parts that are not acknowledged, with the time of the last copy sent.
    pending: BTreeMap<u16, Option<Instant>>,
}

impl FlowListTransfer {
    /// A transfer of all parts of a list to the keepers.
    #[must_use]
    pub fn new(
        settings: FlowListTransferSettings,
        id: FlowListId,
        parts: Vec<FlowListPart>,
        keepers: Vec<(SocketAddrV4, KeeperRole)>,
    ) -> Self {
        let mut transfer = FlowListTransfer {
            settings,
            id,
            keepers: BTreeMap::new(),
            parts,
        };
        transfer.add_keepers(keepers);
        transfer
    }

    /// Sends the list to these keepers too.
    pub fn add_keepers(&mut self, keepers: Vec<(SocketAddrV4, KeeperRole)>) {
        for (address, role) in keepers {
            if self.keepers.len() >= MAX_KEEPERS {
                return;
            }
            let rate = match role {
                KeeperRole::Agent => self.settings.parts_per_second_to_agent,
                KeeperRole::Balancer => self.settings.parts_per_second_to_balancer,
            };
            let parts = self.parts.iter();
            self.keepers
                .entry(address)
                .or_insert_with(|| KeeperProgress {
                    limiter: RateLimiter::new(rate),
                    pending: parts.map(|part| (part.index, None)).collect(),
                });
        }
    }

    /// The parts to send now, with their keepers.
    pub fn due(&mut self, now: Instant) -> Vec<(SocketAddrV4, &FlowListPart)> {
        let settings = self.settings;
        let mut due = Vec::new();
        for (address, keeper) in &mut self.keepers {
            for (index, sent_at) in keeper.pending.iter_mut().take(settings.window) {
                let is_due = sent_at.is_none_or(|at| now >= at + settings.resend_interval);
                if is_due && keeper.limiter.try_acquire(1, now) {
                    *sent_at = Some(now);
                    due.extend(self.parts.get(usize::from(*index)).map(|p| (*address, p)));
                }
            }
        }
        due
    }

    /// Records that a keeper has stored a part.
    pub fn acknowledge(&mut self, keeper: SocketAddrV4, id: FlowListId, index: u16) {
        if id != self.id {
            return;
        }
        if let Some(progress) = self.keepers.get_mut(&keeper) {
            progress.pending.remove(&index);
        }
    }

    /// Number of keepers that have stored the whole list.
    #[must_use]
    pub fn finished_keepers(&self) -> usize {
        let finished = |keeper: &&KeeperProgress| keeper.pending.is_empty();
        self.keepers.values().filter(finished).count()
    }

    /// Whether all keepers have stored the whole list.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        self.finished_keepers() == self.keepers.len()
    }
}
