//! The in-memory log and its persistence state.

use super::{EntryPayload, Group, LogEntry, LogPosition, Snapshot};
use bytes::Bytes;
use std::collections::BTreeMap;
use types::Revision;

/// The in-memory log, and which part of it is on disk.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    /// The snapshot before `entries`; `None` in a blank member, which then has
    /// no entries either.
    base: Option<Snapshot>,
    /// Consecutive entries, starting right after `base`.
    entries: Vec<LogEntry>,
    /// The group entries among `entries`.
    groups: BTreeMap<Revision, Group>,
    /// All entries up to this index are on disk with the same content.
    durable_index: Revision,
    /// First index that was not yet part of a write.
    first_unwritten: Revision,
    /// The disk may hold stale entries from `first_unwritten` on, which the next
    /// write must truncate.
    truncate_pending: bool,
    /// `base` was not yet part of a write.
    base_write_pending: bool,
    in_flight: Option<WriteInFlight>,
}

/// The part of the outstanding write that still matches the log.
#[derive(Debug, Clone)]
struct WriteInFlight {
    from: Option<Revision>,
    through: Revision,
    snapshot: bool,
}

/// The part of a write that concerns the log.
#[derive(Debug)]
pub(crate) struct LogWrite {
    pub truncate_from: Option<Revision>,
    pub snapshot: Option<Snapshot>,
    pub entries: Vec<LogEntry>,
}

impl Log {
    pub fn new(base: Option<Snapshot>, entries: Vec<LogEntry>) -> Self {
        let mut log = Log {
            base,
            entries: Vec::new(),
            groups: BTreeMap::new(),
            durable_index: Revision(0),
            first_unwritten: Revision(0),
            truncate_pending: false,
            base_write_pending: false,
            in_flight: None,
        };
        for entry in entries {
            log.append(entry);
        }
        log.durable_index = log.last_position().index;
        log.first_unwritten = index_after(log.durable_index);
        log
    }

    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.base.as_ref()
    }

    pub fn base_position(&self) -> LogPosition {
        self.base
            .as_ref()
            .map_or_else(LogPosition::default, |base| base.position)
    }

    pub fn last_position(&self) -> LogPosition {
        self.entries
            .last()
            .map_or_else(|| self.base_position(), LogEntry::position)
    }

    pub fn durable_index(&self) -> Revision {
        self.durable_index
    }

    /// The position of the last entry on disk; the position before the first
    /// entry while a received snapshot is not synced.
    pub fn durable_position(&self) -> LogPosition {
        self.position(self.durable_index).unwrap_or_default()
    }

    /// The position at `index`, unless it is compacted or past the end.
    pub fn position(&self, index: Revision) -> Option<LogPosition> {
        let base = self.base_position();
        if index == base.index {
            return Some(base);
        }
        self.entry(index).map(LogEntry::position)
    }

    pub fn entry(&self, index: Revision) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base_position().index.0 + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Entries from `from` through `to`, up to about `bytes` and at least one.
    pub fn slice(&self, from: Revision, to: Revision, bytes: usize) -> Vec<LogEntry> {
        let mut size = 0;
        (from.0..=to.0)
            .map_while(|index| self.entry(Revision(index)))
            .take_while(|entry| {
                let fits = size == 0 || size + entry.size() <= bytes;
                size += entry.size();
                fits
            })
            .cloned()
            .collect()
    }

    /// The first index of the term that the entry at `index` has.
    pub fn first_of_term_at(&self, index: Revision) -> Option<Revision> {
        let term = self.entry(index)?.term;
        let before = self.entries.partition_point(|entry| entry.term < term);
        self.entries.get(before).map(|entry| entry.index)
    }

    /// The effective group: the last one appended, committed or not.
    pub fn group(&self) -> Option<&Group> {
        self.groups
            .values()
            .next_back()
            .or(self.base.as_ref().map(|base| &base.group))
    }

    /// The effective group at `index`.
    pub fn group_at(&self, index: Revision) -> Option<&Group> {
        self.groups
            .range(..=index)
            .next_back()
            .map(|(_, group)| group)
            .or(self.base.as_ref().map(|base| &base.group))
    }

    /// The index at which the effective group was appended.
    pub fn group_index(&self) -> Revision {
        let last = self.groups.keys().next_back();
        last.copied().unwrap_or(self.base_position().index)
    }

    pub fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, index_after(self.last_position().index));
        if let EntryPayload::Group(group) = &entry.payload {
            self.groups.insert(entry.index, group.clone());
        }
        self.entries.push(entry);
    }

    /// Removes the entries from `from` on, including their groups.
    pub fn truncate(&mut self, from: Revision) {
        let keep = from.0.saturating_sub(self.base_position().index.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.groups.split_off(&from);
        let before = Revision(from.0.saturating_sub(1));
        self.durable_index = self.durable_index.min(before);
        self.first_unwritten = self.first_unwritten.min(from);
        self.truncate_pending = true;
        if let Some(write) = &mut self.in_flight {
            write.through = write.through.min(before);
        }
    }

    /// Replaces the whole log by a snapshot, or only the covered prefix if the
    /// log contains the snapshot's position.
    pub fn install(&mut self, snapshot: Snapshot) {
        if self.position(snapshot.position.index) == Some(snapshot.position) && self.base.is_some()
        {
            return self.replace_prefix(snapshot);
        }
        self.entries.clear();
        self.groups.clear();
        self.durable_index = Revision(0);
        self.first_unwritten = index_after(snapshot.position.index);
        self.truncate_pending = true;
        self.base_write_pending = true;
        self.base = Some(snapshot);
        if let Some(write) = &mut self.in_flight {
            *write = WriteInFlight {
                from: None,
                through: Revision(0),
                snapshot: false,
            };
        }
    }

    /// Replaces the entries through `through` by the state after them.
    pub fn compact(&mut self, through: Revision, state: Bytes) {
        let place = self.position(through).zip(self.group_at(through).cloned());
        if let Some((position, group)) = place {
            self.replace_prefix(Snapshot {
                position,
                group,
                state,
            });
        }
    }

    fn replace_prefix(&mut self, snapshot: Snapshot) {
        let through = snapshot.position.index;
        let count = through.0.saturating_sub(self.base_position().index.0);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        self.entries.drain(..count.min(self.entries.len()));
        self.groups = self.groups.split_off(&index_after(through));
        self.first_unwritten = self.first_unwritten.max(index_after(through));
        self.base = Some(snapshot);
        self.base_write_pending = true;
    }

    /// Starts a write of everything that is not on disk. Must not be called while
    /// a write is outstanding.
    pub fn begin_write(&mut self) -> LogWrite {
        let entries: Vec<LogEntry> = (self.first_unwritten.0..)
            .map_while(|index| self.entry(Revision(index)).cloned())
            .collect();
        let from = (self.truncate_pending || !entries.is_empty()).then_some(self.first_unwritten);
        let snapshot = self.base.clone().filter(|_| self.base_write_pending);
        let covered = snapshot.as_ref().map_or(self.durable_index, |snapshot| {
            self.durable_index.max(snapshot.position.index)
        });
        self.in_flight = Some(WriteInFlight {
            from,
            through: entries.last().map_or(covered, |entry| entry.index),
            snapshot: snapshot.is_some(),
        });
        self.first_unwritten = index_after(self.last_position().index);
        self.truncate_pending = false;
        self.base_write_pending = false;
        LogWrite {
            truncate_from: from,
            snapshot,
            entries,
        }
    }

    /// Whether there are changes that were not yet part of a write.
    pub fn needs_write(&self) -> bool {
        self.truncate_pending
            || self.base_write_pending
            || self.first_unwritten <= self.last_position().index
    }

    pub fn complete_write(&mut self) {
        if let Some(write) = self.in_flight.take() {
            self.durable_index = self.durable_index.max(write.through);
        }
    }

    /// Marks the content of the failed write as unwritten, so that the next write
    /// includes it again.
    pub fn fail_write(&mut self) {
        if let Some(write) = self.in_flight.take() {
            if let Some(from) = write.from {
                self.first_unwritten = self
                    .first_unwritten
                    .min(from)
                    .max(index_after(self.base_position().index));
                self.truncate_pending = true;
            }
            self.base_write_pending |= write.snapshot;
        }
    }
}

/// The next log index.
pub(crate) fn index_after(index: Revision) -> Revision {
    Revision(index.0 + 1)
}
