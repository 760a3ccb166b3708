//! The lists that a node keeps for agents that have stopped.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{FlowListId, FlowListPart};

/// Limits of [`KeptFlowLists`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeptFlowListsSettings {
    /// How long a list is kept: as long as a restarted agent may accept flows that it
    /// does not know.
    pub retention: Duration,
    /// Maximum number of flows in all lists. A record takes 64 bytes in memory, so they
    /// take at most 2.6 MB.
    pub max_flows: usize,
    /// Maximum number of lists.
    pub max_lists: usize,
}

impl Default for KeptFlowListsSettings {
    fn default() -> Self {
        KeptFlowListsSettings {
            retention: Duration::from_mins(1),
            max_flows: 40_000,
            max_lists: 256,
        }
    }
}

/// The lists that a node keeps, by the address of their agent.
#[derive(Debug, Default)]
pub struct KeptFlowLists {
    settings: KeptFlowListsSettings,
    lists: BTreeMap<SocketAddrV4, KeptList>,
}

#[derive(Debug)]
struct KeptList {
    /// The latest list of which all parts have arrived.
    whole: Option<PartialList>,
    /// A list of which parts are missing.
    incoming: Option<PartialList>,
    stored_at: Instant,
    /// Incarnation of the first process that followed the owner of the latest list.
    successor: Option<u64>,
    /// Owner of a list that another owner's list has replaced. Late copies of its parts
    /// are rejected.
    retired_owner: Option<u64>,
}

#[derive(Debug)]
struct PartialList {
    id: FlowListId,
    parts: BTreeMap<u16, FlowListPart>,
}

impl PartialList {
    fn is_whole(&self) -> bool {
        let first = self.parts.values().next();
        first.is_some_and(|part| self.parts.len() == usize::from(part.parts))
    }

    fn flow_count(&self) -> usize {
        self.parts.values().map(|part| part.flows.len()).sum()
    }
}

impl KeptFlowLists {
    /// No lists yet.
    #[must_use]
    pub fn new(settings: KeptFlowListsSettings) -> Self {
        KeptFlowLists {
            settings,
            lists: BTreeMap::new(),
        }
    }

    /// Stores a part of the list of `agent`. Returns whether it is stored, which the
    /// agent must be told.
    pub fn store(&mut self, agent: SocketAddrV4, part: FlowListPart, now: Instant) -> bool {
        let has_room = self.flow_count() + part.flows.len() <= self.settings.max_flows
            && (self.lists.contains_key(&agent) || self.lists.len() < self.settings.max_lists);
        if !part.is_valid() || !has_room {
            return false;
        }
        let list = self.lists.entry(agent).or_insert(KeptList {
            whole: None,
            incoming: None,
            stored_at: now,
            successor: None,
            retired_owner: None,
        });
        list.store(part, now)
    }

    /// Records that a process with this incarnation runs at the address of `agent`.
    pub fn observe_run(&mut self, agent: SocketAddrV4, incarnation: u64) {
        if let Some(list) = self.lists.get_mut(&agent) {
            list.observe_run(incarnation);
        }
    }

    /// A part of the list of `agent` for the process `successor` at its address. For
    /// any but the first process after the owner, the list is not complete: an earlier
    /// one may have accepted flows and failed.
    pub fn part(
        &mut self,
        agent: SocketAddrV4,
        successor: u64,
        index: u16,
    ) -> Option<FlowListPart> {
        let list = self.lists.get_mut(&agent)?;
        list.observe_run(successor);
        let is_first = list.successor == Some(successor);
        let stored = list.whole.as_ref().or(list.incoming.as_ref())?;
        let part = stored.parts.get(&index)?.clone();
        Some(FlowListPart {
            complete: part.complete && is_first,
            ..part
        })
    }

    /// Removes lists that were kept for long enough.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.settings.retention;
        self.lists
            .retain(|_, list| now < list.stored_at + retention);
    }

    /// Number of flows in all lists.
    #[must_use]
    pub fn flow_count(&self) -> usize {
        let lists = self.lists.values();
        let lists = lists.flat_map(|list| [&list.whole, &list.incoming]);
        lists.flatten().map(PartialList::flow_count).sum()
    }
}

impl KeptList {
    fn latest_owner(&self) -> Option<u64> {
        let latest = self.incoming.as_ref().or(self.whole.as_ref());
        latest.map(|list| list.id.owner)
    }

    fn observe_run(&mut self, incarnation: u64) {
        let owner = self.latest_owner();
        if owner != Some(incarnation) && self.retired_owner != Some(incarnation) {
            self.successor.get_or_insert(incarnation);
        }
    }

    fn store(&mut self, part: FlowListPart, now: Instant) -> bool {
        if self.retired_owner == Some(part.id.owner) {
            return false;
        }
        if let Some(owner) = self.latest_owner()
            && owner != part.id.owner
        {
            // The next process at the address stops; what it hands over is newer.
            *self = KeptList {
                whole: None,
                incoming: None,
                stored_at: now,
                successor: None,
                retired_owner: Some(owner),
            };
        }
        self.stored_at = now;
        if let Some(whole) = &self.whole
            && part.id <= whole.id
        {
            return part.id == whole.id;
        }
        let incoming = self.incoming.get_or_insert_with(|| PartialList {
            id: part.id,
            parts: BTreeMap::new(),
        });
        if part.id < incoming.id {
            return false;
        }
        if part.id > incoming.id {
            incoming.id = part.id;
            incoming.parts.clear();
        }
        incoming.parts.insert(part.index, part);
        if incoming.is_whole() {
            self.whole = self.incoming.take();
        }
        true
    }
}
