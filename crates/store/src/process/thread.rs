//! The thread that owns the store.

use super::{Disk, Store};
use crate::error::Result;
use consensus::{DiskWrite, WriteId};
use std::thread::JoinHandle;
use tokio::sync::mpsc;

/// Capacity of the queues of writes and reports. When the queue of writes is
/// full, its sender waits.
const QUEUE_CAPACITY: usize = 64;

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriteReport {
    /// Id of the write.
    pub id: WriteId,
    /// Whether the write is synced. If not, any part of it may be on disk.
    pub synced: bool,
    /// Number of syncs since the store was opened.
    pub sync_count: u64,
}

/// Channels to the thread that owns the store. The thread ends after `writes` is
/// dropped and the queued writes are done, or after `reports` is dropped and the
/// next report cannot be sent.
#[derive(Debug)]
pub struct StoreHandle {
    /// Sends writes, which are applied in order.
    pub writes: mpsc::Sender<DiskWrite>,
    /// Receives one report for each write, in order.
    pub reports: mpsc::Receiver<WriteReport>,
    /// The thread. The folder is unlocked when it has ended.
    pub thread: JoinHandle<()>,
}

/// Moves the store to its own thread.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn spawn<D: Disk>(mut store: Store<D>) -> Result<StoreHandle>
where
    D::File: 'static,
{
    let (writes, mut writes_rx) = mpsc::channel(QUEUE_CAPACITY);
    let (reports_tx, reports) = mpsc::channel(QUEUE_CAPACITY);
    let run = move || {
        let mut batch = Vec::with_capacity(QUEUE_CAPACITY);
        // Blocks until a write arrives, then receives all that are queued.
        while writes_rx.blocking_recv_many(&mut batch, QUEUE_CAPACITY) > 0 {
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
                if reports_tx.blocking_send(report).is_err() {
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
