//! Opening a data folder.

use super::store::{
    LAYOUT_FILE, LAYOUT_VERSION, MEMBER_FILE, Segment, TEMPORARY_SUFFIX, segment_name,
    write_file_atomically,
};
use super::{Disk, Store};
use crate::error::{Error, ErrorKind, Result};
use crate::version::{RecordItem, RecordReader, Replay, SnapshotCoverage};
use consensus::{RestoredState, Snapshot};
use types::{MemberId, Revision};

/// Number of the segment that is created with the member id.
const FIRST_SEGMENT: u64 = 1;

/// State that was recovered from a data folder.
#[derive(Debug)]
pub struct RecoveredMember {
    /// Id of this member.
    pub member: MemberId,
    /// Initial state of [`consensus::Consensus`].
    pub restored: RestoredState,
}

/// Opens a data folder and recovers its state. An empty folder is initialized
/// with a new member id. A partial record that a crash has left at the end of the
/// last segment is removed. All that is recovered is durable, also if the process
/// that wrote it was killed before it synced it.
///
/// # Errors
///
/// Fails if the folder cannot be read or written, has another layout, or if data
/// that was synced earlier is damaged or missing.
pub fn open<D: Disk>(disk: D) -> Result<(Store<D>, RecoveredMember)> {
    open_with_first_id(disk, MemberId(rand::random()))
}

/// Like [`open`], but an empty folder is initialized with the member id `first_id`. The
/// caller ensures that no other data folder gets this id.
///
/// # Errors
///
/// See [`open`].
pub fn open_with_first_id<D: Disk>(
    disk: D,
    first_id: MemberId,
) -> Result<(Store<D>, RecoveredMember)> {
    // A process that was killed may have created files without a sync of the folder.
    // What is recovered from them may be acknowledged, so their names must last.
    sync_names(&disk)?;
    let names = FileNames::list(&disk)?;
    check_layout(&disk, &names)?;
    for name in &names.temporary {
        disk.remove(name).map_err(Error::io("remove", name))?;
    }
    if !names.has_layout {
        write_file_atomically(&disk, LAYOUT_FILE, LAYOUT_VERSION.as_bytes())?;
    }
    let (member, names) = match load_member(&disk, &names)? {
        Some(member) => (member, names),
        None => (create_member(&disk, first_id)?, FileNames::list(&disk)?),
    };
    let (snapshot, first_segment) = match names.snapshots.last() {
        Some((index, name)) => {
            let (snapshot, coverage) = read_snapshot(&disk, *index, name)?;
            (
                Some(snapshot),
                coverage.map(|coverage| coverage.first_segment),
            )
        }
        None => (None, Some(FIRST_SEGMENT)),
    };
    // A power loss may undo the removal of any segment that the snapshot covers.
    let needed = |number: u64| first_segment.is_none_or(|first| number >= first);
    let (segments, covered): (Vec<_>, Vec<_>) = names
        .segments
        .into_iter()
        .partition(|(number, _)| needed(*number));
    check_segments_present(&segments, first_segment)?;
    let mut replay = Replay::default();
    let mut replayed_segments = Vec::with_capacity(segments.len());
    for (i, (number, name)) in segments.iter().enumerate() {
        let last = i + 1 == segments.len();
        let segment = replay_segment(&disk, *number, name, last, &mut replay)?;
        replayed_segments.push(segment);
    }
    let vote = (replay.term, replay.vote);
    let Some(restored) = replay.into_restored_state(snapshot) else {
        let name = segments.first().map_or("log-", |(_, name)| name.as_str());
        return Err(Error::damaged(
            name,
            0,
            "the snapshot or entries before it are missing",
        ));
    };
    let base = restored.snapshot.as_ref();
    let base = base.map(|snapshot| snapshot.position.index);
    let last = restored.entries.last().map(|entry| entry.index);
    let last = last.or(base).unwrap_or_default();
    let mut stale_files = names.snapshots;
    stale_files.pop();
    stale_files.extend(covered);
    let stale_files = stale_files.into_iter().map(|(_, name)| name).collect();
    let active = open_active_segment(&disk, &replayed_segments)?;
    let store = Store::new(
        disk,
        vote,
        last,
        base,
        active,
        replayed_segments,
        stale_files,
    );
    Ok((store, RecoveredMember { member, restored }))
}

/// The files of the store in a data folder.
struct FileNames {
    has_layout: bool,
    has_member: bool,
    /// Number and name of each segment, in order.
    segments: Vec<(u64, String)>,
    /// Index and name of each snapshot, in order.
    snapshots: Vec<(u64, String)>,
    /// Files that were not renamed to their final name.
    temporary: Vec<String>,
}

impl FileNames {
    fn list<D: Disk>(disk: &D) -> Result<Self> {
        let names = disk.list().map_err(Error::io("list", "the data folder"))?;
        Ok(FileNames {
            has_layout: names.iter().any(|name| name == LAYOUT_FILE),
            has_member: names.iter().any(|name| name == MEMBER_FILE),
            segments: numbered_files(&names, "log-"),
            snapshots: numbered_files(&names, "snapshot-"),
            temporary: names
                .into_iter()
                .filter(|name| name.ends_with(TEMPORARY_SUFFIX))
                .collect(),
        })
    }

    /// Whether the folder holds a log, a snapshot or a member id.
    fn has_state(&self) -> bool {
        self.has_member || !self.segments.is_empty() || !self.snapshots.is_empty()
    }
}

fn sync_names<D: Disk>(disk: &D) -> Result<()> {
    let synced = disk.sync_dir();
    synced.map_err(Error::io("sync", "the data folder"))
}

fn check_layout<D: Disk>(disk: &D, names: &FileNames) -> Result<()> {
    if !names.has_layout {
        // It is durable before any other file of the store is created.
        return if names.has_state() {
            Err(Error::damaged(LAYOUT_FILE, 0, "the file is missing"))
        } else {
            Ok(())
        };
    }
    let found = disk.read(LAYOUT_FILE);
    let found = found.map_err(Error::io("read", LAYOUT_FILE))?;
    if found != LAYOUT_VERSION.as_bytes() {
        return Err(ErrorKind::Layout {
            found: String::from_utf8_lossy(&found).into_owned(),
            expected: LAYOUT_VERSION,
        }
        .into());
    }
    Ok(())
}

/// Reads the member id. `None` if it was never created.
fn load_member<D: Disk>(disk: &D, names: &FileNames) -> Result<Option<MemberId>> {
    if !names.has_member {
        return if is_unused(disk, names)? {
            Ok(None)
        } else {
            let reason = "the id of the member is missing";
            Err(Error::damaged(MEMBER_FILE, 0, reason))
        };
    }
    if names.segments.is_empty() {
        let reason = "the log of this member is missing";
        return Err(Error::damaged(MEMBER_FILE, 0, reason));
    }
    let text = disk.read(MEMBER_FILE);
    let text = text.map_err(Error::io("read", MEMBER_FILE))?;
    let id = std::str::from_utf8(&text)
        .ok()
        .and_then(|text| text.parse().ok());
    let id = id.ok_or_else(|| Error::damaged(MEMBER_FILE, 0, "this is not a member id"))?;
    Ok(Some(id))
}

/// Whether a folder without a member id has never been written to: it is empty, or
/// the creation of the id failed after that of the first segment. Nothing is written
/// to a log before the id is durable, so a log with records had an id.
fn is_unused<D: Disk>(disk: &D, names: &FileNames) -> Result<bool> {
    if !names.snapshots.is_empty() {
        return Ok(false);
    }
    match names.segments.as_slice() {
        [] => Ok(true),
        [(FIRST_SEGMENT, name)] => {
            let data = disk.read(name).map_err(Error::io("read", name))?;
            Ok(data.is_empty())
        }
        _ => Ok(false),
    }
}

/// Creates the first segment and a member id. The segment is created before the id:
/// an id without a log then means that the log was lost, and the host must not vote
/// under this id again.
fn create_member<D: Disk>(disk: &D, id: MemberId) -> Result<MemberId> {
    Store::<D>::create_segment(disk, FIRST_SEGMENT, &Vec::new())?;
    write_file_atomically(disk, MEMBER_FILE, id.to_string().as_bytes())?;
    Ok(id)
}

/// Checks that all segments from `first` on are present. Snapshots of earlier
/// versions of this crate do not state the first one; `None` then requires only that
/// there is no gap.
fn check_segments_present(segments: &[(u64, String)], first: Option<u64>) -> Result<()> {
    let missing = "the segment before it is missing";
    let Some((lowest, _)) = segments.first() else {
        let name = segment_name(first.unwrap_or(FIRST_SEGMENT));
        return Err(Error::damaged(&name, 0, "the segment is missing"));
    };
    let numbers = first.unwrap_or(*lowest)..;
    let gap = numbers
        .zip(segments)
        .find(|(expected, (number, _))| expected != number);
    match gap {
        Some((_, (_, name))) => Err(Error::damaged(name, 0, missing)),
        None => Ok(()),
    }
}

/// Opens the last segment for appending, and syncs it: its last record may be that of
/// a process that was killed before the sync.
fn open_active_segment<D: Disk>(disk: &D, segments: &[Segment]) -> Result<D::File> {
    let number = segments
        .last()
        .map_or(FIRST_SEGMENT, |segment| segment.number);
    let name = segment_name(number);
    let mut file = disk.open(&name).map_err(Error::io("open", &name))?;
    let synced = disk.sync(&mut file);
    synced.map_err(Error::io("sync", &name))?;
    Ok(file)
}

/// Files named `prefix` and a hexadecimal number, sorted by the number.
fn numbered_files(names: &[String], prefix: &str) -> Vec<(u64, String)> {
    let number = |name: &str| u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok();
    let mut found: Vec<(u64, String)> = names
        .iter()
        .filter_map(|name| Some((number(name)?, name.clone())))
        .collect();
    found.sort();
    found
}

/// Reads a snapshot and which segments it covers. Earlier versions of this crate did
/// not write the latter.
fn read_snapshot<D: Disk>(
    disk: &D,
    index: u64,
    name: &str,
) -> Result<(Snapshot, Option<SnapshotCoverage>)> {
    let data = disk.read(name).map_err(Error::io("read", name))?;
    let mut reader = RecordReader::new(name, index, &data);
    let snapshot = reader.next()?;
    let coverage = reader.next()?;
    if let Some(tail) = reader.invalid_tail() {
        return Err(Error::damaged(name, tail.offset, tail.reason));
    }
    let snapshot = snapshot.ok_or_else(|| Error::damaged(name, 0, "the file is empty"))?;
    Ok((snapshot, coverage))
}

/// Replays the valid records of a segment.
fn replay_segment<D: Disk>(
    disk: &D,
    number: u64,
    name: &str,
    last: bool,
    replay: &mut Replay,
) -> Result<Segment> {
    let data = disk.read(name).map_err(Error::io("read", name))?;
    let mut reader = RecordReader::new(name, number, &data);
    let mut segment = Segment {
        number,
        len: data.len(),
        highest_index: Revision(0),
    };
    while let Some(items) = reader.next::<Vec<RecordItem>>()? {
        for item in items {
            if let RecordItem::Entry(entry) = &item {
                segment.highest_index = segment.highest_index.max(entry.index);
            }
            replay.apply(item);
        }
    }
    let Some(tail) = reader.invalid_tail() else {
        return Ok(segment);
    };
    if tail.precedes_valid_record || !last {
        return Err(Error::damaged(name, tail.offset, tail.reason));
    }
    log::warn!(
        file = name, offset = tail.offset;
        "removing a partial record that a crash left at the end of the segment"
    );
    let mut file = disk.open(name).map_err(Error::io("open", name))?;
    let truncated = disk.truncate(&mut file, tail.offset as u64);
    truncated
        .and_then(|()| disk.sync(&mut file))
        .map_err(Error::io("cut", name))?;
    segment.len = tail.offset;
    Ok(segment)
}
