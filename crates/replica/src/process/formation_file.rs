//! The file that holds the acceptor state of a seed.

use std::{future::Future, io};

use store::{Disk, replace_file};

use super::Settings;
use crate::{Error, Result, version::AcceptorState};

/// Name of the file in the data folder.
const FORMATION_FILE: &str = "formation";

/// Where a seed saves its acceptor state.
pub(crate) trait AcceptorStorage: 'static {
    /// Makes the state durable.
    fn save(&self, state: AcceptorState) -> impl Future<Output = Result<()>>;
}

/// The storage of a seed without a disk, which never acts as an acceptor again after
/// its process has ended.
#[derive(Debug)]
pub(crate) struct NoStorage;

impl AcceptorStorage for NoStorage {
    async fn save(&self, _: AcceptorState) -> Result<()> {
        Ok(())
    }
}

/// Saves the state in the data folder.
#[derive(Debug)]
pub(crate) struct DiskStorage<D>(pub D);

impl<D: Disk + Clone> AcceptorStorage for DiskStorage<D> {
    async fn save(&self, state: AcceptorState) -> Result<()> {
        let disk = self.0.clone();
        // A sync may take long; the other tasks of the thread continue.
        actix_rt::task::spawn_blocking(move || write(&disk, &state))
            .await
            .map_err(|e| Error::Thread(e.into()))?
    }
}

fn write<D: Disk>(disk: &D, state: &AcceptorState) -> Result<()> {
    let bytes = wire::encode(state)?;
    Ok(replace_file(disk, FORMATION_FILE, &bytes)?)
}

/// The acceptor state of a seed at its start; `None` if the host is not an acceptor. A
/// seed creates the file at the deployment's first start, before it sends anything.
/// Without it at a later start, the seed has lost its promises, and must not answer as
/// an acceptor again. `blank` tells whether the host is in no group.
///
/// # Errors
///
/// The file cannot be created.
pub(crate) fn open<D: Disk>(
    disk: &D,
    cfg: &Settings,
    blank: bool,
) -> Result<Option<AcceptorState>> {
    match disk.read(FORMATION_FILE) {
        Ok(bytes) => match wire::decode(&bytes) {
            Ok(state) => return Ok(Some(state)),
            Err(e) => {
                log::error!(event = "formation_unreadable", error:% = e; "cannot read the acceptor state; this host takes no part in forming the group");
                return Ok(None);
            }
        },
        Err(e) if e.kind() == io::ErrorKind::NotFound => {}
        Err(e) => {
            log::error!(event = "formation_unreadable", error:% = e; "cannot read the acceptor state; this host takes no part in forming the group");
            return Ok(None);
        }
    }
    let state = initial(cfg).filter(|_| blank);
    if let Some(state) = &state {
        write(disk, state)?;
    }
    Ok(state)
}

/// The acceptor state of a seed without a saved one; `None` if the host is not a seed,
/// or if this is not the deployment's first start.
pub(crate) fn initial(cfg: &Settings) -> Option<AcceptorState> {
    let seeds = cfg.seeds.borrow();
    if !seeds.contains(&cfg.ip) {
        return None;
    }
    if !cfg.bootstrap {
        log::info!(event = "acceptor_lost"; "this seed has no acceptor state from an earlier start; it takes no part in forming the first group");
        return None;
    }
    Some(AcceptorState::new(seeds.iter().copied().collect()))
}
