//! Records that control hosts keep for other nodes.

use std::{
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use bytes::Bytes;
use directory::{NodeRecord, RecordFetch, RecordStore, RecordStoreSettings};

fn address(n: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, n].into(), 7000)
}

fn record(owner: u8, incarnation: u64, part: u16, parts: u16) -> NodeRecord {
    NodeRecord {
        owner: address(owner),
        incarnation,
        part,
        parts,
        content: Bytes::from(vec![owner; 100]),
    }
}

fn kept(store: &RecordStore, owner: u8) -> Vec<(u64, u16, u16)> {
    let records = store.missing(address(owner), &[]);
    let numbers = records.map(|record| (record.incarnation, record.part, record.parts));
    numbers.collect()
}

/// Guards against a mix of the states of two processes, or of two divisions of one state:
/// ended flows would count as held.
#[test]
fn a_record_replaces_those_of_another_process_or_division() {
    let now = Instant::now();
    let mut store = RecordStore::default();
    for part in [0, 1] {
        assert!(store.store(record(1, 7, part, 2), now));
    }
    assert_eq!(kept(&store, 1), [(7, 0, 2), (7, 1, 2)]);
    assert!(store.store(record(1, 7, 3, 4), now));
    assert_eq!(kept(&store, 1), [(7, 3, 4)]);
    assert!(store.store(record(1, 8, 0, 4), now));
    assert_eq!(kept(&store, 1), [(8, 0, 4)]);
    assert_eq!(store.missing(address(1), &[0]).count(), 0);
}

/// Guards against a control host whose memory grows with nodes that are gone, or with
/// records that no node sends, and against files that keep what was removed.
#[test]
fn records_are_bounded_and_expire() {
    let now = Instant::now();
    let settings = RecordStoreSettings {
        max_bytes: 250,
        ..RecordStoreSettings::default()
    };
    let mut store = RecordStore::new(settings);
    assert!(!store.store(record(1, 7, 2, 2), now), "no such part");
    assert!(store.store(record(1, 7, 0, 2), now));
    assert!(store.store(record(1, 7, 1, 2), now));
    assert!(!store.store(record(2, 7, 0, 1), now), "no room");
    assert!(store.store(record(1, 7, 0, 2), now), "it replaces a part");
    assert_eq!(store.take_changed().len(), 1);
    assert!(store.store(record(1, 7, 0, 2), now));
    assert_eq!(store.take_changed().len(), 0, "nothing has changed");
    store.expire(now + settings.retention);
    assert_eq!(kept(&store, 1), []);
    let changed = store.take_changed();
    assert!(changed.iter().all(|(_, records)| records.is_empty()));
    assert_eq!(changed.len(), 1);
    assert!(store.store(record(2, 7, 0, 1), now), "there is room again");
}

/// Guards against a fetch that ends before a control host that starts at the same time
/// can be asked, that ends without the records after a lost message, or that never ends.
#[test]
fn a_fetch_asks_until_all_hosts_have_no_more() {
    let start = Instant::now();
    let mut fetch = RecordFetch::new(start);
    assert_eq!(fetch.due([], start), []);
    assert_eq!(fetch.due([address(1)], start), [(address(1), vec![])]);
    assert!(fetch.handle_record(address(1), &record(9, 7, 1, 2)));
    assert!(
        !fetch.handle_record(address(1), &record(9, 7, 1, 2)),
        "twice"
    );
    assert!(
        !fetch.handle_record(address(3), &record(9, 7, 0, 2)),
        "not asked"
    );
    assert_eq!(fetch.due([address(2)], start), [(address(2), vec![])]);
    let later = start + Duration::from_millis(100);
    let due = fetch.due([], later);
    assert_eq!(due, [(address(1), vec![1]), (address(2), vec![])]);
    fetch.handle_no_more(address(1));
    fetch.handle_no_more(address(2));
    assert!(!fetch.has_ended(later));
    assert!(fetch.has_ended(start + Duration::from_secs(2)));
    let fetch = RecordFetch::new(start);
    assert!(!fetch.has_ended(start + Duration::from_secs(9)));
    assert!(fetch.has_ended(start + Duration::from_secs(10)));
}
