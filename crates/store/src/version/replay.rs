//! Replay of the records into what a member had on disk.

use super::Item;
use consensus::{LogEntry, RestoredState, Snapshot};
use std::collections::BTreeMap;
use types::{MemberId, Revision, Term};

/// What the records add up to.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub term: Term,
    pub vote: Option<MemberId>,
    entries: BTreeMap<Revision, LogEntry>,
    /// A snapshot that is known to have been put in place.
    snapshot: Option<Revision>,
}

impl Replay {
    pub fn take(&mut self, item: Item) {
        match item {
            Item::Vote(term, vote) => (self.term, self.vote) = (term, vote),
            Item::Truncate(from) => {
                self.entries.split_off(&from);
            }
            Item::Snapshot(index) => self.snapshot = self.snapshot.max(Some(index)),
            Item::Entry(entry) => {
                self.entries.split_off(&entry.index);
                self.entries.insert(entry.index, entry);
            }
        }
    }

    /// What is on disk, unless the snapshot or an entry after it is missing.
    pub fn finish(mut self, snapshot: Option<Snapshot>) -> Option<RestoredState> {
        let found = snapshot.as_ref().map(|snapshot| snapshot.position.index);
        if found < self.snapshot {
            return None;
        }
        let base = found.unwrap_or_default();
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
