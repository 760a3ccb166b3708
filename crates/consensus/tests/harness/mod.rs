//! Members in memory with fake disks and a message queue, and the checks that
//! must hold after every step.

use consensus::{
    Completion, Consensus, DiskWrite, EntryPayload, Envelope, Group, GroupChange, Input, LogEntry,
    MemberIdentity, Output, RequestToken, RestoredState, Settings, Status,
};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use types::{MemberId, Revision, Term};

pub const TICK: Duration = Duration::from_millis(20);

pub fn address(id: MemberId) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1000 + u16::try_from(id.0).unwrap()))
}

pub struct Node {
    pub member: Option<Consensus>,
    pub disk: RestoredState,
    pending: Option<DiskWrite>,
    /// Inputs that wait while the process is frozen.
    waiting: Vec<Input>,
    pub frozen: bool,
    pub full: bool,
    applied: Revision,
    /// In force after the last step.
    group: Option<Group>,
}

/// How the network treats a message.
#[derive(Default, Clone, Copy)]
pub struct Noise {
    pub drop: bool,
    pub duplicate: bool,
    pub delay: bool,
}

pub struct Cluster {
    pub now: Instant,
    pub nodes: BTreeMap<MemberId, Node>,
    pub queue: Vec<Envelope>,
    /// Pairs (from, to) whose messages are lost.
    pub cut: BTreeSet<(MemberId, MemberId)>,
    pub noise: Noise,
    pub events: Vec<(MemberId, Completion)>,
    /// All that was ever committed, with its group.
    pub committed: BTreeMap<Revision, LogEntry>,
    pub accepted: BTreeMap<RequestToken, Revision>,
    /// The last index accepted when each open read was asked for.
    reads: BTreeMap<RequestToken, Revision>,
    leaders: BTreeMap<Term, MemberId>,
    random: u64,
    token: u64,
}

impl Cluster {
    pub fn new(count: u64, seed: u64) -> Self {
        let mut cluster = Cluster::blank(count, seed);
        let group = Group::from_voters((1..=count).map(|id| (MemberId(id), address(MemberId(id)))));
        for id in 1..=count {
            cluster.input(MemberId(id), Input::Bootstrap(group.clone()));
        }
        cluster
    }

    fn blank(count: u64, seed: u64) -> Self {
        let mut cluster = Cluster {
            now: Instant::now(),
            nodes: BTreeMap::new(),
            queue: Vec::new(),
            cut: BTreeSet::new(),
            noise: Noise::default(),
            events: Vec::new(),
            committed: BTreeMap::new(),
            accepted: BTreeMap::new(),
            reads: BTreeMap::new(),
            leaders: BTreeMap::new(),
            random: seed | 1,
            token: 0,
        };
        for id in 1..=count {
            cluster.join(MemberId(id));
        }
        cluster
    }

    /// A number below `bound` from the seed.
    pub fn pick(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 20) % bound
    }

    /// Adds a process with an empty disk.
    pub fn join(&mut self, id: MemberId) {
        let node = Node {
            member: None,
            disk: RestoredState::default(),
            pending: None,
            waiting: Vec::new(),
            frozen: false,
            full: false,
            applied: Revision(0),
            group: None,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    /// Ends a process; its unsynced write is lost or not, by the seed.
    pub fn kill(&mut self, id: MemberId) {
        let survives = self.pick(2) == 0;
        let node = self.nodes.get_mut(&id).unwrap();
        node.member = None;
        node.waiting.clear();
        if let Some(write) = node.pending.take().filter(|_| survives) {
            write_to(&mut node.disk, &write);
        }
    }

    pub fn restart(&mut self, id: MemberId) {
        let seed = self.pick(1 << 40);
        let me = MemberIdentity {
            id,
            address: address(id),
        };
        let node = self.nodes.get_mut(&id).unwrap();
        let restored = node.disk.clone();
        node.frozen = false;
        node.applied = restored
            .snapshot
            .as_ref()
            .map_or(Revision(0), |s| s.position.index);
        node.member = Some(Consensus::new(
            Settings::default(),
            me,
            restored,
            seed,
            self.now,
        ));
    }

    pub fn cut(&mut self, from: MemberId, to: MemberId) {
        self.cut.insert((from, to));
    }

    pub fn isolate(&mut self, id: MemberId) {
        for other in self.nodes.keys().copied().filter(|other| *other != id) {
            self.cut.extend([(id, other), (other, id)]);
        }
    }

    pub fn input(&mut self, id: MemberId, input: Input) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).unwrap();
        let Some(member) = &mut node.member else {
            return;
        };
        if node.frozen {
            node.waiting.push(input);
            return;
        }
        let out = member.step(now, input);
        self.take(id, out);
    }

    pub fn wake(&mut self, id: MemberId) {
        let node = self.nodes.get_mut(&id).unwrap();
        node.frozen = false;
        for input in std::mem::take(&mut node.waiting) {
            self.input(id, input);
        }
    }

    fn take(&mut self, id: MemberId, out: Output) {
        let node = self.nodes.get_mut(&id).unwrap();
        if let Some(write) = out.write {
            assert!(node.pending.is_none(), "{id} has two writes outstanding");
            node.pending = Some(write);
        }
        if let Some(snapshot) = out.installed_snapshot {
            node.applied = snapshot.position.index;
        }
        for entry in out.committed_entries {
            assert_eq!(entry.index.0, node.applied.0 + 1, "{id} skips an entry");
            node.applied = entry.index;
            let first = self.committed.entry(entry.index).or_insert(entry.clone());
            assert_eq!(*first, entry, "a committed entry changed at {id}");
        }
        for event in out.completions {
            if let Completion::Accepted { token, index } = event {
                self.accepted.insert(token, index);
                if let EntryPayload::Command(command) = &self.committed[&index].payload {
                    assert_eq!(
                        command[..],
                        token.0.to_be_bytes(),
                        "another proposal at {index}"
                    );
                }
                self.assert_on_majority(id, index);
            }
            if let Completion::ReadConfirmed { token, index } = event {
                let asked = self.reads.remove(&token).expect("one answer");
                assert!(index >= asked, "a stale read at {id}");
                assert!(
                    self.nodes[&id].applied >= index,
                    "{index} is not handed out"
                );
            }
            self.events.push((id, event));
        }
        self.queue.extend(out.messages);
        let status = self.status(id);
        let node = self.nodes.get_mut(&id).unwrap();
        node.group.clone_from(&status.group);
        if status.is_leader() {
            let leader = *self.leaders.entry(status.term).or_insert(id);
            assert_eq!(leader, id, "two leaders in term {}", status.term);
        }
    }

    /// What was accepted is on the disks of more than half of the voters that
    /// decided: a change appended later in the same step does not count yet.
    fn assert_on_majority(&self, id: MemberId, index: Revision) {
        let group = self.nodes[&id].group.as_ref().unwrap();
        let entry = &self.committed[&index];
        let holds = |id: MemberId| {
            let Some(disk) = self.nodes.get(&id).map(|node| &node.disk) else {
                return false;
            };
            let covered = disk
                .snapshot
                .as_ref()
                .is_some_and(|s| s.position.index >= index);
            covered || disk.entries.contains(entry)
        };
        let count = group.voters.keys().filter(|id| holds(**id)).count();
        assert!(
            2 * count > group.voters.len(),
            "{index} accepted on {count} disks"
        );
    }

    /// Finishes pending writes, delivers the queued messages and ticks.
    pub fn turn(&mut self) {
        let ids: Vec<MemberId> = self.nodes.keys().copied().collect();
        self.now += TICK;
        for id in &ids {
            self.input(*id, Input::Tick);
        }
        // A disk syncs in two turns of three.
        for id in ids {
            if self.pick(3) > 0 {
                self.sync(id);
            }
        }
        for envelope in std::mem::take(&mut self.queue) {
            self.deliver(envelope);
        }
    }

    pub fn sync(&mut self, id: MemberId) {
        let node = self.nodes.get_mut(&id).unwrap();
        if node.frozen {
            return;
        }
        let Some(write) = node.pending.take() else {
            return;
        };
        if node.full {
            return self.input(id, Input::WriteFailed(write.id));
        }
        write_to(&mut node.disk, &write);
        self.input(id, Input::WriteSynced(write.id));
    }

    fn deliver(&mut self, envelope: Envelope) {
        let message = &envelope.message;
        let (from, to) = (message.from, message.to);
        assert_eq!(envelope.address, address(to));
        let lost = self.noise.drop && self.pick(5) == 0;
        if lost || self.cut.contains(&(from, to)) {
            return;
        }
        if self.noise.delay && self.pick(3) == 0 {
            let place = self.pick(self.queue.len() as u64 + 1);
            self.queue.insert(usize::try_from(place).unwrap(), envelope);
            return;
        }
        if self.noise.duplicate && self.pick(3) == 0 {
            self.queue.push(envelope.clone());
        }
        if self.nodes.contains_key(&to) {
            self.input(to, Input::Message(envelope.message));
        }
    }

    pub fn turns(&mut self, count: u64) {
        for _ in 0..count {
            self.turn();
        }
    }

    pub fn status(&self, id: MemberId) -> Status {
        self.status_of(id).unwrap()
    }

    pub fn status_of(&self, id: MemberId) -> Option<Status> {
        self.nodes[&id].member.as_ref().map(Consensus::status)
    }

    /// The running leader of the latest term.
    pub fn leader(&self) -> Option<MemberId> {
        let running = self.nodes.iter().filter(|(_, node)| node.member.is_some());
        running
            .map(|(id, _)| self.status(*id))
            .filter(Status::is_leader)
            .max_by_key(|status| status.term)
            .map(|status| status.id)
    }

    pub fn elect(&mut self) -> MemberId {
        for _ in 0..500 {
            if let Some(leader) = self.leader()
                && self.read(leader)
            {
                return leader;
            }
            self.turn();
        }
        panic!("no leader was elected");
    }

    fn token(&mut self) -> RequestToken {
        self.token += 1;
        RequestToken(self.token)
    }

    pub fn propose(&mut self, id: MemberId) -> RequestToken {
        let token = self.token();
        let command = token.0.to_be_bytes().to_vec().into();
        self.input(id, Input::Propose { token, command });
        token
    }

    pub fn change(&mut self, id: MemberId, change: GroupChange) -> RequestToken {
        let token = self.token();
        self.input(id, Input::ChangeGroup { token, change });
        token
    }

    /// Proposes until a proposal is accepted.
    pub fn accept(&mut self) -> RequestToken {
        for _ in 0..20 {
            let leader = self.elect();
            let token = self.propose(leader);
            self.turns(20);
            if self.accepted.contains_key(&token) {
                return token;
            }
        }
        panic!("no proposal was accepted");
    }

    /// Asks for the change until it is accepted.
    pub fn changed(&mut self, change: GroupChange) {
        for _ in 0..40 {
            let leader = self.elect();
            let token = self.change(leader, change);
            self.turns(20);
            if self.accepted.contains_key(&token) {
                return;
            }
        }
        panic!("{change:?} was not accepted");
    }

    pub fn ask_read(&mut self, id: MemberId) -> RequestToken {
        let token = self.token();
        let accepted = self.accepted.values().max().copied();
        self.reads.insert(token, accepted.unwrap_or_default());
        self.input(id, Input::ConfirmRead { token });
        token
    }

    pub fn confirmed(&self, token: RequestToken) -> bool {
        let confirmed = |event: &Completion| matches!(event, Completion::ReadConfirmed { token: t, .. } if *t == token);
        self.events.iter().any(|(_, event)| confirmed(event))
    }

    pub fn read(&mut self, id: MemberId) -> bool {
        let token = self.ask_read(id);
        self.turns(8);
        self.confirmed(token)
    }

    pub fn compact(&mut self, id: MemberId) {
        let through = self.nodes[&id].applied;
        self.input(
            id,
            Input::Compact {
                through,
                state: "state".into(),
            },
        );
    }

    /// Ends every fault but lost disks, and waits until all members of the
    /// group agree.
    pub fn heal(&mut self) {
        self.cut.clear();
        self.noise = Noise::default();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            self.nodes.get_mut(&id).unwrap().full = false;
            self.wake(id);
            if self.nodes[&id].member.is_none() {
                self.restart(id);
            }
        }
        self.accept();
        self.turns(200);
        let leader = self.elect();
        let status = self.status(leader);
        for (id, _) in status.group.unwrap().members().collect::<Vec<_>>() {
            if self.nodes.contains_key(&id) {
                assert_eq!(
                    self.status(id).commit_index,
                    status.commit_index,
                    "{id} lags"
                );
            }
        }
        // Nothing that was accepted vanished.
        assert!(
            self.accepted
                .values()
                .all(|index| *index <= status.commit_index)
        );
    }
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
