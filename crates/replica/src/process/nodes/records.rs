//! Keeping records for other nodes.

use std::{
    sync::mpsc::Sender,
    time::{Duration, Instant},
};

use directory::{NodeRecord, RecordQuery, RecordReply, RecordStore, RecordStoreSettings};

use super::NodeTask;
use crate::process::record_file::ShardRecords;

/// Interval between writes of changed records. A crash of the process or a loss of power
/// loses the changes of this time.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);

/// The records that this host keeps.
pub(crate) struct KeptRecords {
    store: RecordStore,
    writer: Sender<Vec<ShardRecords>>,
    write_at: Instant,
}

impl KeptRecords {
    /// The records from before the start, and the thread that writes changed ones.
    pub fn new(restored: Vec<NodeRecord>, writer: Sender<Vec<ShardRecords>>) -> Self {
        let now = Instant::now();
        let mut store = RecordStore::new(RecordStoreSettings::default());
        for record in restored {
            store.store(record, now);
        }
        // The files hold what was restored.
        store.take_changed();
        KeptRecords {
            store,
            writer,
            write_at: now + WRITE_INTERVAL,
        }
    }
}

impl NodeTask {
    pub(super) fn keep_record(&mut self, record: NodeRecord, now: Instant) {
        if let Some(records) = &mut self.records {
            records.store.store(record, now);
        }
    }

    /// Sends a node the records that it has not received yet. A host that keeps none
    /// says so, too.
    pub(super) async fn answer_record_query(&self, query: RecordQuery) {
        let Some(records) = &self.records else {
            return self.send(query.reply_to, &RecordReply::NoMore).await;
        };
        let missing = records.store.missing(query.owner, &query.received);
        let missing = missing.filter(|record| record.incarnation != query.incarnation);
        let missing: Vec<NodeRecord> = missing.cloned().collect();
        if missing.is_empty() {
            return self.send(query.reply_to, &RecordReply::NoMore).await;
        }
        for record in missing {
            self.send(query.reply_to, &RecordReply::Kept(record)).await;
        }
    }

    /// Removes expired records, and writes changed ones once per `WRITE_INTERVAL`.
    pub(super) fn write_records(&mut self, now: Instant) {
        let Some(records) = &mut self.records else {
            return;
        };
        if now < records.write_at {
            return;
        }
        records.write_at = now + WRITE_INTERVAL;
        records.store.expire(now);
        let changed = records.store.take_changed();
        if !changed.is_empty() {
            // The thread only ends with the process.
            let _ = records.writer.send(changed);
        }
    }
}
