//! The open store.

use super::Disk;
use crate::error::{Error, ErrorKind, Result};
use crate::version::{Item, encode};
use consensus::{DiskWrite, Snapshot};
use types::{MemberId, Revision, Term};

pub(super) const LAYOUT: &str = "1";
pub(super) const LAYOUT_FILE: &str = "layout";
pub(super) const MEMBER_FILE: &str = "member";
pub(super) const TEMPORARY: &str = ".tmp";

/// Length from which a segment is followed by a new one. Small against the
/// disk, so that compaction gives space back soon.
const SEGMENT_BYTES: usize = 4 << 20;

type Vote = (Term, Option<MemberId>);

/// The open store. Only one thread uses it; see [`spawn`](crate::spawn).
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    file: D::File,
    /// The segment that is written, and the earlier ones.
    segments: Vec<Segment>,
    vote: Vote,
    /// The last index on disk.
    last: Revision,
    /// The index of the snapshot on disk.
    base: Option<Revision>,
    /// Files that newer ones replace.
    stale: Vec<String>,
    /// The last write failed: the end of the last segment is unknown.
    broken: bool,
    sync_count: u64,
}

#[derive(Debug, Clone, Copy)]
struct Segment {
    number: u64,
    /// The length up to which the segment is known to be synced.
    len: usize,
    /// The highest index that it holds.
    highest: Revision,
}

impl<D: Disk> Store<D> {
    pub(super) fn new(
        disk: D,
        vote: Vote,
        last: Revision,
        base: Option<Revision>,
        segments: Vec<(u64, (usize, Revision))>,
        stale: Vec<String>,
    ) -> Result<Self> {
        let mut segments: Vec<Segment> = segments
            .into_iter()
            .map(|(number, (len, highest))| Segment {
                number,
                len,
                highest,
            })
            .collect();
        if segments.is_empty() {
            Self::make_segment(&disk, 1, &Vec::new())?;
            segments.push(Segment {
                number: 1,
                len: 0,
                highest: Revision(0),
            });
        }
        let name = segment_name(segments[segments.len() - 1].number);
        let file = disk.open(&name).map_err(Error::io("open", &name))?;
        Ok(Store {
            disk,
            file,
            segments,
            vote,
            last,
            base,
            stale,
            broken: false,
            sync_count: 0,
        })
    }

    /// How many times a file or the folder was synced since the store was
    /// opened.
    #[must_use]
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Puts the writes on disk, in one record with one sync unless one of them
    /// holds a snapshot.
    ///
    /// # Errors
    ///
    /// After a failure any part of the writes may be on disk. The next call
    /// first cuts the segment back to what was synced and begins a new one.
    pub fn apply(&mut self, writes: &[DiskWrite]) -> Result<()> {
        let mut last = self.last;
        let mut items = Vec::new();
        if self.broken {
            self.repair()?;
        }
        for write in writes {
            if let Some((term, vote)) = write.term_and_vote {
                self.vote = (term, vote);
                items.push(Item::Vote(term, vote));
            }
            if let Some(from) = write.truncate_from {
                if from <= last {
                    items.push(Item::Truncate(from));
                }
                last = last.min(Revision(from.0.saturating_sub(1)));
            }
            if let Some(snapshot) = &write.snapshot {
                self.append(&std::mem::take(&mut items), last)?;
                self.put_snapshot(snapshot)?;
                items.push(Item::Snapshot(snapshot.position.index));
                last = last.max(snapshot.position.index);
                self.last = last;
            }
            for entry in &write.entries {
                if entry.index.0 != last.0 + 1 {
                    let (from, last) = (entry.index.0, last.0);
                    return Err(ErrorKind::Gap { from, last }.into());
                }
                last = entry.index;
                items.push(Item::Entry(entry.clone()));
            }
        }
        self.append(&items, last)
    }

    fn append(&mut self, items: &Vec<Item>, last: Revision) -> Result<()> {
        if items.is_empty() {
            self.last = last;
            return Ok(());
        }
        if self.current().len >= SEGMENT_BYTES {
            self.begin_segment()?;
        }
        let Segment { number, len, .. } = self.current();
        let name = segment_name(number);
        let too_large = || std::io::Error::from(std::io::ErrorKind::FileTooLarge);
        let record = encode(number, len, items).ok_or_else(too_large);
        let record = record.map_err(Error::io("encode for", &name))?;
        self.broken = true;
        let written = self.disk.append(&mut self.file, &record);
        written.map_err(Error::io("append to", &name))?;
        self.sync_count += 1;
        let synced = self.disk.sync(&mut self.file);
        synced.map_err(Error::io("sync", &name))?;
        self.broken = false;
        self.last = last;
        if let Some(segment) = self.segments.last_mut() {
            segment.len += record.len();
            segment.highest = segment.highest.max(last);
        }
        Ok(())
    }

    fn current(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    /// After a failed sync the operating system may report the next one as
    /// done although the data is lost, so nothing is ever appended to a segment
    /// whose end is unknown.
    fn repair(&mut self) -> Result<()> {
        let Segment { number, len, .. } = self.current();
        let name = segment_name(number);
        self.sync_count += 1;
        let cut = self.disk.truncate(&mut self.file, len as u64);
        cut.and_then(|()| self.disk.sync(&mut self.file))
            .map_err(Error::io("cut", &name))?;
        self.begin_segment()?;
        self.broken = false;
        Ok(())
    }

    /// Begins a segment with vote and snapshot, so that earlier ones can be
    /// removed.
    fn begin_segment(&mut self) -> Result<()> {
        let number = self.current().number + 1;
        self.sync_count += 2;
        let (term, vote) = self.vote;
        let mut items = vec![Item::Vote(term, vote)];
        items.extend(self.base.map(Item::Snapshot));
        let (file, len) = Self::make_segment(&self.disk, number, &items)?;
        self.file = file;
        self.segments.push(Segment {
            number,
            len,
            highest: Revision(0),
        });
        Ok(())
    }

    /// Makes a segment under a temporary name, so that one that was begun and
    /// not finished is never taken for a segment.
    pub(super) fn make_segment(
        disk: &D,
        number: u64,
        items: &Vec<Item>,
    ) -> Result<(D::File, usize)> {
        let record = Some(items).filter(|items| !items.is_empty());
        let record = record.and_then(|items| encode(number, 0, items));
        let record = record.unwrap_or_default();
        let file = put(disk, &segment_name(number), &record)?;
        Ok((file, record.len()))
    }

    fn put_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let index = snapshot.position.index;
        let name = snapshot_name(index);
        let too_large = || std::io::Error::from(std::io::ErrorKind::FileTooLarge);
        let record = encode(index.0, 0, snapshot).ok_or_else(too_large);
        let record = record.map_err(Error::io("encode", &name))?;
        self.sync_count += 2;
        put(&self.disk, &name, &record)?;
        let old = self.base.filter(|base| *base != index);
        self.stale.extend(old.map(snapshot_name));
        self.base = Some(index);
        self.remove_stale();
        Ok(())
    }

    /// Removes what the snapshot replaces. A failure costs only space: the
    /// files are tried again after the next snapshot, and are ignored by
    /// [`open`](crate::open).
    fn remove_stale(&mut self) {
        let covered = |segment: &Segment| Some(segment.highest) <= self.base;
        let count = self.segments.iter().take_while(|s| covered(s)).count();
        // The last segment is in use, and the vote may be only in it.
        let count = count.min(self.segments.len() - 1);
        let first = self.segments.drain(..count);
        self.stale.extend(first.map(|s| segment_name(s.number)));
        let disk = &self.disk;
        self.stale.retain(|name| {
            let removed = disk.remove(name);
            removed.is_err_and(|e| e.kind() != std::io::ErrorKind::NotFound)
        });
    }
}

/// Writes a whole file under a temporary name, syncs it and puts it in place.
/// Returns the file, open to be appended to.
pub(super) fn put<D: Disk>(disk: &D, name: &str, bytes: &[u8]) -> Result<D::File> {
    let temporary = format!("{name}{TEMPORARY}");
    let file = disk.open(&temporary);
    let mut file = file.map_err(Error::io("open", &temporary))?;
    // An attempt that failed earlier may have left something.
    disk.truncate(&mut file, 0)
        .and_then(|()| disk.append(&mut file, bytes))
        .and_then(|()| disk.sync(&mut file))
        .map_err(Error::io("write", &temporary))?;
    disk.rename(&temporary, name)
        .and_then(|()| disk.sync_dir())
        .map_err(Error::io("rename", &temporary))?;
    Ok(file)
}

fn segment_name(number: u64) -> String {
    format!("log-{number:016x}")
}

fn snapshot_name(index: Revision) -> String {
    format!("snapshot-{:016x}", index.0)
}
