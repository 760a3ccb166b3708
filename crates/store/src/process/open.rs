//! Opening a data folder.

use super::store::{
    LAYOUT_FILE, LAYOUT_VERSION, MEMBER_FILE, TEMPORARY_SUFFIX, write_file_atomically,
};
use super::{Disk, Store};
use crate::error::{Error, ErrorKind, Result};
use crate::version::{RecordItem, RecordReader, Replay};
use consensus::{RestoredState, Snapshot};
use types::{MemberId, Revision};

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
/// last segment is removed.
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
    let mut names = disk.list().map_err(Error::io("list", "the data folder"))?;
    names.sort();
    check_layout(&disk, &names)?;
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY_SUFFIX)) {
        disk.remove(name).map_err(Error::io("remove", name))?;
    }
    let member = load_or_create_member(&disk, &names, first_id)?;
    let snapshots = numbered_files(&names, "snapshot-");
    let snapshot = match snapshots.last() {
        Some((index, name)) => Some(read_snapshot(&disk, *index, name)?),
        None => None,
    };
    let segments = numbered_files(&names, "log-");
    let mut replay = Replay::default();
    let mut replayed_segments = Vec::new();
    for (i, (number, name)) in segments.iter().enumerate() {
        if *number != segments[0].0 + i as u64 {
            return Err(Error::damaged(name, 0, "the segment before it is missing"));
        }
        let last = i + 1 == segments.len();
        let end = replay_segment(&disk, *number, name, last, &mut replay)?;
        replayed_segments.push((*number, end));
    }
    let term = (replay.term, replay.vote);
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
    let stale_count = snapshots.len().saturating_sub(1);
    let stale = snapshots
        .into_iter()
        .take(stale_count)
        .map(|(_, name)| name);
    let store = Store::new(disk, term, last, base, replayed_segments, stale.collect())?;
    Ok((store, RecoveredMember { member, restored }))
}

fn check_layout<D: Disk>(disk: &D, names: &[String]) -> Result<()> {
    if !names.iter().any(|name| name == LAYOUT_FILE) {
        return write_file_atomically(disk, LAYOUT_FILE, LAYOUT_VERSION.as_bytes()).map(drop);
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

/// Reads the member id, or stores `first_id` if the folder has neither log nor
/// snapshot.
fn load_or_create_member<D: Disk>(
    disk: &D,
    names: &[String],
    first_id: MemberId,
) -> Result<MemberId> {
    let has_log = names.iter().any(|name| name.starts_with("log-"));
    if names.iter().any(|name| name == MEMBER_FILE) {
        if !has_log {
            return Err(Error::damaged(
                MEMBER_FILE,
                0,
                "the log of this member is missing",
            ));
        }
        let text = disk.read(MEMBER_FILE);
        let text = text.map_err(Error::io("read", MEMBER_FILE))?;
        let id = std::str::from_utf8(&text)
            .ok()
            .and_then(|text| text.parse().ok());
        return id.ok_or_else(|| Error::damaged(MEMBER_FILE, 0, "this is not a member id"));
    }
    if names.iter().any(|name| name.starts_with("snapshot-")) || has_log {
        return Err(Error::damaged(
            MEMBER_FILE,
            0,
            "the id of the member is missing",
        ));
    }
    // The first segment is created before the id. An id without a log then means
    // that the log was lost, and the host must not vote under this id again.
    Store::<D>::create_segment(disk, 1, &Vec::new())?;
    write_file_atomically(disk, MEMBER_FILE, first_id.to_string().as_bytes())?;
    Ok(first_id)
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

fn read_snapshot<D: Disk>(disk: &D, index: u64, name: &str) -> Result<Snapshot> {
    let data = disk.read(name).map_err(Error::io("read", name))?;
    let mut reader = RecordReader::new(name, index, &data);
    let snapshot = reader.next()?;
    match reader.invalid_tail() {
        Some(tail) => Err(Error::damaged(name, tail.offset, tail.reason)),
        None => snapshot.ok_or_else(|| Error::damaged(name, 0, "the file is empty")),
    }
}

/// Replays the records of a segment. Returns the length of its valid records and
/// the highest index of its entries.
fn replay_segment<D: Disk>(
    disk: &D,
    number: u64,
    name: &str,
    last: bool,
    replay: &mut Replay,
) -> Result<(usize, Revision)> {
    let data = disk.read(name).map_err(Error::io("read", name))?;
    let mut reader = RecordReader::new(name, number, &data);
    let mut highest = Revision(0);
    while let Some(items) = reader.next::<Vec<RecordItem>>()? {
        for item in items {
            if let RecordItem::Entry(entry) = &item {
                highest = highest.max(entry.index);
            }
            replay.apply(item);
        }
    }
    let Some(tail) = reader.invalid_tail() else {
        return Ok((data.len(), highest));
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
    Ok((tail.offset, highest))
}
