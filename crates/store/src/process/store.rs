//! The open store, which writes to the data folder.

use super::Disk;
use crate::error::{Error, ErrorKind, Result};
use crate::version::{RecordItem, SnapshotCoverage, encode_record};
use consensus::{DiskWrite, Snapshot};
use types::{MemberId, Revision, Term};

pub(super) const LAYOUT_VERSION: &str = "1";
pub(super) const LAYOUT_FILE: &str = "layout";
pub(super) const MEMBER_FILE: &str = "member";
pub(super) const TEMPORARY_SUFFIX: &str = ".tmp";

/// Length from which a segment is closed and a new one started. Small compared
/// with the disk, so that compaction frees space soon.
const SEGMENT_ROTATION_BYTES: usize = 4 << 20;

/// The current term, and the member that got the vote in it.
type TermAndVote = (Term, Option<MemberId>);

/// Log, vote and snapshot in an open data folder. Used by only one thread; see
/// [`spawn`](crate::spawn).
#[derive(Debug)]
pub struct Store<D: Disk> {
    disk: D,
    file: D::File,
    /// The segments in the order of their numbers; the last one is written to.
    segments: Vec<Segment>,
    vote: TermAndVote,
    /// Index of the last entry on disk.
    last_index: Revision,
    /// Index of the snapshot on disk.
    snapshot_index: Option<Revision>,
    /// Files that were replaced by newer ones and are not yet removed.
    stale_files: Vec<String>,
    /// Whether the last write failed, so that the end of the segment is unknown.
    end_unknown: bool,
    sync_count: u64,
}

/// A segment of the log.
#[derive(Debug, Clone, Copy)]
pub(super) struct Segment {
    pub number: u64,
    /// Length up to which the segment is known to be synced.
    pub len: usize,
    /// Highest index of its entries.
    pub highest_index: Revision,
}

impl<D: Disk> Store<D> {
    /// `active` is the last of `segments`, of which there is at least one.
    pub(super) fn new(
        disk: D,
        vote: TermAndVote,
        last_index: Revision,
        snapshot_index: Option<Revision>,
        active: D::File,
        segments: Vec<Segment>,
        stale_files: Vec<String>,
    ) -> Self {
        Store {
            disk,
            file: active,
            segments,
            vote,
            last_index,
            snapshot_index,
            stale_files,
            end_unknown: false,
            sync_count: 0,
        }
    }

    /// Number of syncs of a file or the folder since the store was opened.
    #[must_use]
    pub fn sync_count(&self) -> u64 {
        self.sync_count
    }

    /// Writes all of `writes` to disk, as one record with one sync unless one of
    /// them contains a snapshot.
    ///
    /// # Errors
    ///
    /// Fails on a disk error, or if entries do not follow the last one on disk.
    /// After a disk error, any part of the writes may be on disk. The next call
    /// first truncates the segment to its synced length and starts a new one.
    pub fn apply(&mut self, writes: &[DiskWrite]) -> Result<()> {
        let mut last = self.last_index;
        let mut items = Vec::new();
        if self.end_unknown {
            self.rotate_after_failure()?;
        }
        for write in writes {
            if let Some((term, vote)) = write.term_and_vote {
                self.vote = (term, vote);
                items.push(RecordItem::Vote(term, vote));
            }
            if let Some(from) = write.truncate_from {
                if from <= last {
                    items.push(RecordItem::Truncate(from));
                }
                last = last.min(Revision(from.0.saturating_sub(1)));
            }
            if let Some(snapshot) = &write.snapshot {
                self.append(&std::mem::take(&mut items), last)?;
                self.write_snapshot(snapshot)?;
                items.push(RecordItem::Snapshot(snapshot.position.index));
                last = last.max(snapshot.position.index);
                self.last_index = last;
            }
            for entry in &write.entries {
                if entry.index.0 != last.0 + 1 {
                    let (from, last) = (entry.index.0, last.0);
                    return Err(ErrorKind::Gap { from, last }.into());
                }
                last = entry.index;
                items.push(RecordItem::Entry(entry.clone()));
            }
        }
        self.append(&items, last)
    }

    fn append(&mut self, items: &Vec<RecordItem>, last: Revision) -> Result<()> {
        if items.is_empty() {
            self.last_index = last;
            return Ok(());
        }
        if self.active_segment().len >= SEGMENT_ROTATION_BYTES {
            self.start_segment()?;
        }
        let Segment { number, len, .. } = self.active_segment();
        let name = segment_name(number);
        let too_large = || std::io::Error::from(std::io::ErrorKind::FileTooLarge);
        let record = encode_record(number, len, items).ok_or_else(too_large);
        let record = record.map_err(Error::io("encode for", &name))?;
        self.end_unknown = true;
        let written = self.disk.append(&mut self.file, &record);
        written.map_err(Error::io("append to", &name))?;
        self.sync_count += 1;
        let synced = self.disk.sync(&mut self.file);
        synced.map_err(Error::io("sync", &name))?;
        self.end_unknown = false;
        self.last_index = last;
        if let Some(segment) = self.segments.last_mut() {
            segment.len += record.len();
            segment.highest_index = segment.highest_index.max(last);
        }
        Ok(())
    }

    fn active_segment(&self) -> Segment {
        self.segments[self.segments.len() - 1]
    }

    /// Truncates the segment to its synced length and starts a new one. After a
    /// failed sync, the operating system may report success for the next sync
    /// although the data is lost, so nothing is appended to a segment whose end is
    /// unknown.
    fn rotate_after_failure(&mut self) -> Result<()> {
        let Segment { number, len, .. } = self.active_segment();
        let name = segment_name(number);
        self.sync_count += 1;
        let truncated = self.disk.truncate(&mut self.file, len as u64);
        truncated
            .and_then(|()| self.disk.sync(&mut self.file))
            .map_err(Error::io("cut", &name))?;
        self.start_segment()?;
        self.end_unknown = false;
        Ok(())
    }

    /// Starts a segment with the vote and the index of the snapshot, so that
    /// earlier segments can be removed.
    fn start_segment(&mut self) -> Result<()> {
        let number = self.active_segment().number + 1;
        self.sync_count += 2;
        let (term, vote) = self.vote;
        let mut items = vec![RecordItem::Vote(term, vote)];
        items.extend(self.snapshot_index.map(RecordItem::Snapshot));
        let (file, len) = Self::create_segment(&self.disk, number, &items)?;
        self.file = file;
        self.segments.push(Segment {
            number,
            len,
            highest_index: Revision(0),
        });
        Ok(())
    }

    /// Creates a segment under a temporary name and renames it, so that a partly
    /// written file is never read as a segment.
    pub(super) fn create_segment(
        disk: &D,
        number: u64,
        items: &Vec<RecordItem>,
    ) -> Result<(D::File, usize)> {
        let record = Some(items).filter(|items| !items.is_empty());
        let record = record.and_then(|items| encode_record(number, 0, items));
        let record = record.unwrap_or_default();
        let file = write_file_atomically(disk, &segment_name(number), &record)?;
        Ok((file, record.len()))
    }

    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        let index = snapshot.position.index;
        let name = snapshot_name(index);
        let covered_count = self.count_covered_segments(index);
        let coverage = SnapshotCoverage {
            first_segment: self.segments[covered_count].number,
        };
        let too_large = || std::io::Error::from(std::io::ErrorKind::FileTooLarge);
        let record = encode_record(index.0, 0, snapshot).and_then(|mut snapshot| {
            snapshot.extend(encode_record(index.0, snapshot.len(), &coverage)?);
            Some(snapshot)
        });
        let record = record.ok_or_else(too_large);
        let record = record.map_err(Error::io("encode", &name))?;
        self.sync_count += 2;
        write_file_atomically(&self.disk, &name, &record)?;
        let old = self.snapshot_index.filter(|base| *base != index);
        self.stale_files.extend(old.map(snapshot_name));
        self.snapshot_index = Some(index);
        let covered = self.segments.drain(..covered_count);
        self.stale_files
            .extend(covered.map(|segment| segment_name(segment.number)));
        self.remove_stale_files();
        Ok(())
    }

    /// Number of segments at the start of the log whose entries are all part of a
    /// snapshot at `index`. The last segment is written to, and may be the only one
    /// with the vote, so it is never covered.
    fn count_covered_segments(&self, index: Revision) -> usize {
        let covered = |segment: &&Segment| segment.highest_index <= index;
        let count = self.segments.iter().take_while(covered).count();
        count.min(self.segments.len() - 1)
    }

    /// Removes the files that the snapshot replaces. A failure costs only space:
    /// removal is retried after the next snapshot, and [`open`](crate::open)
    /// ignores the files. The removals are not synced, so a power loss may undo any
    /// of them.
    fn remove_stale_files(&mut self) {
        let disk = &self.disk;
        self.stale_files.retain(|name| {
            let removed = disk.remove(name);
            removed.is_err_and(|e| e.kind() != std::io::ErrorKind::NotFound)
        });
    }
}

/// Replaces a file beside those of the log, for state that needs no order with the
/// log. It is durable, and after a crash its content is whole: the former or the new
/// one.
///
/// # Errors
///
/// Fails if the disk is full or read-only. The former content is kept.
pub fn replace_file<D: Disk>(disk: &D, name: &str, bytes: &[u8]) -> Result<()> {
    write_file_atomically(disk, name, bytes).map(drop)
}

/// Writes a whole file under a temporary name, syncs it and renames it. Returns
/// the file, open for appending.
pub(super) fn write_file_atomically<D: Disk>(
    disk: &D,
    name: &str,
    bytes: &[u8],
) -> Result<D::File> {
    let temporary = format!("{name}{TEMPORARY_SUFFIX}");
    let file = disk.open(&temporary);
    let mut file = file.map_err(Error::io("open", &temporary))?;
    // An earlier attempt that failed may have left data in the file.
    disk.truncate(&mut file, 0)
        .and_then(|()| disk.append(&mut file, bytes))
        .and_then(|()| disk.sync(&mut file))
        .map_err(Error::io("write", &temporary))?;
    disk.rename(&temporary, name)
        .and_then(|()| disk.sync_dir())
        .map_err(Error::io("rename", &temporary))?;
    Ok(file)
}

pub(super) fn segment_name(number: u64) -> String {
    format!("log-{number:016x}")
}

fn snapshot_name(index: Revision) -> String {
    format!("snapshot-{:016x}", index.0)
}
