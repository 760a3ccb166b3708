//! How a started agent fetches the list of the previous process at its address.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use super::{FlowListId, FlowListPart};
use crate::FlowRecord;

/// Intervals and limits of a [`FlowListRecovery`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FlowListRecoverySettings {
    /// A query that is not answered within this time is sent again: several round trips
    /// within a region.
    pub resend_interval: Duration,
    /// Maximum number of parts that are requested at a time. It bounds the burst on the
    /// link of a keeper to about 5 KB.
    pub window: usize,
    /// Once a list has arrived, the answers of the other nodes are awaited for this
    /// long: they may know a later list, or that this one is out of date.
    pub answer_timeout: Duration,
    /// The recovery ends after this time, also without a list. Callers' datagrams of
    /// unknown flows wait until then; the shortest timeout of a request is 1.5 s.
    pub timeout: Duration,
    /// If all known nodes have answered that they keep no list, further nodes are
    /// awaited until this long after the start, unless the directory is complete. A
    /// control host that runs sends its list of nodes within 100 ms; after a crash of all
    /// processes, callers' datagrams wait for the end of the recovery.
    pub directory_timeout: Duration,
    /// If none of the nodes that have answered keeps a list, the others are awaited until
    /// this long after the start. It allows six queries of each; after a crash, some of
    /// the nodes do not run.
    pub silence_timeout: Duration,
}

impl Default for FlowListRecoverySettings {
    fn default() -> Self {
        FlowListRecoverySettings {
            resend_interval: Duration::from_millis(60),
            window: 4,
            answer_timeout: Duration::from_millis(150),
            timeout: Duration::from_millis(1500),
            directory_timeout: Duration::from_millis(250),
            silence_timeout: Duration::from_millis(400),
        }
    }
}

/// What a started agent has recovered.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RecoveredFlows {
    /// The list has all flows that the upstream holds.
    pub complete: bool,
    /// Incarnation of the upstream when the list was made, if its agent knew it.
    pub upstream: Option<u64>,
    /// The flows.
    pub flows: Vec<FlowRecord>,
    /// A node keeps a list, so the previous process was stopped as planned.
    pub was_planned: bool,
}

/// A query for a part of a list.
type PartQuery = (SocketAddrV4, u16);

/// The fetch of the list of the previous process.
#[derive(Debug)]
pub struct FlowListRecovery {
    settings: FlowListRecoverySettings,
    started_at: Instant,
    directory_complete: bool,
    /// The nodes that are asked, with their answer.
    nodes: BTreeMap<SocketAddrV4, NodeAnswer>,
    lists: BTreeMap<FlowListId, FetchedList>,
    /// When the first list was whole.
    fetched_at: Option<Instant>,
    /// When each query was last sent.
    sent: BTreeMap<PartQuery, Instant>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NodeAnswer {
    Missing,
    KeepsNothing,
    Keeps(FlowListId),
}

#[derive(Debug)]
struct FetchedList {
    /// Whether all nodes that keep it say that it is complete.
    complete: bool,
    parts: u16,
    received: BTreeMap<u16, FlowListPart>,
}

impl FetchedList {
    fn is_whole(&self) -> bool {
        self.received.len() == usize::from(self.parts)
    }
}

impl FlowListRecovery {
    /// A recovery that has asked no node yet.
    #[must_use]
    pub fn new(settings: FlowListRecoverySettings, now: Instant) -> Self {
        FlowListRecovery {
            settings,
            started_at: now,
            directory_complete: false,
            nodes: BTreeMap::new(),
            lists: BTreeMap::new(),
            fetched_at: None,
            sent: BTreeMap::new(),
        }
    }

    /// Adds nodes to ask.
    pub fn add_nodes(&mut self, nodes: impl IntoIterator<Item = SocketAddrV4>) {
        for node in nodes {
            self.nodes.entry(node).or_insert(NodeAnswer::Missing);
        }
    }

    /// Records that the directory lists all nodes.
    pub fn set_directory_complete(&mut self) {
        self.directory_complete = true;
    }

    /// The queries to send now.
    pub fn due(&mut self, now: Instant) -> Vec<PartQuery> {
        let mut queries: Vec<PartQuery> = self
            .nodes
            .iter()
            .filter(|(_, answer)| **answer == NodeAnswer::Missing)
            .map(|(node, _)| (*node, 0))
            .collect();
        if let Some((id, list)) = self.best() {
            let keepers = self.nodes.iter();
            let keepers = keepers.filter(|(_, answer)| **answer == NodeAnswer::Keeps(id));
            let keepers: Vec<SocketAddrV4> = keepers.map(|(node, _)| *node).collect();
            let missing = (0..list.parts).filter(|index| !list.received.contains_key(index));
            for index in missing.take(self.settings.window) {
                // A keeper that fails halfway must not end the recovery: each of them
                // is asked in turn.
                let sent = keepers.iter().filter_map(|k| self.sent.get(&(*k, index)));
                let last_sent = sent.max().copied();
                if last_sent.is_some_and(|at| now < at + self.settings.resend_interval) {
                    continue;
                }
                let next = keepers
                    .iter()
                    .min_by_key(|keeper| self.sent.get(&(**keeper, index)));
                queries.extend(next.map(|keeper| (*keeper, index)));
            }
        }
        let interval = self.settings.resend_interval;
        queries.retain(|query| self.sent.get(query).is_none_or(|at| now >= *at + interval));
        for query in &queries {
            self.sent.insert(*query, now);
        }
        queries
    }

    /// Records a part that a node keeps.
    pub fn handle_part(&mut self, node: SocketAddrV4, part: FlowListPart, now: Instant) {
        let Some(answer) = self.nodes.get_mut(&node) else {
            return;
        };
        if !part.is_valid() {
            return;
        }
        *answer = NodeAnswer::Keeps(part.id);
        let list = self.lists.entry(part.id).or_insert(FetchedList {
            complete: true,
            parts: part.parts,
            received: BTreeMap::new(),
        });
        list.complete &= part.complete;
        if part.index < list.parts {
            list.received.insert(part.index, part);
        }
        if list.is_whole() {
            self.fetched_at.get_or_insert(now);
        }
    }

    /// Records that a node keeps no list, or not the requested part.
    pub fn handle_nothing(&mut self, node: SocketAddrV4) {
        if let Some(answer) = self.nodes.get_mut(&node) {
            *answer = NodeAnswer::KeepsNothing;
        }
    }

    /// The list to use: a whole one before one with missing parts, then the latest.
    fn best(&self) -> Option<(FlowListId, &FetchedList)> {
        let lists = self.lists.iter().map(|(id, list)| (*id, list));
        lists.max_by_key(|(id, list)| (list.is_whole(), list.complete, id.round))
    }

    /// The result, once the recovery has ended.
    #[must_use]
    pub fn result(&self, now: Instant) -> Option<RecoveredFlows> {
        let settings = self.settings;
        let all_answered = !self.nodes.values().any(|a| *a == NodeAnswer::Missing);
        let keeps = |answer: &NodeAnswer| matches!(answer, NodeAnswer::Keeps(_));
        let directory_is_known =
            self.directory_complete || now >= self.started_at + settings.directory_timeout;
        let has_ended = match self.fetched_at {
            _ if now >= self.started_at + settings.timeout => true,
            Some(at) => all_answered || now >= at + settings.answer_timeout,
            None => {
                let none_keeps = !self.nodes.values().any(keeps);
                let is_silent = now >= self.started_at + settings.silence_timeout;
                (all_answered || is_silent) && none_keeps && directory_is_known
            }
        };
        has_ended.then(|| self.recovered())
    }

    fn recovered(&self) -> RecoveredFlows {
        let Some((_, list)) = self.best() else {
            return RecoveredFlows::default();
        };
        // Lists of two processes: it is not known which of them ran last.
        let owners = self.lists.keys().map(|id| id.owner);
        let one_owner = owners.clone().min() == owners.max();
        let all_complete = self.lists.values().all(|list| list.complete);
        let parts = list.received.values();
        RecoveredFlows {
            complete: list.is_whole() && one_owner && all_complete,
            upstream: parts.clone().find_map(|part| part.upstream),
            flows: parts.flat_map(|part| part.flows.clone()).collect(),
            was_planned: true,
        }
    }
}
