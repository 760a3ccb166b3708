//! The thread that owns the store.

use super::{Disk, Store};
use crate::error::Result;
use consensus::{DiskWrite, WriteId};
use std::thread::JoinHandle;
use tokio::sync::mpsc;

/// Writes that may wait for the disk before the sender has to.
const QUEUE: usize = 64;

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteReport {
    /// The write.
    pub id: WriteId,
    /// Whether it is synced. If not, any part of it may be on disk.
    pub synced: bool,
    /// How many syncs the store has made so far.
    pub sync_count: u64,
}

/// The way to the thread that owns the store. The thread ends once `writes`
/// and `reports` are dropped and what was queued is done.
#[derive(Debug)]
pub struct StoreHandle {
    /// Takes writes, in order.
    pub writes: mpsc::Sender<DiskWrite>,
    /// Gives one report for each write, in order.
    pub reports: mpsc::Receiver<WriteReport>,
    /// The thread; joining it waits until the folder is unlocked.
    pub thread: JoinHandle<()>,
}

/// Moves the store to a thread of its own.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn spawn<D: Disk>(mut store: Store<D>) -> Result<StoreHandle>
where
    D::File: 'static,
{
    let (writes, mut queue) = mpsc::channel(QUEUE);
    let (tx, reports) = mpsc::channel(QUEUE);
    let run = move || {
        let mut batch = Vec::with_capacity(QUEUE);
        // Blocks until a write arrives, then takes all that are queued.
        while queue.blocking_recv_many(&mut batch, QUEUE) > 0 {
            let result = store.apply(&batch);
            if let Err(e) = &result {
                log::error!(error:% = e; "could not write to the data folder");
            }
            for write in batch.drain(..) {
                let report = WriteReport {
                    id: write.id,
                    synced: result.is_ok(),
                    sync_count: store.sync_count(),
                };
                if tx.blocking_send(report).is_err() {
                    return;
                }
            }
        }
    };
    let thread = std::thread::Builder::new().name("store".to_owned());
    let thread = thread.spawn(run);
    let thread = thread.map_err(crate::Error::io("start", "the store thread"))?;
    Ok(StoreHandle {
        writes,
        reports,
        thread,
    })
}
