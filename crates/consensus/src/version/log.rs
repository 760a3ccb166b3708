//! The log in memory, and what of it is on disk.

use super::{EntryPayload, Group, LogEntry, LogPosition, Snapshot};
use bytes::Bytes;
use std::collections::BTreeMap;
use types::Revision;

/// The log in memory, and what of it is on disk.
#[derive(Debug)]
pub(crate) struct Log {
    /// `None` in a blank member, which then has no entries either.
    base: Option<Snapshot>,
    /// Consecutive, the first one right after `base`.
    entries: Vec<LogEntry>,
    /// The group entries among `entries`.
    groups: BTreeMap<Revision, Group>,
    /// All entries up to here are on disk as they are here.
    durable: Revision,
    /// Entries from here on have not been handed to the disk.
    unwritten: Revision,
    /// The disk may hold entries from `unwritten` on that must be dropped.
    truncated: bool,
    /// `base` has not been handed to the disk.
    base_unwritten: bool,
    in_flight: Option<InFlight>,
}

/// The outstanding write, as far as it still agrees with the log.
#[derive(Debug)]
struct InFlight {
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
            durable: Revision(0),
            unwritten: Revision(0),
            truncated: false,
            base_unwritten: false,
            in_flight: None,
        };
        for entry in entries {
            log.append(entry);
        }
        log.durable = log.last().index;
        log.unwritten = next(log.durable);
        log
    }

    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.base.as_ref()
    }

    pub fn base(&self) -> LogPosition {
        self.base
            .as_ref()
            .map_or_else(LogPosition::default, |base| base.position)
    }

    pub fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or_else(|| self.base(), LogEntry::position)
    }

    pub fn durable(&self) -> Revision {
        self.durable
    }

    /// The end of the part on disk; the place before the first entry while a
    /// received snapshot is not synced.
    pub fn durable_position(&self) -> LogPosition {
        self.position(self.durable).unwrap_or_default()
    }

    /// The place at `index`, if the log still has it.
    pub fn position(&self, index: Revision) -> Option<LogPosition> {
        let base = self.base();
        if index == base.index {
            return Some(base);
        }
        self.entry(index).map(LogEntry::position)
    }

    pub fn entry(&self, index: Revision) -> Option<&LogEntry> {
        let offset = index.0.checked_sub(self.base().index.0 + 1)?;
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

    /// The group in force: the last one appended, committed or not.
    pub fn group(&self) -> Option<&Group> {
        self.groups
            .values()
            .next_back()
            .or(self.base.as_ref().map(|base| &base.group))
    }

    /// The group in force at `index`.
    pub fn group_at(&self, index: Revision) -> Option<&Group> {
        self.groups
            .range(..=index)
            .next_back()
            .map(|(_, group)| group)
            .or(self.base.as_ref().map(|base| &base.group))
    }

    /// Where the group in force was appended.
    pub fn group_index(&self) -> Revision {
        let last = self.groups.keys().next_back();
        last.copied().unwrap_or(self.base().index)
    }

    pub fn append(&mut self, entry: LogEntry) {
        debug_assert_eq!(entry.index, next(self.last().index));
        if let EntryPayload::Group(group) = &entry.payload {
            self.groups.insert(entry.index, group.clone());
        }
        self.entries.push(entry);
    }

    /// Drops the entries from `from` on, and with them the groups they hold.
    pub fn truncate(&mut self, from: Revision) {
        let keep = from.0.saturating_sub(self.base().index.0 + 1);
        self.entries
            .truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        self.groups.split_off(&from);
        let before = Revision(from.0.saturating_sub(1));
        self.durable = self.durable.min(before);
        self.unwritten = self.unwritten.min(from);
        self.truncated = true;
        if let Some(write) = &mut self.in_flight {
            write.through = write.through.min(before);
        }
    }

    /// Puts a snapshot in place of the whole log, or of the prefix it covers if
    /// the log agrees with it.
    pub fn install(&mut self, snapshot: Snapshot) {
        if self.position(snapshot.position.index) == Some(snapshot.position) && self.base.is_some()
        {
            return self.replace_prefix(snapshot);
        }
        self.entries.clear();
        self.groups.clear();
        self.durable = Revision(0);
        self.unwritten = next(snapshot.position.index);
        self.truncated = true;
        self.base_unwritten = true;
        self.base = Some(snapshot);
        if let Some(write) = &mut self.in_flight {
            *write = InFlight {
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
        let count = through.0.saturating_sub(self.base().index.0);
        let count = usize::try_from(count).unwrap_or(usize::MAX);
        self.entries.drain(..count.min(self.entries.len()));
        self.groups = self.groups.split_off(&next(through));
        self.unwritten = self.unwritten.max(next(through));
        self.base = Some(snapshot);
        self.base_unwritten = true;
    }

    /// What the disk lacks, if anything. Must not be called while a write is
    /// outstanding.
    pub fn begin_write(&mut self) -> LogWrite {
        let entries: Vec<LogEntry> = (self.unwritten.0..)
            .map_while(|index| self.entry(Revision(index)).cloned())
            .collect();
        let from = (self.truncated || !entries.is_empty()).then_some(self.unwritten);
        let snapshot = self.base.clone().filter(|_| self.base_unwritten);
        let covered = snapshot.as_ref().map_or(self.durable, |snapshot| {
            self.durable.max(snapshot.position.index)
        });
        self.in_flight = Some(InFlight {
            from,
            through: entries.last().map_or(covered, |entry| entry.index),
            snapshot: snapshot.is_some(),
        });
        self.unwritten = next(self.last().index);
        self.truncated = false;
        self.base_unwritten = false;
        LogWrite {
            truncate_from: from,
            snapshot,
            entries,
        }
    }

    /// Whether the disk lacks anything that it was not handed yet.
    pub fn needs_write(&self) -> bool {
        self.truncated || self.base_unwritten || self.unwritten <= self.last().index
    }

    pub fn written(&mut self) {
        if let Some(write) = self.in_flight.take() {
            self.durable = self.durable.max(write.through);
        }
    }

    /// Takes back what the failed write held, so that the next one has it.
    pub fn write_failed(&mut self) {
        if let Some(write) = self.in_flight.take() {
            if let Some(from) = write.from {
                self.unwritten = self.unwritten.min(from).max(next(self.base().index));
                self.truncated = true;
            }
            self.base_unwritten |= write.snapshot;
        }
    }
}

/// The index after this one.
pub(crate) fn next(index: Revision) -> Revision {
    Revision(index.0 + 1)
}
