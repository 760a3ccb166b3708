//! The files that hold the records that a control host keeps for other nodes.

use std::{
    collections::BTreeMap,
    io,
    sync::mpsc::{self, Receiver, RecvTimeoutError, Sender},
    thread,
    time::Duration,
};

use directory::{NodeRecord, RecordShard};
use store::{Disk, replace_file};

use crate::{Error, Result};

/// Delay before failed writes are tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The records of a shard, which replace what its file holds.
pub(crate) type ShardRecords = (RecordShard, Vec<NodeRecord>);

fn file_name(shard: RecordShard) -> String {
    format!("records-{shard}")
}

/// Reads the records from before the start. A file that cannot be read counts as empty:
/// its nodes find their flows by searching, as without records.
pub(crate) fn read<D: Disk>(disk: &D) -> Vec<NodeRecord> {
    let mut records = Vec::new();
    for shard in RecordShard::all() {
        let name = file_name(shard);
        let read = match disk.read(&name) {
            Ok(bytes) => wire::decode::<Vec<NodeRecord>>(&bytes).map_err(|e| e.to_string()),
            Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
            Err(e) => Err(e.to_string()),
        };
        match read {
            Ok(stored) => records.extend(stored),
            Err(error) => {
                log::warn!(event = "records_unreadable", file = name.as_str(), error = error.as_str(); "cannot read the records of nodes from before the start");
            }
        }
    }
    records
}

/// Starts the thread that writes the shards sent to it. It ends when the sender is
/// dropped.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(crate) fn spawn_writer<D: Disk>(disk: D) -> Result<Sender<Vec<ShardRecords>>> {
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name("records".to_owned())
        .spawn(move || write_shards(&disk, &rx))
        .map_err(Error::Thread)?;
    Ok(tx)
}

fn write_shards<D: Disk>(disk: &D, changes: &Receiver<Vec<ShardRecords>>) {
    let mut unwritten: BTreeMap<RecordShard, Vec<NodeRecord>> = BTreeMap::new();
    loop {
        let received = if unwritten.is_empty() {
            changes.recv().map_err(|_| RecvTimeoutError::Disconnected)
        } else {
            changes.recv_timeout(RETRY_DELAY)
        };
        match received {
            // A later state of a shard replaces one that is not written yet.
            Ok(shards) => unwritten.extend(changes.try_iter().fold(shards, |mut all, more| {
                all.extend(more);
                all
            })),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
        unwritten.retain(|shard, records| !write(disk, *shard, records));
    }
}

/// Returns whether the records are on disk.
fn write<D: Disk>(disk: &D, shard: RecordShard, records: &Vec<NodeRecord>) -> bool {
    let name = file_name(shard);
    let written = wire::encode(records)
        .map_err(|e| e.to_string())
        .and_then(|bytes| replace_file(disk, &name, &bytes).map_err(|e| e.to_string()));
    written
        .inspect_err(|error| {
            log::warn!(event = "records_not_written", file = name.as_str(), error = error.as_str(); "cannot write the records of nodes");
        })
        .is_ok()
}
