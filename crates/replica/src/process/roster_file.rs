//! The file that holds the roster of a control host.

use std::{
    io,
    sync::mpsc::{self, Receiver, RecvTimeoutError, Sender},
    thread,
    time::Duration,
};

use directory::Roster;
use store::{Disk, replace_file};

use crate::{Error, Result};

/// Name of the file in the data folder.
const ROSTER_FILE: &str = "agents";

/// Delay before a failed write is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads the roster from before the start. Returns `None` if there is none, or if it
/// cannot be read; the host then has to hear all agents within a lease.
pub(crate) fn read<D: Disk>(disk: &D) -> Option<Roster> {
    let read = match disk.read(ROSTER_FILE) {
        Ok(bytes) => wire::decode(&bytes).map_err(|e| e.to_string()),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return None,
        Err(e) => Err(e.to_string()),
    };
    read.inspect_err(|e| {
        log::warn!(event = "roster_unreadable", error = e.as_str(); "cannot read the list of agents from before the start");
    })
    .ok()
}

/// Starts the thread that writes each roster sent to it. It ends when the sender is
/// dropped.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub(crate) fn spawn_writer<D: Disk>(disk: D) -> Result<Sender<Roster>> {
    let (tx, rx) = mpsc::channel();
    thread::Builder::new()
        .name("roster".to_owned())
        .spawn(move || write_rosters(&disk, &rx))
        .map_err(Error::Thread)?;
    Ok(tx)
}

fn write_rosters<D: Disk>(disk: &D, rosters: &Receiver<Roster>) {
    let mut unwritten: Option<Roster> = None;
    loop {
        let received = match &unwritten {
            Some(_) => rosters.recv_timeout(RETRY_DELAY),
            None => rosters.recv().map_err(|_| RecvTimeoutError::Disconnected),
        };
        let latest = match received {
            Ok(roster) => rosters.try_iter().last().or(Some(roster)),
            Err(RecvTimeoutError::Timeout) => unwritten.take(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        unwritten = latest.filter(|roster| !write(disk, roster));
    }
}

/// Returns whether the roster is on disk.
fn write<D: Disk>(disk: &D, roster: &Roster) -> bool {
    let written = wire::encode(roster)
        .map_err(|e| e.to_string())
        .and_then(|bytes| replace_file(disk, ROSTER_FILE, &bytes).map_err(|e| e.to_string()));
    written
        .inspect_err(|e| {
            log::warn!(event = "roster_not_written", error = e.as_str(); "cannot write the list of agents");
        })
        .is_ok()
}
