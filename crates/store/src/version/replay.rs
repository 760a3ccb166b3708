//! Replay of the log records into the state of a member.

use super::RecordItem;
use consensus::{LogEntry, RestoredState, Snapshot};
use std::collections::BTreeMap;
use types::{MemberId, Revision, Term};

/// State that results from the records replayed so far.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub term: Term,
    pub vote: Option<MemberId>,
    entries: BTreeMap<Revision, LogEntry>,
    /// Highest index of a snapshot that the records say is on disk.
    min_snapshot: Option<Revision>,
}

impl Replay {
    pub fn apply(&mut self, item: RecordItem) {
        match item {
            RecordItem::Vote(term, vote) => (self.term, self.vote) = (term, vote),
            RecordItem::Truncate(from) => {
                self.entries.split_off(&from);
            }
            RecordItem::Snapshot(index) => self.min_snapshot = self.min_snapshot.max(Some(index)),
            RecordItem::Entry(entry) => {
                self.entries.split_off(&entry.index);
                self.entries.insert(entry.index, entry);
            }
        }
    }

    /// The state on disk; `None` if the snapshot or an entry after it is missing.
    pub fn into_restored_state(mut self, snapshot: Option<Snapshot>) -> Option<RestoredState> {
        let snapshot_index = snapshot.as_ref().map(|snapshot| snapshot.position.index);
        if snapshot_index < self.min_snapshot {
            return None;
        }
        let base = snapshot_index.unwrap_or_default();
        let entries = self.entries.split_off(&Revision(base.0 + 1));
        let consecutive = entries
            .keys()
            .zip(base.0 + 1..)
            .all(|(index, expected)| index.0 == expected);
        consecutive.then(|| RestoredState {
            term: self.term,
            vote: self.vote,
            snapshot,
            entries: entries.into_values().collect(),
        })
    }
}
