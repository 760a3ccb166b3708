//! In-memory cluster with simulated disks and a message queue, and the
//! invariants that are checked after every step.
#![allow(dead_code)]

use consensus::{
    Completion, Consensus, DiskWrite, EntryPayload, Envelope, Group, GroupChange, Input, LogEntry,
    MemberIdentity, MessageBody, Output, RequestToken, RestoredState, Settings, Status, Transfer,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use types::{MemberId, Revision, Term};

pub const STEP_DURATION: Duration = Duration::from_millis(20);

/// One proposal in this many has a large command.
const LARGE_COMMAND_PERIOD: u64 = 3;

/// Size of a large command, in bytes.
const LARGE_COMMAND_BYTES: usize = 100_000;

pub fn address(id: MemberId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + u16::try_from(id.0).unwrap()))
}

#[derive(Clone)]
pub struct SimulatedProcess {
    pub member: Option<Consensus>,
    pub disk: RestoredState,
    pending_write: Option<DiskWrite>,
    /// Inputs that are queued while the process is suspended.
    queued_inputs: Vec<Input>,
    pub suspended: bool,
    pub disk_full: bool,
    /// Writes are neither completed nor failed while this is set.
    pub disk_stalled: bool,
    /// When the pending write is on disk at the earliest.
    synced_at: Instant,
    applied_index: Revision,
    /// The effective group after the last step.
    group: Option<Group>,
}

/// Random faults of the network.
#[derive(Default, Clone, Copy)]
pub struct MessageFaults {
    pub drop: bool,
    pub duplicate: bool,
    pub delay: bool,
}

#[derive(Clone)]
pub struct Cluster {
    settings: Settings,
    pub now: Instant,
    /// Minimum duration of a write.
    pub write_time: Duration,
    pub processes: BTreeMap<MemberId, SimulatedProcess>,
    /// Hosts that have the address of a former one, by their ids.
    successor_addresses: BTreeMap<MemberId, SocketAddr>,
    /// Members whose disks are lost.
    lost: BTreeSet<MemberId>,
    pub queue: Vec<Envelope>,
    /// Pairs (from, to) whose messages are lost.
    pub blocked_links: BTreeSet<(MemberId, MemberId)>,
    pub message_faults: MessageFaults,
    pub events: Vec<(MemberId, Completion)>,
    /// Every entry that was committed on any member.
    pub committed: BTreeMap<Revision, LogEntry>,
    pub accepted: BTreeMap<RequestToken, Revision>,
    /// For each pending read, the highest accepted index when it was requested.
    accepted_before_read: BTreeMap<RequestToken, Revision>,
    leader_by_term: BTreeMap<Term, MemberId>,
    /// Transfers that were sent and have not ended, by sender and receiver.
    in_transit: BTreeMap<(MemberId, MemberId), InTransit>,
    /// Number of heartbeats sent to a member with a transfer in transit.
    pub heartbeats_beside_transfers: u64,
    /// Transfers that are withheld, while that is set.
    pub withheld: Option<Vec<Envelope>>,
    rng_state: u64,
    last_token: u64,
}

/// A transfer in transit.
#[derive(Clone)]
struct InTransit {
    term: Term,
    deadline: Instant,
    /// The position before its entries; `None` for a snapshot.
    before: Option<Revision>,
}

impl Cluster {
    pub fn new(count: u64, seed: u64) -> Self {
        Cluster::with_settings(count, seed, Settings::default())
    }

    pub fn with_settings(count: u64, seed: u64, settings: Settings) -> Self {
        let mut cluster = Cluster::blank(count, seed, settings);
        let group = Group::from_voters((1..=count).map(|id| (MemberId(id), address(MemberId(id)))));
        for id in 1..=count {
            cluster.input(MemberId(id), Input::Bootstrap(group.clone()));
        }
        cluster
    }

    /// Replaces the setting in all members, which restart.
    pub fn set_min_quorum(&mut self, min_quorum: usize) {
        self.settings.min_quorum = min_quorum;
        for id in self.processes.keys().copied().collect::<Vec<_>>() {
            self.crash(id);
            self.restart(id);
        }
    }

    fn blank(count: u64, seed: u64, settings: Settings) -> Self {
        let mut cluster = Cluster {
            settings,
            now: Instant::now(),
            write_time: Duration::ZERO,
            processes: BTreeMap::new(),
            successor_addresses: BTreeMap::new(),
            lost: BTreeSet::new(),
            queue: Vec::new(),
            blocked_links: BTreeSet::new(),
            message_faults: MessageFaults::default(),
            events: Vec::new(),
            committed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            accepted_before_read: BTreeMap::new(),
            leader_by_term: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            heartbeats_beside_transfers: 0,
            withheld: None,
            rng_state: seed | 1,
            last_token: 0,
        };
        for id in 1..=count {
            cluster.add_process(MemberId(id));
        }
        cluster
    }

    /// A pseudo-random number below `bound`, determined by the seed.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        (self.rng_state >> 20) % bound
    }

    pub fn address_of(&self, id: MemberId) -> SocketAddr {
        let successor = self.successor_addresses.get(&id).copied();
        successor.unwrap_or_else(|| address(id))
    }

    /// Ends a process for good.
    pub fn remove_process(&mut self, id: MemberId) {
        self.crash(id);
        self.processes.remove(&id);
    }

    /// Ends a process and empties its disk: it starts again at its address, under
    /// another id.
    pub fn replace_disk(&mut self, id: MemberId, successor: MemberId) {
        let address = self.address_of(id);
        self.remove_process(id);
        self.lost.insert(id);
        self.successor_addresses.insert(successor, address);
        self.add_process(successor);
    }

    /// Adds a process with an empty disk.
    pub fn add_process(&mut self, id: MemberId) {
        let node = SimulatedProcess {
            member: None,
            disk: RestoredState::default(),
            pending_write: None,
            queued_inputs: Vec::new(),
            suspended: false,
            disk_full: false,
            disk_stalled: false,
            synced_at: self.now,
            applied_index: Revision(0),
            group: None,
        };
        self.processes.insert(id, node);
        self.restart(id);
    }

    /// Ends a process. The seed decides whether its unsynced write is lost.
    pub fn crash(&mut self, id: MemberId) {
        let survives = self.random_below(2) == 0;
        let node = self.processes.get_mut(&id).unwrap();
        node.member = None;
        node.queued_inputs.clear();
        self.in_transit.retain(|(from, _), _| *from != id);
        if let Some(write) = node.pending_write.take().filter(|_| survives) {
            write_to(&mut node.disk, &write);
        }
    }

    pub fn restart(&mut self, id: MemberId) {
        let seed = self.random_below(1 << 40);
        let me = MemberIdentity {
            id,
            address: self.address_of(id),
        };
        let node = self.processes.get_mut(&id).unwrap();
        let restored = node.disk.clone();
        node.suspended = false;
        node.applied_index = restored
            .snapshot
            .as_ref()
            .map_or(Revision(0), |s| s.position.index);
        node.member = Some(Consensus::new(self.settings, me, restored, seed, self.now));
    }

    pub fn block_link(&mut self, from: MemberId, to: MemberId) {
        self.blocked_links.insert((from, to));
    }

    pub fn isolate(&mut self, id: MemberId) {
        for other in self.processes.keys().copied().filter(|other| *other != id) {
            self.blocked_links.extend([(id, other), (other, id)]);
        }
    }

    pub fn input(&mut self, id: MemberId, input: Input) {
        let now = self.now;
        let node = self.processes.get_mut(&id).unwrap();
        let Some(member) = &mut node.member else {
            return;
        };
        if node.suspended {
            node.queued_inputs.push(input);
            return;
        }
        let out = member.step(now, input);
        self.apply_output(id, out);
    }

    pub fn resume(&mut self, id: MemberId) {
        let node = self.processes.get_mut(&id).unwrap();
        node.suspended = false;
        for input in std::mem::take(&mut node.queued_inputs) {
            self.input(id, input);
        }
    }

    fn apply_output(&mut self, id: MemberId, out: Output) {
        let synced_at = self.now + self.write_time;
        let node = self.processes.get_mut(&id).unwrap();
        if let Some(write) = out.write {
            node.synced_at = synced_at;
            assert!(
                node.pending_write.is_none(),
                "{id} has two writes outstanding"
            );
            node.pending_write = Some(write);
        }
        if let Some(snapshot) = out.installed_snapshot {
            node.applied_index = snapshot.position.index;
        }
        for entry in out.committed_entries {
            assert_eq!(
                entry.index.0,
                node.applied_index.0 + 1,
                "{id} skips an entry"
            );
            node.applied_index = entry.index;
            let first = self.committed.entry(entry.index).or_insert(entry.clone());
            assert_eq!(*first, entry, "a committed entry changed at {id}");
        }
        for event in out.completions {
            if let Completion::Accepted { token, index } = event {
                self.accepted.insert(token, index);
                if let EntryPayload::Command(command) = &self.committed[&index].payload {
                    assert_eq!(
                        command[..],
                        command_of(token),
                        "another proposal at {index}"
                    );
                }
                self.assert_on_majority(id, index);
            }
            if let Completion::ReadConfirmed { token, index } = event {
                let asked = self
                    .accepted_before_read
                    .remove(&token)
                    .expect("one answer");
                assert!(index >= asked, "a stale read at {id}");
                assert!(
                    self.processes[&id].applied_index >= index,
                    "{index} is not delivered"
                );
            }
            self.events.push((id, event));
        }
        for envelope in &out.messages {
            self.check_transfer(envelope);
        }
        self.queue.extend(out.messages);
        let status = self.status(id);
        let node = self.processes.get_mut(&id).unwrap();
        node.group.clone_from(&status.group);
        if status.is_leader() {
            let leader = *self.leader_by_term.entry(status.term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", status.term);
        }
    }

    /// Asserts that a member gets no second copy of a transfer in transit, and that no
    /// other message refers to its entries unless they are on the member's disk: it may
    /// have acknowledged an earlier copy, whose deadline has passed.
    fn check_transfer(&mut self, envelope: &Envelope) {
        let message = &envelope.message;
        let pair = (message.from, message.to);
        let before = match &message.body {
            MessageBody::Append {
                prev_log_position, ..
            } => Some(prev_log_position.index),
            _ => None,
        };
        let (now, term) = (self.now, message.term);
        let in_transit = self.in_transit.get(&pair);
        let in_transit = in_transit.filter(|sent| sent.term == term && now < sent.deadline);
        if let Some(Transfer { deadline, .. }) = envelope.transfer {
            assert!(in_transit.is_none(), "a second copy for {}", message.to);
            let sent = InTransit {
                term,
                deadline,
                before,
            };
            self.in_transit.insert(pair, sent);
        } else if let (Some(sent), Some(before)) = (in_transit, before) {
            self.heartbeats_beside_transfers += 1;
            let is_held = self
                .processes
                .get(&message.to)
                .is_some_and(|receiver| last_index(&receiver.disk) >= before);
            assert!(
                sent.before.is_none_or(|sent| before <= sent) || is_held,
                "a message refers to an entry in transit"
            );
        }
    }

    /// Asserts that an accepted entry is on the disks of a quorum of the group before this
    /// step: a group change appended later in the same step does not apply yet. A quorum is
    /// more than half of the voters, or half of them if another voter's disk is lost.
    fn assert_on_majority(&self, id: MemberId, index: Revision) {
        let group = self.processes[&id].group.as_ref().unwrap();
        let entry = &self.committed[&index];
        let holds = |id: MemberId| {
            let Some(disk) = self.processes.get(&id).map(|node| &node.disk) else {
                return false;
            };
            let covered = disk
                .snapshot
                .as_ref()
                .is_some_and(|s| s.position.index >= index);
            covered || disk.entries.contains(entry)
        };
        for voters in [&group.voters, &group.outgoing] {
            let count = voters.keys().filter(|id| holds(**id)).count();
            let has_loss = voters.keys().any(|id| self.lost.contains(id));
            let is_half = 2 * count == voters.len() && count >= self.settings.min_quorum;
            assert!(
                voters.is_empty() || 2 * count > voters.len() || is_half && has_loss,
                "{index} accepted on {count} disks"
            );
        }
    }

    /// Advances the clock, completes pending writes and delivers queued messages.
    pub fn run_step(&mut self) {
        let ids: Vec<MemberId> = self.processes.keys().copied().collect();
        self.now += STEP_DURATION;
        for id in &ids {
            self.input(*id, Input::Tick);
        }
        // A disk syncs in two steps of three.
        for id in ids {
            if self.random_below(3) > 0 {
                self.sync(id);
            }
        }
        for envelope in std::mem::take(&mut self.queue) {
            self.deliver(envelope);
        }
    }

    pub fn sync(&mut self, id: MemberId) {
        let now = self.now;
        let node = self.processes.get_mut(&id).unwrap();
        if node.suspended || node.disk_stalled || now < node.synced_at {
            return;
        }
        let Some(write) = node.pending_write.take() else {
            return;
        };
        if node.disk_full {
            return self.input(id, Input::WriteFailed(write.id));
        }
        write_to(&mut node.disk, &write);
        self.input(id, Input::WriteSynced(write.id));
    }

    pub fn deliver(&mut self, envelope: Envelope) {
        let message = &envelope.message;
        let (from, to) = (message.from, message.to);
        assert_eq!(envelope.address, self.address_of(to));
        if let Some(withheld) = &mut self.withheld
            && envelope.transfer.is_some()
        {
            withheld.push(envelope);
            return;
        }
        let lost = self.message_faults.drop && self.random_below(5) == 0;
        if lost || self.blocked_links.contains(&(from, to)) {
            self.report_end(&envelope, false);
            return;
        }
        if self.message_faults.delay && self.random_below(3) == 0 {
            let place = self.random_below(self.queue.len() as u64 + 1);
            self.queue.insert(usize::try_from(place).unwrap(), envelope);
            return;
        }
        if self.message_faults.duplicate && self.random_below(3) == 0 {
            self.queue.push(envelope.clone());
        }
        let mut running = self.processes.keys().copied();
        let receiver = running.find(|id| self.address_of(*id) == envelope.address);
        self.report_end(&envelope, receiver.is_some());
        if let Some(receiver) = receiver {
            self.input(receiver, Input::Message(envelope.message));
        }
    }

    pub fn report_end(&mut self, envelope: &Envelope, delivered: bool) {
        if let Some(Transfer { id, .. }) = envelope.transfer {
            let sender = envelope.message.from;
            self.in_transit.remove(&(sender, envelope.message.to));
            if self.processes.contains_key(&sender) {
                self.input(sender, Input::TransferEnded { id, delivered });
            }
        }
    }

    pub fn run_steps(&mut self, count: u64) {
        for _ in 0..count {
            self.run_step();
        }
    }

    pub fn status(&self, id: MemberId) -> Status {
        self.status_of(id).unwrap()
    }

    pub fn status_of(&self, id: MemberId) -> Option<Status> {
        self.processes[&id].member.as_ref().map(Consensus::status)
    }

    pub fn next_deadline(&self, id: MemberId) -> Instant {
        let member = self.processes[&id].member.as_ref();
        member.unwrap().next_deadline()
    }

    /// The running leader of the latest term.
    pub fn leader(&self) -> Option<MemberId> {
        let running = self
            .processes
            .iter()
            .filter(|(_, node)| node.member.is_some());
        running
            .map(|(id, _)| self.status(*id))
            .filter(Status::is_leader)
            .max_by_key(|status| status.term)
            .map(|status| status.id)
    }

    pub fn elect_leader(&mut self) -> MemberId {
        for _ in 0..500 {
            if let Some(leader) = self.leader()
                && self.confirm_read(leader)
            {
                return leader;
            }
            self.run_step();
        }
        panic!("no leader was elected");
    }

    fn next_token(&mut self) -> RequestToken {
        self.last_token += 1;
        RequestToken(self.last_token)
    }

    pub fn propose(&mut self, id: MemberId) -> RequestToken {
        let token = self.next_token();
        let command = command_of(token).into();
        self.input(id, Input::Propose { token, command });
        token
    }

    /// Proposes a command that is sent by a transfer.
    pub fn propose_large(&mut self, id: MemberId) -> RequestToken {
        self.last_token = (self.last_token / LARGE_COMMAND_PERIOD + 1) * LARGE_COMMAND_PERIOD - 1;
        self.propose(id)
    }

    pub fn propose_change(&mut self, id: MemberId, change: GroupChange) -> RequestToken {
        let token = self.next_token();
        self.input(id, Input::ChangeGroup { token, change });
        token
    }

    /// Proposes until a proposal is accepted.
    pub fn propose_until_accepted(&mut self) -> RequestToken {
        for _ in 0..20 {
            let leader = self.elect_leader();
            let token = self.propose(leader);
            self.run_steps(20);
            if self.accepted.contains_key(&token) {
                return token;
            }
        }
        panic!("no proposal was accepted");
    }

    /// Proposes the change until it is accepted.
    pub fn change_until_accepted(&mut self, change: GroupChange) {
        for _ in 0..40 {
            let leader = self.elect_leader();
            let token = self.propose_change(leader, change);
            self.run_steps(20);
            if self.accepted.contains_key(&token) {
                return;
            }
        }
        panic!("{change:?} was not accepted");
    }

    pub fn request_read(&mut self, id: MemberId) -> RequestToken {
        let token = self.next_token();
        let accepted = self.accepted.values().max().copied();
        self.accepted_before_read
            .insert(token, accepted.unwrap_or_default());
        self.input(id, Input::ConfirmRead { token });
        token
    }

    pub fn is_confirmed(&self, token: RequestToken) -> bool {
        let confirmed = |event: &Completion| matches!(event, Completion::ReadConfirmed { token: t, .. } if *t == token);
        self.events.iter().any(|(_, event)| confirmed(event))
    }

    pub fn confirm_read(&mut self, id: MemberId) -> bool {
        let token = self.request_read(id);
        self.run_steps(8);
        self.is_confirmed(token)
    }

    pub fn compact(&mut self, id: MemberId) {
        let through = self.processes[&id].applied_index;
        self.input(
            id,
            Input::Compact {
                through,
                state: "state".into(),
            },
        );
    }

    /// Ends all faults except lost disks, and asserts that all members of the
    /// group reach the same commit index.
    pub fn heal_and_converge(&mut self) {
        self.blocked_links.clear();
        self.message_faults = MessageFaults::default();
        for id in self.processes.keys().copied().collect::<Vec<_>>() {
            self.processes.get_mut(&id).unwrap().disk_full = false;
            self.resume(id);
            if self.processes[&id].member.is_none() {
                self.restart(id);
            }
        }
        self.propose_until_accepted();
        self.run_steps(200);
        let leader = self.elect_leader();
        let status = self.status(leader);
        for (id, _) in status.group.unwrap().members().collect::<Vec<_>>() {
            if self.processes.contains_key(&id) {
                assert_eq!(
                    self.status(id).commit_index,
                    status.commit_index,
                    "{id} has not reached the commit index"
                );
            }
        }
        // No accepted entry was lost.
        assert!(
            self.accepted
                .values()
                .all(|index| *index <= status.commit_index)
        );
    }
}

/// The command of a proposal. Some are large, so that they are sent by a transfer.
fn command_of(token: RequestToken) -> Vec<u8> {
    let mut command = token.0.to_be_bytes().to_vec();
    if token.0.is_multiple_of(LARGE_COMMAND_PERIOD) {
        command.resize(LARGE_COMMAND_BYTES, 0);
    }
    command
}

/// The last index on a disk.
fn last_index(disk: &RestoredState) -> Revision {
    let base = disk.snapshot.as_ref().map(|s| s.position.index);
    let last = disk.entries.last().map(|entry| entry.index);
    last.or(base).unwrap_or_default()
}

pub fn write_to(disk: &mut RestoredState, write: &DiskWrite) {
    if let Some((term, vote)) = write.term_and_vote {
        assert!(term >= disk.term, "the term on disk goes back");
        (disk.term, disk.vote) = (term, vote);
    }
    if let Some(from) = write.truncate_from {
        disk.entries.retain(|entry| entry.index < from);
    }
    if let Some(snapshot) = &write.snapshot {
        disk.entries
            .retain(|entry| entry.index > snapshot.position.index);
        disk.snapshot = Some(snapshot.clone());
    }
    for entry in &write.entries {
        let base = disk.snapshot.as_ref().map_or(0, |s| s.position.index.0);
        let last = disk.entries.last().map_or(base, |entry| entry.index.0);
        assert_eq!(entry.index.0, last + 1, "a gap on disk");
        disk.entries.push(entry.clone());
    }
}
