//! The store opens with all that it acknowledged, whatever a power loss left behind.

use crate::disk::{FakeDisk, Fault};
use consensus::{DiskWrite, EntryPayload, Group, LogEntry, LogPosition, Snapshot, WriteId};
use std::collections::{BTreeMap, BTreeSet};
use store::{Category, Disk, RecoveredMember, Store, open, replace_file};
use types::{MemberId, Revision, Term};

/// Sampled subsets of more than eight unsynced names.
const MAX_SUBSETS: usize = 256;

/// Sampled power losses at each change of a second run. Every change of both runs is
/// combined, so the number of cases is their product.
const MAX_SUBSETS_OF_SECOND_RUN: usize = 4;

/// Torn bytes differ between the repetitions of a subset.
const TEARS: u64 = 2;

/// Name of a file that another part keeps beside the log.
const ROSTER: &str = "agents";

/// An operation of the store.
enum Step {
    Write(DiskWrite),
    /// A write that fails because the disk is full. The next one starts a segment.
    FailedWrite(DiskWrite),
    Roster(u8),
}

fn append(from: u64, count: u64, term: u64) -> DiskWrite {
    DiskWrite {
        id: WriteId(from),
        term_and_vote: Some((Term(term), Some(MemberId(term)))),
        truncate_from: Some(Revision(from)),
        snapshot: None,
        entries: (from..from + count)
            .map(|index| LogEntry {
                index: Revision(index),
                term: Term(term),
                payload: EntryPayload::Command(vec![7; 20].into()),
            })
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
            state: vec![7; 30].into(),
        }),
        ..append(index, 0, term)
    }
}

/// Covers creation, appends, truncation, rotation, snapshots that cover one and several
/// segments, an installed snapshot, and the file of another part.
fn steps() -> Vec<Step> {
    use Step::{FailedWrite, Roster, Write};
    let install = DiskWrite {
        truncate_from: Some(Revision(21)),
        entries: append(21, 1, 6).entries,
        ..snapshot(20, 6)
    };
    vec![
        Write(append(1, 3, 1)),
        FailedWrite(append(4, 1, 1)),
        Write(append(4, 2, 2)),
        FailedWrite(append(5, 1, 2)),
        Write(append(5, 2, 3)),
        Roster(1),
        Write(snapshot(3, 1)),
        FailedWrite(append(7, 1, 3)),
        Write(append(7, 1, 3)),
        FailedWrite(append(8, 1, 4)),
        Write(append(8, 0, 4)),
        Write(append(8, 2, 4)),
        Write(snapshot(7, 3)),
        Roster(2),
        FailedWrite(append(10, 1, 4)),
        Write(append(10, 1, 4)),
        FailedWrite(append(11, 1, 4)),
        Write(append(11, 1, 5)),
        Write(snapshot(10, 4)),
        Write(install),
        Write(append(22, 1, 6)),
        FailedWrite(append(23, 1, 6)),
        Write(append(23, 1, 6)),
    ]
}

/// What was acknowledged, and what may be on disk beyond that.
#[derive(Debug, Default, Clone)]
struct Acknowledged {
    member: Option<MemberId>,
    term: Term,
    vote: Option<MemberId>,
    snapshot: u64,
    /// Term of each entry.
    entries: BTreeMap<u64, Term>,
    roster: u8,
    /// Entries of writes that were not acknowledged, and from where these truncate.
    unknown_entries: BTreeSet<(u64, Term)>,
    unknown_truncation: Option<u64>,
}

impl Acknowledged {
    fn start(&mut self, write: &DiskWrite) {
        let entries = write.entries.iter().map(|e| (e.index.0, e.term));
        self.unknown_entries.extend(entries);
        let from = write.truncate_from.map_or(u64::MAX, |from| from.0);
        let known = self.unknown_truncation.unwrap_or(u64::MAX);
        self.unknown_truncation = Some(known.min(from));
    }

    fn finish(&mut self, write: &DiskWrite) {
        if let Some((term, vote)) = write.term_and_vote {
            (self.term, self.vote) = (term, vote);
        }
        if let Some(from) = write.truncate_from {
            self.entries.split_off(&from.0);
        }
        if let Some(snapshot) = &write.snapshot {
            self.snapshot = snapshot.position.index.0;
        }
        let entries = write.entries.iter().map(|e| (e.index.0, e.term));
        self.entries.extend(entries);
        (self.unknown_entries, self.unknown_truncation) = (BTreeSet::new(), None);
    }

    /// What a store returns when it opens may be acknowledged to others.
    fn recover(&mut self, found: &RecoveredMember, disk: &FakeDisk) {
        let restored = &found.restored;
        *self = Acknowledged {
            member: Some(found.member),
            term: restored.term,
            vote: restored.vote,
            snapshot: snapshot_index(found),
            entries: entries(found),
            roster: roster(disk),
            ..Acknowledged::default()
        };
    }

    fn check(&self, found: &RecoveredMember, disk: &FakeDisk, case: &str) {
        assert!(self.member.is_none_or(|id| id == found.member), "{case}");
        let restored = &found.restored;
        assert!(restored.term >= self.term, "{case}: {found:?}");
        if restored.term == self.term && self.vote.is_some() {
            assert_eq!(restored.vote, self.vote, "{case}: {found:?}");
        }
        let (snapshot, found_entries) = (snapshot_index(found), entries(found));
        assert!(snapshot >= self.snapshot, "{case}: {found:?}");
        let end = self.unknown_truncation.unwrap_or(u64::MAX);
        for (index, term) in self.entries.range(snapshot + 1..end.max(snapshot + 1)) {
            let found_term = found_entries.get(index);
            assert_eq!(found_term, Some(term), "{case}: entry {index}, {found:?}");
        }
        for (index, term) in &found_entries {
            let acknowledged = self.entries.get(index) == Some(term);
            let unknown = self.unknown_entries.contains(&(*index, *term));
            assert!(acknowledged || unknown, "{case}: entry {index}, {found:?}");
        }
        assert!(roster(disk) >= self.roster, "{case}");
    }
}

fn snapshot_index(found: &RecoveredMember) -> u64 {
    let snapshot = found.restored.snapshot.as_ref();
    snapshot.map_or(0, |snapshot| snapshot.position.index.0)
}

fn entries(found: &RecoveredMember) -> BTreeMap<u64, Term> {
    let entries = found.restored.entries.iter();
    entries.map(|e| (e.index.0, e.term)).collect()
}

fn roster(disk: &FakeDisk) -> u8 {
    disk.read(ROSTER).map_or(0, |bytes| bytes[0])
}

/// An entry after the last recovered one, a snapshot that covers all, and an entry.
fn next_steps(recovered: &Acknowledged) -> Vec<Step> {
    let last = recovered.entries.keys().last().copied();
    let next = last.unwrap_or(recovered.snapshot) + 1;
    vec![
        Step::Write(append(next, 1, 90)),
        Step::Write(snapshot(next, 90)),
        Step::Write(append(next + 1, 1, 90)),
    ]
}

/// Opens the store and carries out the steps that follow what it recovered, until the
/// process is killed. Returns the store if it is not.
fn run(
    disk: &FakeDisk,
    steps: impl FnOnce(&Acknowledged) -> Vec<Step>,
    acknowledged: &mut Acknowledged,
) -> Option<Store<FakeDisk>> {
    let (mut store, found) = match open(disk.clone()) {
        Ok(opened) => opened,
        Err(e) => {
            assert!(disk.is_killed(), "{e}");
            return None;
        }
    };
    acknowledged.check(&found, disk, "at the start of the run");
    acknowledged.recover(&found, disk);
    for step in steps(acknowledged) {
        match &step {
            Step::Write(write) => {
                acknowledged.start(write);
                if let Err(e) = store.apply(std::slice::from_ref(write)) {
                    assert!(disk.is_killed(), "{e}");
                    return None;
                }
                acknowledged.finish(write);
            }
            Step::FailedWrite(write) => {
                acknowledged.start(write);
                disk.set_fault(Fault::Full);
                store.apply(std::slice::from_ref(write)).unwrap_err();
                disk.set_fault(Fault::None);
            }
            Step::Roster(number) => {
                if replace_file(disk, ROSTER, &[*number; 3]).is_err() {
                    return None;
                }
                acknowledged.roster = *number;
            }
        }
    }
    Some(store)
}

/// Checks that a store opens, and that it takes a write that the next start finds.
fn check_opens(disk: &FakeDisk, acknowledged: &Acknowledged, case: &str) {
    let opened = open(disk.clone()).map_err(|e| e.to_string());
    let (mut store, found) = opened.unwrap_or_else(|e| panic!("{case}: {e}, {:?}", disk.names()));
    acknowledged.check(&found, disk, case);
    let last = entries(&found).into_keys().last();
    let next = last.unwrap_or(snapshot_index(&found)) + 1;
    store.apply(&[append(next, 1, 99)]).unwrap();
    let again = open(disk.crash(0)).unwrap().1;
    assert!(entries(&again).contains_key(&next), "{case}: {again:?}");
}

/// Guards against a host that does not start after a power loss, or starts without what
/// it acknowledged: the power is lost after each change of the folder, and each name
/// that is not synced is kept or lost.
#[test]
fn a_store_opens_after_a_power_loss_at_any_change() {
    for changes in 0.. {
        let disk = FakeDisk::default();
        disk.kill_after(changes);
        let mut acknowledged = Acknowledged::default();
        let finished = run(&disk, |_| steps(), &mut acknowledged).is_some();
        for tear in 0..TEARS {
            let seed = changes as u64 * TEARS + tear;
            for (i, lost) in disk.power_losses(seed, MAX_SUBSETS).iter().enumerate() {
                let case = format!("change {changes}, tear {tear}, subset {i}");
                check_opens(lost, &acknowledged, &case);
            }
        }
        if finished && !disk.is_killed() {
            return;
        }
    }
}

/// Guards against a start that relies on names or bytes that a killed process had not
/// synced, and against a power loss while a store recovers from the one before.
#[test]
fn a_store_opens_after_a_power_loss_in_the_next_run() {
    for first in 0.. {
        let disk = FakeDisk::default();
        disk.kill_after(first);
        let mut before = Acknowledged::default();
        let finished = run(&disk, |_| steps(), &mut before).is_some();
        let power_loss = disk.power_losses(first as u64, 1);
        for (kind, left) in [("kill", &disk), ("power loss", &power_loss[0])] {
            for second in 0.. {
                let disk = left.restart();
                disk.kill_after(second);
                let mut acknowledged = before.clone();
                let next_run = run(&disk, next_steps, &mut acknowledged);
                let seed = (first * 100 + second) as u64;
                for lost in disk.power_losses(seed, MAX_SUBSETS_OF_SECOND_RUN) {
                    let case = format!("{kind} at change {first}, change {second}");
                    check_opens(&lost, &acknowledged, &case);
                }
                if next_run.is_some() && !disk.is_killed() {
                    break;
                }
            }
        }
        if finished && !disk.is_killed() {
            return;
        }
    }
}

/// Guards against a process that is killed while it creates its member id and does not
/// start again, and against a second id for a log that had one.
#[test]
fn an_unfinished_creation_is_completed() {
    let disk = FakeDisk::default();
    drop(open(disk.clone()).unwrap());
    disk.remove_where(|name| name == "member");
    let found = open(disk.clone()).unwrap().1;
    assert_eq!(open(disk.clone()).unwrap().1.member, found.member);
    let (mut store, _) = open(disk.clone()).unwrap();
    store.apply(&[append(1, 1, 1)]).unwrap();
    disk.remove_where(|name| name == "member");
    let e = open(disk).map(drop).unwrap_err();
    assert_eq!(e.category(), Category::Damaged);
}

/// Guards against a store that takes the loss of a file that it needs for the effect of
/// a power loss. The last segment is not tried: its loss is not noticed if segments
/// before it are needed too.
#[test]
fn a_missing_file_that_is_needed_is_an_error() {
    let disk = FakeDisk::default();
    let mut steps = steps();
    steps.push(Step::FailedWrite(append(24, 1, 6)));
    steps.push(Step::Write(append(24, 1, 6)));
    run(&disk, |_| steps, &mut Acknowledged::default()).unwrap();
    let names = disk.names();
    let segments: Vec<_> = names.iter().filter(|n| n.starts_with("log-")).collect();
    assert!(segments.len() >= 3, "{segments:?}");
    let optional = [ROSTER, segments.last().unwrap()];
    for name in names.iter().filter(|n| !optional.contains(&n.as_str())) {
        let damaged = disk.restart();
        damaged.remove_where(|other| other == name);
        let e = open(damaged).map(drop).expect_err(name);
        assert_eq!(e.category(), Category::Damaged, "{name}");
    }
    // The last segment holds only a vote, so the entries are consecutive without the
    // segments before it.
    let disk = FakeDisk::default();
    let steps = vec![
        Step::Write(append(1, 3, 1)),
        Step::FailedWrite(append(4, 1, 1)),
        Step::Write(append(4, 2, 1)),
        Step::FailedWrite(append(6, 1, 1)),
        Step::Write(append(6, 0, 2)),
    ];
    run(&disk, |_| steps, &mut Acknowledged::default()).unwrap();
    for lost in [&["1"][..], &["2"], &["1", "2"], &["1", "2", "3"]] {
        let damaged = disk.restart();
        damaged.remove_where(|name| {
            name.starts_with("log-") && lost.iter().any(|number| name.ends_with(number))
        });
        let e = open(damaged).map(drop).unwrap_err();
        assert_eq!(e.category(), Category::Damaged, "without {lost:?}");
    }
}

/// Guards against a folder of an earlier version, whose snapshots do not state the
/// first segment, that does not open or opens with a gap.
#[test]
fn a_snapshot_without_the_first_segment_needs_all_segments_from_the_lowest() {
    let disk = FakeDisk::default();
    let mut acknowledged = Acknowledged::default();
    let mut steps = steps();
    steps.push(Step::FailedWrite(append(24, 1, 6)));
    steps.push(Step::Write(append(24, 0, 7)));
    run(&disk, |_| steps, &mut acknowledged).unwrap();
    disk.edit("snapshot-", |data| {
        let body_len = u32::from_le_bytes(data[..4].try_into().unwrap());
        data.truncate(8 + usize::try_from(body_len).unwrap());
    });
    check_opens(&disk.restart(), &acknowledged, "earlier version");
    let names = disk.names();
    let segments: Vec<_> = names.iter().filter(|n| n.starts_with("log-")).collect();
    assert!(segments.len() >= 3, "{segments:?}");
    disk.remove_where(|name| name == segments[1]);
    let e = open(disk).map(drop).unwrap_err();
    assert_eq!(e.category(), Category::Damaged);
}
