//! The task that owns the decisions of a control host.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use config::ConfigState;
use consensus::{
    Completion, Consensus, EntryPayload, Group, Input, LogEntry, Message, Output, RequestToken,
    Snapshot, Status,
};
use rand::Rng;
use store::WriteReport;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::sleep_until,
};
use types::{
    Answer, Change, ChangeId, ChangeRequest, CidKey, GroupRefusal, KeyGeneration, Revision,
    UnixMillis,
};
use wire::{
    SyncReply, SyncRequest,
    request::{ChangeReply, GroupChangeRequest, GroupReply, HelloReply, Query, QueryReply},
};

use super::{Settings, leadership::Leadership, metrics::Metrics, peers::Peers};
use crate::{
    Error, Result,
    request::{Command, PendingRequest, WaitingSync, group_change, refusal},
    version::LeaderView,
};

/// Longest time that a node's request is held, whatever it asks for. Below a
/// lease, because a node that waits does not renew its own.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Author of the changes that the leader makes itself.
const SYSTEM: &str = "limpetd";

/// A message to the task.
#[derive(Debug)]
pub enum GroupCommand {
    /// A message of another member.
    Message(Message),
    /// Another member looks for a group to form.
    Hello(oneshot::Sender<HelloReply>),
    /// All hosts of the first group are blank: form it.
    Form(Group),
    /// An operator's change.
    Change(Box<ChangeRequest>, oneshot::Sender<ChangeReply>),
    /// An operator's query.
    Query(Query, oneshot::Sender<QueryReply>),
    /// An operator's change of the group.
    ChangeGroup(GroupChangeRequest, oneshot::Sender<GroupReply>),
    /// A node's request to be brought up to date.
    Sync(Box<SyncRequest>, oneshot::Sender<SyncReply>),
}

/// The task that owns the decisions of a control host.
pub struct GroupTask {
    cfg: Settings,
    consensus: Consensus,
    state: ConfigState,
    leadership: Option<Leadership>,
    pending: BTreeMap<RequestToken, PendingRequest>,
    next_token: u64,
    /// Answers to entries of this leadership, until their proposals are
    /// reported as accepted.
    answers: BTreeMap<Revision, Answer>,
    /// Changes of the group that are to be noted in the audit trail.
    notes: Vec<ChangeRequest>,
    /// Last entry that is covered by a snapshot.
    compacted: Revision,
    disk: store::StoreHandle,
    peers: Peers,
    metrics: Metrics,
    commands: mpsc::Receiver<GroupCommand>,
}

impl GroupTask {
    /// Creates the task with the state in `snapshot`, if there is one.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be read.
    pub fn new(
        cfg: Settings,
        consensus: Consensus,
        snapshot: Option<&Snapshot>,
        disk: store::StoreHandle,
        peers: Peers,
        metrics: Metrics,
        commands: mpsc::Receiver<GroupCommand>,
    ) -> Result<Self> {
        let mut task = GroupTask {
            cfg,
            consensus,
            state: ConfigState::default(),
            leadership: None,
            pending: BTreeMap::new(),
            next_token: 0,
            answers: BTreeMap::new(),
            notes: Vec::new(),
            compacted: Revision(0),
            disk,
            peers,
            metrics,
            commands,
        };
        if let Some(snapshot) = snapshot {
            task.load(snapshot)?;
        }
        Ok(task)
    }

    /// Runs until `stop` changes, then waits until the data folder is free.
    ///
    /// # Errors
    ///
    /// A snapshot of the leader cannot be read.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Result<()> {
        let result = self.serve(stop).await;
        let store::StoreHandle {
            writes,
            reports,
            thread,
        } = self.disk;
        // Without these the thread ends after the write that it has begun.
        drop((writes, reports));
        let ended = tokio::task::spawn_blocking(|| thread.join()).await;
        if !matches!(ended, Ok(Ok(()))) {
            log::error!(event = "disk_thread_failed"; "the thread that writes to the data folder has failed");
        }
        result
    }

    async fn serve(&mut self, mut stop: watch::Receiver<bool>) -> Result<()> {
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                _ = stop.changed() => return Ok(()),
                report = self.disk.reports.recv() => match report {
                    Some(report) => self.note_write(report)?,
                    None => return Err(Error::StoreThreadEnded),
                },
                command = self.commands.recv() => match command {
                    Some(command) => self.handle(command)?,
                    None => return Ok(()),
                },
                () = sleep_until(deadline.into()) => self.step(Input::Tick)?,
            }
            self.review(Instant::now())?;
        }
    }

    fn next_deadline(&self) -> Instant {
        let mut deadline = self.consensus.next_deadline();
        if let Some(leadership) = &self.leadership {
            deadline = deadline.min(leadership.next_deadline());
        }
        deadline
    }

    fn handle(&mut self, command: GroupCommand) -> Result<()> {
        match command {
            GroupCommand::Message(message) => self.step(Input::Message(message)),
            GroupCommand::Form(group) => self.step(Input::Bootstrap(group)),
            GroupCommand::Hello(tx) => {
                let status = self.consensus.status();
                // Whoever asked may be gone.
                let _ = tx.send(HelloReply {
                    id: status.id,
                    blank: status.is_blank(),
                });
                Ok(())
            }
            GroupCommand::Change(req, tx) => self.propose(*req, PendingRequest::Change(tx)),
            GroupCommand::Query(query, tx) => {
                let token = self.expect(PendingRequest::Query(query, tx));
                self.step(Input::ConfirmRead { token })
            }
            GroupCommand::ChangeGroup(req, tx) => {
                log::info!(
                    event = "group_change_asked", author:% = req.author, change:% = req.change;
                    "group change asked"
                );
                let change = group_change(req.change);
                let token = self.expect(PendingRequest::Group(req, tx));
                self.step(Input::ChangeGroup { token, change })
            }
            GroupCommand::Sync(req, tx) => {
                self.sync(Instant::now(), *req, tx);
                Ok(())
            }
        }
    }

    fn note_write(&mut self, report: WriteReport) -> Result<()> {
        self.metrics.syncs.set(gauge(report.sync_count));
        self.metrics.disk_failed.set(i64::from(!report.synced));
        self.step(if report.synced {
            Input::WriteSynced(report.id)
        } else {
            Input::WriteFailed(report.id)
        })
    }

    fn expect(&mut self, pending: PendingRequest) -> RequestToken {
        let token = RequestToken(self.next_token);
        self.next_token += 1;
        self.pending.insert(token, pending);
        token
    }

    fn propose(&mut self, req: ChangeRequest, pending: PendingRequest) -> Result<()> {
        let command = Command {
            at: unix_now(),
            req,
        };
        let Ok(command) = wire::encode(&command) else {
            // A change that came in by the same encoding can be encoded.
            pending.reject(consensus::Rejection::DiskFailed);
            return Ok(());
        };
        let token = self.expect(pending);
        let command = Bytes::from(command);
        self.step(Input::Propose { token, command })
    }

    /// Takes a node's request in. It is answered from [`Self::review`].
    fn sync(&mut self, now: Instant, req: SyncRequest, tx: oneshot::Sender<SyncReply>) {
        let Some(leadership) = &mut self.leadership else {
            let leader = self.consensus.status().leader.map(|(_, address)| address);
            // The node may be gone.
            let _ = tx.send(SyncReply::NotLeader { leader });
            return;
        };
        leadership.nodes.record_sync(now, &req);
        if let Some(upstream) = &req.upstream {
            leadership.registry.announce(now, &req.host, upstream);
        }
        if let Some(balancer) = req.balancer {
            leadership
                .registry
                .announce_balancer(now, &req.host, balancer);
        }
        let until = now + req.hold.min(MAX_HOLD);
        leadership.waiters.push(WaitingSync { req, tx, until });
    }

    /// Gives the consensus an input and carries out what it decides.
    fn step(&mut self, input: Input) -> Result<()> {
        let output = self.consensus.step(Instant::now(), input);
        let status = self.consensus.status();
        self.note_leadership(&status);
        self.carry_out(output)?;
        self.compact(status.commit_index)
    }

    fn carry_out(&mut self, output: Output) -> Result<()> {
        if let Some(write) = output.write {
            // At most one write is outstanding, so the queue has room.
            self.disk
                .writes
                .try_send(write)
                .map_err(|_| Error::StoreThreadEnded)?;
        }
        for envelope in output.messages {
            self.peers.send(envelope);
        }
        if let Some(snapshot) = &output.installed_snapshot {
            self.load(snapshot)?;
        }
        for entry in output.committed_entries {
            self.apply(&entry)?;
        }
        self.inform_registry();
        for event in output.completions {
            self.resolve(&event);
        }
        Ok(())
    }

    /// Starts or ends the leader's soft state.
    fn note_leadership(&mut self, status: &Status) {
        self.metrics.leader.set(i64::from(status.is_leader()));
        self.metrics.term.set(gauge(status.term.0));
        self.metrics.commit.set(gauge(status.commit_index.0));
        let term = self.leadership.as_ref().map(|l| l.term);
        if status.is_leader() && term != Some(status.term) {
            log::info!(event = "leader", term:% = status.term; "leads the control group");
            self.end_leadership(status);
            self.leadership = Some(Leadership::new(&self.cfg, status.term, Instant::now()));
        } else if !status.is_leader() && term.is_some() {
            log::info!(event = "leadership_ended", term:% = status.term; "no longer leads the control group");
            self.end_leadership(status);
        }
    }

    fn end_leadership(&mut self, status: &Status) {
        let leader = status.leader.map(|(_, address)| address);
        if let Some(mut ended) = self.leadership.take() {
            for waiter in ended.waiters.take_all() {
                // The node may be gone.
                let _ = waiter.tx.send(SyncReply::NotLeader { leader });
            }
        }
        self.answers.clear();
    }

    fn load(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.state = if snapshot.state.is_empty() {
            ConfigState::default()
        } else {
            ConfigState::decode(&snapshot.state[..])?
        };
        self.compacted = snapshot.position.index;
        Ok(())
    }

    /// Applies an entry. One that cannot be read ends the process: to skip it
    /// would make this host's configuration differ from the others'.
    fn apply(&mut self, entry: &LogEntry) -> Result<()> {
        let EntryPayload::Command(command) = &entry.payload else {
            return Ok(());
        };
        let Command { at, req } =
            wire::decode(command).map_err(|e| Error::InvalidLogEntry(entry.index, e))?;
        let answer = self.state.apply(entry.index, at, &req);
        let label = answer_label(&answer);
        self.metrics.changes.with_label_values(&[label]).inc();
        log::info!(
            event = "change", index:% = entry.index, id:% = req.id, author:% = req.author,
            base:% = req.base, answer = label; "change applied"
        );
        if self.leadership.is_some() {
            self.answers.insert(entry.index, answer);
        }
        Ok(())
    }

    /// Tells the registry what changed in the configuration.
    fn inform_registry(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.learn(&self.state);
    }

    fn resolve(&mut self, event: &Completion) {
        match *event {
            Completion::Accepted { token, index } => {
                let answer = self.answers.remove(&index);
                match (self.pending.remove(&token), answer) {
                    (Some(PendingRequest::Change(tx)), Some(answer)) => {
                        // Whoever asked may be gone.
                        let _ = tx.send(ChangeReply::Final(answer));
                    }
                    (Some(PendingRequest::Group(call, tx)), _) => {
                        self.note(call, None);
                        // Whoever asked may be gone.
                        let _ = tx.send(GroupReply::Done);
                    }
                    (Some(pending), _) => pending.reply_unknown(),
                    (None, _) => {}
                }
            }
            Completion::Rejected { token, reason } => {
                if let Some(pending) = self.pending.remove(&token) {
                    if let (PendingRequest::Group(call, _), Some(refused)) =
                        (&pending, refusal(reason))
                    {
                        self.note(call.clone(), Some(refused));
                    }
                    pending.reject(reason);
                }
            }
            Completion::OutcomeUnknown { token } => {
                if let Some(pending) = self.pending.remove(&token) {
                    pending.reply_unknown();
                }
            }
            Completion::ReadConfirmed { token, .. } => self.answer_read(token),
        }
    }

    /// Has a change of the group noted in the audit trail. A leader that removed
    /// itself can no longer do so.
    fn note(&mut self, call: GroupChangeRequest, refused: Option<GroupRefusal>) {
        self.notes.push(ChangeRequest {
            id: ChangeId::generate(),
            author: call.author,
            base: Revision(0),
            change: Change::NoteGroup {
                change: call.change,
                refused,
            },
        });
    }

    /// Answers a read that a majority has confirmed.
    fn answer_read(&mut self, token: RequestToken) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let Some(leadership) = &mut self.leadership else {
            return pending.reject(consensus::Rejection::NotLeader { leader: None });
        };
        leadership.confirmed = true;
        let view = LeaderView {
            state: &self.state,
            registry: &leadership.registry,
        };
        match pending {
            PendingRequest::Syncs(waiters) => {
                for waiter in waiters {
                    let reply = view.reply(&waiter.req);
                    let label = reply_label(&reply);
                    self.metrics.replies.with_label_values(&[label]).inc();
                    // The node may be gone.
                    let _ = waiter.tx.send(reply);
                }
            }
            PendingRequest::Query(query, tx) => {
                let status = self.consensus.status();
                let reply = super::report::answer_query(&query, view, &leadership.nodes, &status);
                let _ = tx.send(reply);
            }
            other => other.reply_unknown(),
        }
    }

    /// Does what is due at the leader: publishes, and answers nodes.
    fn review(&mut self, now: Instant) -> Result<()> {
        let Some(leadership) = &mut self.leadership else {
            return Ok(());
        };
        if leadership.publish(now) {
            self.metrics.publications.inc();
        }
        leadership.nodes.expire(now);
        self.metrics.nodes.set(gauge(leadership.nodes.len() as u64));
        let due = leadership.take_due(now, &self.state);
        if !due.is_empty() {
            // One confirmation for all of them, so that a change costs a
            // constant number of messages between the members.
            let token = self.expect(PendingRequest::Syncs(due));
            self.step(Input::ConfirmRead { token })?;
        }
        for note in std::mem::take(&mut self.notes) {
            self.propose(note, PendingRequest::Internal)?;
        }
        if self.state.keys().is_none() && self.may_propose_key() {
            self.propose_first_key()?;
        }
        Ok(())
    }

    /// Whether the first key is certainly missing and not yet proposed. A new
    /// leader may hold one that it has not applied yet.
    fn may_propose_key(&self) -> bool {
        let own = self
            .pending
            .values()
            .any(|p| matches!(p, PendingRequest::Internal));
        self.leadership.as_ref().is_some_and(|l| l.confirmed) && !own
    }

    /// Makes the first key of connection ids.
    fn propose_first_key(&mut self) -> Result<()> {
        let Ok(author) = SYSTEM.parse() else {
            return Ok(());
        };
        let req = ChangeRequest {
            id: ChangeId::generate(),
            author,
            base: Revision(0),
            change: Change::AddKey {
                key: CidKey {
                    generation: KeyGeneration(0),
                    secret: rand::rng().random(),
                },
            },
        };
        self.propose(req, PendingRequest::Internal)
    }

    /// Replaces the applied log by a snapshot when it has grown long.
    fn compact(&mut self, commit: Revision) -> Result<()> {
        let through = self.state.applied().min(commit);
        if through.0 < self.compacted.0 + self.cfg.compact_after_entries {
            return Ok(());
        }
        let mut state = Vec::new();
        self.state.encode(&mut state)?;
        self.compacted = through;
        let state = Bytes::from(state);
        self.step(Input::Compact { through, state })
    }
}

fn answer_label(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted(_) => "accepted",
        Answer::Conflict(_) => "conflict",
        Answer::Refused(_) => "refused",
    }
}

fn reply_label(reply: &SyncReply) -> &'static str {
    match reply {
        SyncReply::Current { .. } => "current",
        SyncReply::Update(update) if update.snapshot => "snapshot",
        SyncReply::Update(_) => "delta",
        SyncReply::NotLeader { .. } | SyncReply::Unconfirmed => "declined",
    }
}

fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// A gauge's value; gauges are signed.
fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
