//! The store keeps synced writes across disk faults, crashes and restarts.

mod disk;
mod power_loss;

use arbtest::arbtest;
use consensus::{DiskWrite, EntryPayload, Group, LogEntry, LogPosition, Snapshot, WriteId};
use disk::{FakeDisk, Fault};
use store::{Category, DataDir, RecoveredMember, Store, open};
use types::{MemberId, Revision, Term};

/// Number of random cases; the case number is the seed.
const RANDOM_CASES: u64 = 128;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 128;

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry {
        index: Revision(index),
        term: Term(term),
        payload: EntryPayload::Command(vec![u8::try_from(index % 251).unwrap(); 40].into()),
    }
}

fn append(from: u64, count: u64, term: u64) -> DiskWrite {
    DiskWrite {
        id: WriteId(from),
        term_and_vote: Some((Term(term), None)),
        truncate_from: Some(Revision(from)),
        snapshot: None,
        entries: (from..from + count)
            .map(|index| entry(index, term))
            .collect(),
    }
}

fn snapshot(index: u64, term: u64) -> DiskWrite {
    DiskWrite {
        term_and_vote: None,
        truncate_from: None,
        snapshot: Some(Snapshot {
            position: LogPosition {
                term: Term(term),
                index: Revision(index),
            },
            group: Group::default(),
            state: vec![7; 100].into(),
        }),
        entries: Vec::new(),
        ..append(index, 0, term)
    }
}

fn reopen(disk: &FakeDisk) -> (Store<FakeDisk>, RecoveredMember) {
    open(disk.crash(0)).unwrap()
}

fn indexes(found: &RecoveredMember) -> Vec<u64> {
    found.restored.entries.iter().map(|e| e.index.0).collect()
}

/// Guards against a restart that loses or reorders synced writes.
#[test]
fn synced_writes_survive_a_crash() {
    let disk = FakeDisk::default();
    let (mut store, first) = open(disk.clone()).unwrap();
    store.apply(&[append(1, 5, 1)]).unwrap();
    let before = store.sync_count();
    store.apply(&[append(4, 1, 2), append(5, 2, 2)]).unwrap();
    assert_eq!(store.sync_count(), before + 1, "queued writes share a sync");
    let (mut store, found) = reopen(&disk);
    assert_eq!(found.member, first.member);
    assert_eq!(indexes(&found), [1, 2, 3, 4, 5, 6]);
    assert_eq!(found.restored.entries[3].term, Term(2));
    assert_eq!(found.restored.term, Term(2));
    let gap = store.apply(&[append(9, 1, 2)]).unwrap_err();
    assert_eq!(gap.category(), Category::Gap);
}

/// Guards against a failed write that leaves a partial or unsynced record before
/// later ones, or that loses data that was synced earlier.
#[test]
fn writes_continue_after_a_failed_one() {
    for fault in [Fault::Full, Fault::ReadOnly, Fault::Sync] {
        for keep in [0, 3, 1000] {
            let disk = FakeDisk::default();
            let (mut store, _) = open(disk.clone()).unwrap();
            store.apply(&[append(1, 3, 1)]).unwrap();
            disk.set_fault(fault);
            for _ in 0..2 {
                let failed = store.apply(&[append(4, 2, 1)]).unwrap_err();
                assert_eq!(failed.category(), Category::Io);
            }
            let crashed = open(disk.crash(keep)).unwrap().1;
            assert_eq!(indexes(&crashed)[..3], [1, 2, 3]);
            disk.set_fault(Fault::None);
            store.apply(&[append(4, 1, 2)]).unwrap();
            let found = reopen(&disk).1;
            assert_eq!(indexes(&found), [1, 2, 3, 4]);
            assert_eq!(found.restored.entries[3].term, Term(2));
        }
    }
}

/// Guards against a host that cannot start because a crash left a partial record
/// at the end of the log.
#[test]
fn a_partial_record_at_the_end_is_removed() {
    let cases: [fn(&mut Vec<u8>); 4] = [
        |data| data.truncate(data.len() - 1),
        |data| *data.last_mut().unwrap() ^= 1,
        |data| data.extend([0; 64]),
        |data| data.extend([9, 0, 0]),
    ];
    for (i, tear) in cases.into_iter().enumerate() {
        let disk = FakeDisk::default();
        let (mut store, _) = open(disk.clone()).unwrap();
        store.apply(&[append(1, 2, 1)]).unwrap();
        store.apply(&[append(3, 1, 1)]).unwrap();
        disk.edit("log-", tear);
        let torn = disk.crash(0);
        let (mut store, found) = open(torn.clone()).unwrap();
        let kept = if i < 2 { 2 } else { 3 };
        assert_eq!(indexes(&found), (1..=kept).collect::<Vec<_>>(), "case {i}");
        store.apply(&[append(kept + 1, 1, 2)]).unwrap();
        assert_eq!(indexes(&reopen(&torn).1).len() as u64, kept + 1);
    }
}

/// Guards against dropping synced entries that follow a damaged record without
/// an error, and against an error that does not name the place and the remedy.
#[test]
fn damage_before_valid_records_is_an_error() {
    let cases: [fn(&mut Vec<u8>); 3] = [
        |data| data[20] ^= 1,
        |data| data[0] ^= 0x40,
        |data| data[..8].fill(0xff),
    ];
    for damage in cases {
        let disk = FakeDisk::default();
        let (mut store, _) = open(disk.clone()).unwrap();
        store.apply(&[append(1, 2, 1)]).unwrap();
        store.apply(&[append(3, 1, 1)]).unwrap();
        disk.edit("log-", damage);
        let e = open(disk.crash(0)).map(drop).unwrap_err();
        assert_eq!(e.category(), Category::Damaged);
        let text = e.to_string();
        assert!(
            text.contains("log-0000000000000001 is damaged at offset 0"),
            "{text}"
        );
        assert!(text.contains("limpetctl control replace"), "{text}");
    }
}

/// Guards against a host that votes under its old id after it has lost its log.
#[test]
fn missing_files_are_an_error() {
    for missing in ["log-", "member", "snapshot-"] {
        let disk = FakeDisk::default();
        let (mut store, _) = open(disk.clone()).unwrap();
        store.apply(&[append(1, 4, 1)]).unwrap();
        store.apply(&[snapshot(4, 1)]).unwrap();
        store.apply(&[append(5, 1, 1)]).unwrap();
        disk.remove_where(|name| name.starts_with(missing));
        let found = open(disk.crash(0)).map(drop).unwrap_err();
        assert_eq!(found.category(), Category::Damaged, "without {missing}");
    }
}

/// Guards against unbounded growth of the log, and against a vote that is lost
/// when the segment that contains it is removed.
#[test]
fn snapshots_replace_old_segments() {
    let disk = FakeDisk::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    let mut large = append(1, 2, 3);
    large.entries[0].payload = EntryPayload::Command(vec![1; 5 << 20].into());
    large.term_and_vote = Some((Term(3), Some(MemberId(8))));
    store.apply(&[large]).unwrap();
    let mut plain = append(3, 1, 3);
    plain.term_and_vote = None;
    store.apply(&[plain]).unwrap();
    store.apply(&[snapshot(2, 3)]).unwrap();
    let expected = [
        "layout",
        "log-0000000000000002",
        "member",
        "snapshot-0000000000000002",
    ];
    assert_eq!(disk.names(), expected);
    let found = reopen(&disk).1;
    assert_eq!(indexes(&found), [3]);
    assert_eq!(found.restored.vote, Some(MemberId(8)));
    assert_eq!(found.restored.snapshot.unwrap().position.index, Revision(2));
}

/// Guards against entries of the old log that remain after the installation of a
/// snapshot that conflicts with them.
#[test]
fn an_installed_snapshot_replaces_the_old_log() {
    let disk = FakeDisk::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    store.apply(&[append(1, 12, 1)]).unwrap();
    let install = DiskWrite {
        truncate_from: Some(Revision(11)),
        ..snapshot(10, 4)
    };
    store.apply(std::slice::from_ref(&install)).unwrap();
    assert_eq!(indexes(&reopen(&disk).1), []);
    let entries = vec![entry(11, 4)];
    store.apply(&[DiskWrite { entries, ..install }]).unwrap();
    let found = reopen(&disk).1;
    assert_eq!(indexes(&found), [11]);
    assert_eq!(found.restored.entries[0].term, Term(4));
}

/// Guards against the loss of a write that was reported as synced, under random
/// sequences of writes, faults and crashes.
#[test]
fn reported_writes_survive_random_faults() {
    for case in 0..RANDOM_CASES {
        arbtest(|u| {
            let mut disk = FakeDisk::default();
            let (mut store, _) = open(disk.clone()).unwrap();
            let (mut last, mut term) = (0, 1);
            while !u.is_empty() {
                let fault: u8 = u.int_in_range(0..=7)?;
                let faults = [Fault::Full, Fault::ReadOnly, Fault::Sync];
                disk.set_fault(faults.get(usize::from(fault)).copied().unwrap_or_default());
                let from = u.int_in_range(last.max(3) - 2..=last + 1)?.min(last + 1);
                term += 1;
                if store.apply(&[append(from, 2, term)]).is_ok() {
                    last = from + 1;
                    let found = reopen(&disk).1;
                    assert_eq!(indexes(&found).len() as u64, last);
                    assert_eq!(found.restored.term, Term(term));
                } else if u.arbitrary()? {
                    disk = disk.crash(u.int_in_range(0..=200)?);
                    let (opened, found) = open(disk.clone()).unwrap();
                    store = opened;
                    last = indexes(&found).len() as u64;
                }
            }
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against two processes that use one folder, against a member id that
/// changes, and against a folder with another layout.
#[test]
fn a_folder_is_locked_and_keeps_its_member_id() {
    let dir = tempfile::tempdir().unwrap();
    let (store, found) = open(DataDir::new(dir.path()).unwrap()).unwrap();
    assert_eq!(
        DataDir::new(dir.path()).unwrap_err().category(),
        Category::Locked
    );
    drop(store);
    let again = open(DataDir::new(dir.path()).unwrap()).unwrap().1;
    assert_eq!(again.member, found.member);
    std::fs::write(dir.path().join("layout"), "2").unwrap();
    let e = open(DataDir::new(dir.path()).unwrap())
        .map(drop)
        .unwrap_err();
    assert_eq!(e.category(), Category::Layout);
}

/// Guards against a write that is never reported, or reported out of order.
#[test]
fn the_thread_reports_every_write() {
    let dir = tempfile::tempdir().unwrap();
    let (store, _) = open(DataDir::new(dir.path()).unwrap()).unwrap();
    let mut handle = store::spawn(store).unwrap();
    for index in 1..=20 {
        handle.writes.blocking_send(append(index, 1, 1)).unwrap();
    }
    for index in 1..=20 {
        let report = handle.reports.blocking_recv().unwrap();
        assert_eq!((report.id, report.synced), (WriteId(index), true));
        assert!(report.sync_count <= index, "more syncs than writes");
    }
    drop(handle.writes);
    handle.thread.join().unwrap();
    let found = open(DataDir::new(dir.path()).unwrap()).unwrap().1;
    assert_eq!(indexes(&found).len(), 20);
}

/// Guards against a damaged folder that ends a control host by a panic instead of an error
/// with the name of the file.
#[test]
fn no_damage_panics() {
    let disk = FakeDisk::default();
    let (mut store, _) = open(disk.clone()).unwrap();
    store.apply(&[append(1, 5, 1), snapshot(3, 1)]).unwrap();
    store.apply(&[append(6, 3, 2)]).unwrap();
    drop(store);
    let synced = disk.crash(0);
    for prefix in ["layout", "log-", "member", "snapshot-"] {
        let mut valid = Vec::new();
        synced.crash(0).edit(prefix, |data| valid.clone_from(data));
        mutations::for_each(&valid, |input| {
            let damaged = synced.crash(0);
            damaged.edit(prefix, |data| *data = input.to_vec());
            let _ = open(damaged);
        });
    }
    // Records with a right checksum reach the decoder and the replay.
    for prefix in ["log-", "snapshot-"] {
        let name = synced
            .names()
            .into_iter()
            .rfind(|name| name.starts_with(prefix));
        let number = &name.unwrap()[prefix.len()..];
        let number = u64::from_str_radix(number, 16).unwrap();
        let mut valid = Vec::new();
        synced.crash(0).edit(prefix, |data| {
            let len = u32::from_le_bytes(data[..4].try_into().unwrap());
            valid = data[8..8 + usize::try_from(len).unwrap()].to_vec();
            assert!(data.starts_with(&record(number, &valid)));
        });
        mutations::for_each(&valid, |body| {
            let changed = synced.crash(0);
            changed.edit(prefix, |data| *data = record(number, body));
            let _ = open(changed);
        });
    }
}

/// A record at the start of the file with this number.
fn record(file_number: u64, body: &[u8]) -> Vec<u8> {
    let len = u32::try_from(body.len()).unwrap().to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    let parts: [&[u8]; 4] = [&file_number.to_le_bytes(), &[0; 8], &len, body];
    for part in parts {
        hasher.update(part);
    }
    let crc = hasher.finalize().to_le_bytes();
    [&len, &crc, body].concat()
}
