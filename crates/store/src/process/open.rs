//! Opening a data folder.

use super::store::{LAYOUT, LAYOUT_FILE, MEMBER_FILE, TEMPORARY, put};
use super::{Disk, Store};
use crate::error::{Error, ErrorKind, Result};
use crate::version::{Item, Reader, Replay};
use consensus::{RestoredState, Snapshot};
use types::{MemberId, Revision};

/// What was in the data folder.
#[derive(Debug)]
pub struct RecoveredMember {
    /// The id of this member.
    pub member: MemberId,
    /// What [`consensus::Consensus`] starts from.
    pub restored: RestoredState,
}

/// Opens a data folder and recovers what is in it. An empty one gets a member
/// id. A record torn by a crash at the end of the last segment is cut off.
///
/// # Errors
///
/// Fails if the folder cannot be read or written, has another layout, or if
/// what was synced earlier is damaged or missing.
pub fn open<D: Disk>(disk: D) -> Result<(Store<D>, RecoveredMember)> {
    let mut names = disk.list().map_err(Error::io("list", "the data folder"))?;
    names.sort();
    check_layout(&disk, &names)?;
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY)) {
        disk.remove(name).map_err(Error::io("remove", name))?;
    }
    let member = member(&disk, &names)?;
    let snapshots = numbered(&names, "snapshot-");
    let snapshot = match snapshots.last() {
        Some((index, name)) => Some(read_snapshot(&disk, *index, name)?),
        None => None,
    };
    let segments = numbered(&names, "log-");
    let mut replay = Replay::default();
    let mut kept = Vec::new();
    for (i, (number, name)) in segments.iter().enumerate() {
        if *number != segments[0].0 + i as u64 {
            return Err(Error::damaged(name, 0, "the segment before it is missing"));
        }
        let last = i + 1 == segments.len();
        let end = replay_segment(&disk, *number, name, last, &mut replay)?;
        kept.push((*number, end));
    }
    let term = (replay.term, replay.vote);
    let Some(restored) = replay.finish(snapshot) else {
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
    let old = snapshots.len().saturating_sub(1);
    let stale = snapshots.into_iter().take(old).map(|(_, name)| name);
    let store = Store::new(disk, term, last, base, kept, stale.collect())?;
    Ok((store, RecoveredMember { member, restored }))
}

fn check_layout<D: Disk>(disk: &D, names: &[String]) -> Result<()> {
    if !names.iter().any(|name| name == LAYOUT_FILE) {
        return put(disk, LAYOUT_FILE, LAYOUT.as_bytes()).map(drop);
    }
    let found = disk.read(LAYOUT_FILE);
    let found = found.map_err(Error::io("read", LAYOUT_FILE))?;
    if found != LAYOUT.as_bytes() {
        return Err(ErrorKind::Layout {
            found: String::from_utf8_lossy(&found).into_owned(),
            expected: LAYOUT,
        }
        .into());
    }
    Ok(())
}

/// The id on disk, or a new one if nothing else is on disk.
fn member<D: Disk>(disk: &D, names: &[String]) -> Result<MemberId> {
    let holds_log = names.iter().any(|name| name.starts_with("log-"));
    if names.iter().any(|name| name == MEMBER_FILE) {
        if !holds_log {
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
    if names.iter().any(|name| name.starts_with("snapshot-")) || holds_log {
        return Err(Error::damaged(
            MEMBER_FILE,
            0,
            "the id of the member is missing",
        ));
    }
    // The first segment is made before the id: an id without a log then means
    // that the log was lost, and this host must not vote under the id again.
    let id = MemberId(rand::random());
    Store::<D>::make_segment(disk, 1, &Vec::new())?;
    put(disk, MEMBER_FILE, id.to_string().as_bytes())?;
    Ok(id)
}

/// The files `prefix` + number, in the order of the numbers.
fn numbered(names: &[String], prefix: &str) -> Vec<(u64, String)> {
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
    let mut reader = Reader::new(name, index, &data);
    let snapshot = reader.next()?;
    match reader.torn() {
        Some(torn) => Err(Error::damaged(name, torn.offset, torn.what)),
        None => snapshot.ok_or_else(|| Error::damaged(name, 0, "the file is empty")),
    }
}

/// Takes the records of a segment; returns its length and last entry.
fn replay_segment<D: Disk>(
    disk: &D,
    number: u64,
    name: &str,
    last: bool,
    replay: &mut Replay,
) -> Result<(usize, Revision)> {
    let data = disk.read(name).map_err(Error::io("read", name))?;
    let mut reader = Reader::new(name, number, &data);
    let mut highest = Revision(0);
    while let Some(items) = reader.next::<Vec<Item>>()? {
        for item in items {
            if let Item::Entry(entry) = &item {
                highest = highest.max(entry.index);
            }
            replay.take(item);
        }
    }
    let Some(torn) = reader.torn() else {
        return Ok((data.len(), highest));
    };
    if torn.followed || !last {
        return Err(Error::damaged(name, torn.offset, torn.what));
    }
    log::warn!(file = name, offset = torn.offset; "cut off a record torn by a crash");
    let mut file = disk.open(name).map_err(Error::io("open", name))?;
    let cut = disk.truncate(&mut file, torn.offset as u64);
    cut.and_then(|()| disk.sync(&mut file))
        .map_err(Error::io("cut", name))?;
    Ok((torn.offset, highest))
}
