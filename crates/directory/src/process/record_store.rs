//! Records that a control host keeps for other nodes.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use crate::NodeRecord;

/// Number of shards. A change rewrites the file of one shard.
const SHARDS: u8 = 16;

/// A group of nodes whose records are written to one file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RecordShard(u8);

impl RecordShard {
    /// All shards.
    pub fn all() -> impl Iterator<Item = RecordShard> {
        (0..SHARDS).map(RecordShard)
    }

    /// The last byte of the address spreads the hosts of a subnet evenly.
    fn of(owner: SocketAddrV4) -> Self {
        let [.., last] = owner.ip().octets();
        RecordShard(last % SHARDS)
    }
}

impl fmt::Display for RecordShard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:02}", self.0)
    }
}

/// Limits of a [`RecordStore`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordStoreSettings {
    /// Records that were not sent again for this long are removed. Agents send theirs every
    /// 5 s, and the callers of an agent that is away for a minute have given up.
    pub retention: Duration,
    /// Maximum size of all records. It is a small part of the memory of a control host
    /// and of its disk, and room for 40,000 flows at 50 bytes each.
    pub max_bytes: usize,
}

impl Default for RecordStoreSettings {
    fn default() -> Self {
        RecordStoreSettings {
            retention: Duration::from_mins(1),
            max_bytes: 2 << 20,
        }
    }
}

/// The records that a control host keeps, by the address of their node.
#[derive(Debug, Default)]
pub struct RecordStore {
    settings: RecordStoreSettings,
    owners: BTreeMap<SocketAddrV4, OwnerRecords>,
    /// Size of all records.
    bytes: usize,
    /// Shards whose records have changed since they were taken.
    changed: BTreeSet<RecordShard>,
}

#[derive(Debug)]
struct OwnerRecords {
    incarnation: u64,
    stored_at: Instant,
    /// All of one incarnation and one number of parts.
    parts: BTreeMap<u16, NodeRecord>,
}

impl OwnerRecords {
    fn bytes(&self) -> usize {
        self.parts.values().map(|record| record.content.len()).sum()
    }

    /// Whether the record belongs to the same division of the same process's state.
    fn accepts(&self, record: &NodeRecord) -> bool {
        let parts = self.parts.values().next().map(|stored| stored.parts);
        self.incarnation == record.incarnation && parts.is_none_or(|parts| parts == record.parts)
    }
}

impl RecordStore {
    /// No records yet.
    #[must_use]
    pub fn new(settings: RecordStoreSettings) -> Self {
        RecordStore {
            settings,
            ..RecordStore::default()
        }
    }

    /// Stores a record. Records of another incarnation or of another number of parts are
    /// out of date and are removed. Returns whether the record is stored.
    pub fn store(&mut self, record: NodeRecord, now: Instant) -> bool {
        let stored = self.owners.get(&record.owner);
        let replaced = stored.map_or(0, |owner| match owner.parts.get(&record.part) {
            _ if !owner.accepts(&record) => owner.bytes(),
            Some(former) => former.content.len(),
            None => 0,
        });
        let bytes = self.bytes - replaced + record.content.len();
        if !record.is_valid() || bytes > self.settings.max_bytes {
            return false;
        }
        let owner = self.owners.entry(record.owner);
        let owner = owner.or_insert_with(|| OwnerRecords {
            incarnation: record.incarnation,
            stored_at: now,
            parts: BTreeMap::new(),
        });
        if !owner.accepts(&record) {
            owner.incarnation = record.incarnation;
            owner.parts.clear();
        }
        owner.stored_at = now;
        self.bytes = bytes;
        let shard = RecordShard::of(record.owner);
        if owner.parts.get(&record.part) != Some(&record) {
            owner.parts.insert(record.part, record);
            self.changed.insert(shard);
        }
        true
    }

    /// The records of a node that it has not received yet.
    pub fn missing<'a>(
        &'a self,
        owner: SocketAddrV4,
        received: &'a [u16],
    ) -> impl Iterator<Item = &'a NodeRecord> {
        let records = self.owners.get(&owner).into_iter();
        let records = records.flat_map(|owner| owner.parts.values());
        records.filter(|record| !received.contains(&record.part))
    }

    /// Removes records that were not sent again for long.
    pub fn expire(&mut self, now: Instant) {
        let retention = self.settings.retention;
        let (changed, bytes) = (&mut self.changed, &mut self.bytes);
        self.owners.retain(|address, owner| {
            let is_kept = now < owner.stored_at + retention;
            if !is_kept {
                *bytes -= owner.bytes();
                changed.insert(RecordShard::of(*address));
            }
            is_kept
        });
    }

    /// The records of the shards that have changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(RecordShard, Vec<NodeRecord>)> {
        let changed = std::mem::take(&mut self.changed);
        let records_of = |shard: RecordShard| {
            let owners = self.owners.iter();
            let owners = owners.filter(|(address, _)| RecordShard::of(**address) == shard);
            let records = owners.flat_map(|(_, owner)| owner.parts.values().cloned());
            (shard, records.collect())
        };
        changed.into_iter().map(records_of).collect()
    }
}
