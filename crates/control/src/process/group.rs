//! The task that owns the consensus state machine and the configuration.

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
    request::{Command, PendingRequest, WaitingSync, group_change, group_refusal},
    version::LeaderView,
};

/// Upper bound on the hold of a sync request, whatever the node asks for. It is
/// shorter than the lease of a node, because a node does not renew its lease
/// while its request is held.
const MAX_SYNC_HOLD: Duration = Duration::from_secs(2);

/// Author of the changes that the leader proposes itself.
const SYSTEM_AUTHOR: &str = "limpetd";

/// A message to the group task.
#[derive(Debug)]
pub enum GroupCommand {
    /// A consensus message from another member.
    Message(Message),
    /// Asks for the id of this host and whether its data folder is blank.
    Hello(oneshot::Sender<HelloReply>),
    /// Bootstraps the initial group; all of its hosts are blank.
    Bootstrap(Group),
    /// A configuration change from an operator.
    Change(Box<ChangeRequest>, oneshot::Sender<ChangeReply>),
    /// A query from an operator.
    Query(Query, oneshot::Sender<QueryReply>),
    /// A membership change of the control group from an operator.
    ChangeGroup(GroupChangeRequest, oneshot::Sender<GroupReply>),
    /// A sync request from a node.
    Sync(Box<SyncRequest>, oneshot::Sender<SyncReply>),
}

/// The task that owns the consensus state machine, the configuration and the
/// leader's soft state.
pub struct GroupTask {
    cfg: Settings,
    consensus: Consensus,
    state: ConfigState,
    leadership: Option<Leadership>,
    pending: BTreeMap<RequestToken, PendingRequest>,
    next_token: u64,
    /// Answers to the entries applied during this leadership, by log index. An
    /// answer is removed when the consensus reports its proposal as accepted.
    change_answers: BTreeMap<Revision, Answer>,
    /// Membership changes that still have to be proposed for the audit trail.
    audit_notes: Vec<ChangeRequest>,
    /// Index of the last log entry that a snapshot covers.
    snapshot_index: Revision,
    disk: store::StoreHandle,
    peers: Peers,
    metrics: Metrics,
    commands: mpsc::Receiver<GroupCommand>,
}

impl GroupTask {
    /// Creates the task. The configuration is loaded from `snapshot` if there
    /// is one.
    ///
    /// # Errors
    ///
    /// The snapshot cannot be decoded.
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
            change_answers: BTreeMap::new(),
            audit_notes: Vec::new(),
            snapshot_index: Revision(0),
            disk,
            peers,
            metrics,
            commands,
        };
        if let Some(snapshot) = snapshot {
            task.load_snapshot(snapshot)?;
        }
        Ok(task)
    }

    /// Runs until `stop` changes, then waits until the storage thread has
    /// released the data folder.
    ///
    /// # Errors
    ///
    /// The storage thread has exited, or a snapshot or a committed log entry
    /// cannot be decoded.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Result<()> {
        let result = self.serve(stop).await;
        let store::StoreHandle {
            writes,
            reports,
            thread,
        } = self.disk;
        // Closing the channels makes the storage thread exit after the write
        // in progress.
        drop((writes, reports));
        let ended = tokio::task::spawn_blocking(|| thread.join()).await;
        if !matches!(ended, Ok(Ok(()))) {
            log::error!(event = "disk_thread_failed"; "the storage thread of the data folder panicked");
        }
        result
    }

    async fn serve(&mut self, mut stop: watch::Receiver<bool>) -> Result<()> {
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                _ = stop.changed() => return Ok(()),
                report = self.disk.reports.recv() => match report {
                    Some(report) => self.handle_write_report(report)?,
                    None => return Err(Error::StoreThreadEnded),
                },
                command = self.commands.recv() => match command {
                    Some(command) => self.handle(command)?,
                    None => return Ok(()),
                },
                Some((id, delivered)) = self.peers.transfer_ended() => {
                    self.step(Input::TransferEnded { id, delivered })?;
                }
                () = sleep_until(deadline.into()) => self.step(Input::Tick)?,
            }
            self.run_due_work(Instant::now())?;
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
            GroupCommand::Bootstrap(group) => self.step(Input::Bootstrap(group)),
            GroupCommand::Hello(tx) => {
                let status = self.consensus.status();
                // The requester may have disconnected.
                let _ = tx.send(HelloReply {
                    id: status.id,
                    blank: status.is_blank(),
                });
                Ok(())
            }
            GroupCommand::Change(req, tx) => self.propose(*req, PendingRequest::Change(tx)),
            GroupCommand::Query(query, tx) => {
                let token = self.register_pending(PendingRequest::Query(query, tx));
                self.step(Input::ConfirmRead { token })
            }
            GroupCommand::ChangeGroup(req, tx) => {
                log::info!(
                    event = "group_change_asked", author:% = req.author, change:% = req.change;
                    "membership change of the control group requested"
                );
                let change = group_change(req.change);
                let token = self.register_pending(PendingRequest::Group(req, tx));
                self.step(Input::ChangeGroup { token, change })
            }
            GroupCommand::Sync(req, tx) => {
                self.hold_sync(Instant::now(), *req, tx);
                Ok(())
            }
        }
    }

    fn handle_write_report(&mut self, report: WriteReport) -> Result<()> {
        self.metrics.syncs.set(gauge_value(report.sync_count));
        self.metrics.disk_failed.set(i64::from(!report.synced));
        self.step(if report.synced {
            Input::WriteSynced(report.id)
        } else {
            Input::WriteFailed(report.id)
        })
    }

    fn register_pending(&mut self, pending: PendingRequest) -> RequestToken {
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
            // Cannot happen for a change that was decoded from the same
            // encoding.
            pending.reject(consensus::Rejection::DiskFailed);
            return Ok(());
        };
        let token = self.register_pending(pending);
        let command = Bytes::from(command);
        self.step(Input::Propose { token, command })
    }

    /// Renews the leases of a node and holds its request. The reply is sent by
    /// [`Self::run_due_work`].
    fn hold_sync(&mut self, now: Instant, req: SyncRequest, tx: oneshot::Sender<SyncReply>) {
        let Some(leadership) = &mut self.leadership else {
            let leader = self.consensus.status().leader.map(|(_, address)| address);
            // The node may have disconnected.
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
        let hold_deadline = now + req.max_wait.min(MAX_SYNC_HOLD);
        leadership.waiting_syncs.push(WaitingSync {
            req,
            tx,
            hold_deadline,
        });
    }

    /// Passes an input to the consensus and executes the resulting output.
    fn step(&mut self, input: Input) -> Result<()> {
        let output = self.consensus.step(Instant::now(), input);
        let status = self.consensus.status();
        self.update_leadership(&status);
        self.execute(output)?;
        self.compact(status.commit_index)
    }

    fn execute(&mut self, output: Output) -> Result<()> {
        if let Some(write) = output.write {
            // The consensus has at most one write in flight, so the queue is
            // never full.
            self.disk
                .writes
                .try_send(write)
                .map_err(|_| Error::StoreThreadEnded)?;
        }
        for envelope in output.messages {
            self.peers.send(envelope);
        }
        if let Some(snapshot) = &output.installed_snapshot {
            self.load_snapshot(snapshot)?;
        }
        for entry in output.committed_entries {
            self.apply(&entry)?;
        }
        self.update_registry();
        for event in output.completions {
            self.complete(&event);
        }
        Ok(())
    }

    /// Creates or drops the leader's soft state when the role or the term
    /// changes, and updates the metrics of the consensus.
    fn update_leadership(&mut self, status: &Status) {
        self.metrics.leader.set(i64::from(status.is_leader()));
        self.metrics.term.set(gauge_value(status.term.0));
        self.metrics.commit.set(gauge_value(status.commit_index.0));
        let term = self.leadership.as_ref().map(|l| l.term);
        if status.is_leader() && term != Some(status.term) {
            log::info!(event = "leader", term:% = status.term; "became leader of the control group");
            self.end_leadership(status);
            self.leadership = Some(Leadership::new(&self.cfg, status.term, Instant::now()));
        } else if !status.is_leader() && term.is_some() {
            log::info!(event = "leadership_ended", term:% = status.term; "lost leadership of the control group");
            self.end_leadership(status);
        }
    }

    fn end_leadership(&mut self, status: &Status) {
        let leader = status.leader.map(|(_, address)| address);
        if let Some(mut ended) = self.leadership.take() {
            for sync in ended.waiting_syncs.take_all() {
                // The node may have disconnected.
                let _ = sync.tx.send(SyncReply::NotLeader { leader });
            }
        }
        self.change_answers.clear();
    }

    fn load_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        self.state = if snapshot.state.is_empty() {
            ConfigState::default()
        } else {
            ConfigState::decode(&snapshot.state[..])?
        };
        self.snapshot_index = snapshot.position.index;
        self.count_evacuations();
        Ok(())
    }

    /// Applies a committed entry. An entry that cannot be decoded is an error
    /// that ends the process: skipping it would make the configuration of this
    /// host diverge from that of the other members.
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
            base:% = req.base, answer = label; "configuration change applied"
        );
        if let Change::SetEvacuation {
            data_centre,
            evacuated,
        } = &req.change
        {
            log::info!(
                event = "evacuation", index:% = entry.index, data_centre:% = data_centre,
                evacuated = u64::from(*evacuated), author:% = req.author, answer = label;
                "evacuation request applied"
            );
        }
        self.count_evacuations();
        if self.leadership.is_some() {
            self.change_answers.insert(entry.index, answer);
        }
        Ok(())
    }

    fn count_evacuations(&self) {
        let count = self.state.evacuated_data_centres().count();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.evacuated_data_centres.set(count);
    }

    /// Copies configuration changes into the registry of the leader.
    fn update_registry(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.apply_configuration(&self.state);
    }

    fn complete(&mut self, event: &Completion) {
        match *event {
            Completion::Accepted { token, index } => {
                let answer = self.change_answers.remove(&index);
                match (self.pending.remove(&token), answer) {
                    (Some(PendingRequest::Change(tx)), Some(answer)) => {
                        // The requester may have disconnected.
                        let _ = tx.send(ChangeReply::Final(answer));
                    }
                    (Some(PendingRequest::Group(call, tx)), _) => {
                        self.queue_audit_note(call, None);
                        // The requester may have disconnected.
                        let _ = tx.send(GroupReply::Done);
                    }
                    (Some(pending), _) => pending.reply_unknown(),
                    (None, _) => {}
                }
            }
            Completion::Rejected { token, reason } => {
                if let Some(pending) = self.pending.remove(&token) {
                    if let (PendingRequest::Group(call, _), Some(refused)) =
                        (&pending, group_refusal(reason))
                    {
                        self.queue_audit_note(call.clone(), Some(refused));
                    }
                    pending.reject(reason);
                }
            }
            Completion::OutcomeUnknown { token } => {
                if let Some(pending) = self.pending.remove(&token) {
                    pending.reply_unknown();
                }
            }
            Completion::ReadConfirmed { token, .. } => self.answer_confirmed_read(token),
        }
    }

    /// Queues a record of a membership change for the audit trail. The record is
    /// lost if the leader has removed itself, because it can no longer propose.
    fn queue_audit_note(&mut self, call: GroupChangeRequest, refused: Option<GroupRefusal>) {
        self.audit_notes.push(ChangeRequest {
            id: ChangeId::generate(),
            author: call.author,
            base: Revision(0),
            change: Change::NoteGroup {
                change: call.change,
                refused,
            },
        });
    }

    /// Replies to a read after a majority has confirmed that this host still
    /// leads.
    fn answer_confirmed_read(&mut self, token: RequestToken) {
        let Some(pending) = self.pending.remove(&token) else {
            return;
        };
        let Some(leadership) = &mut self.leadership else {
            return pending.reject(consensus::Rejection::NotLeader { leader: None });
        };
        leadership.read_confirmed = true;
        let view = LeaderView {
            state: &self.state,
            registry: &leadership.registry,
        };
        match pending {
            PendingRequest::Syncs(syncs) => {
                for sync in syncs {
                    let reply = view.reply(&sync.req);
                    let label = reply_label(&reply);
                    self.metrics.replies.with_label_values(&[label]).inc();
                    // The node may have disconnected.
                    let _ = sync.tx.send(reply);
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

    /// Does the leader's due work: publishes a membership, expires nodes, answers
    /// held syncs and proposes the leader's own changes.
    fn run_due_work(&mut self, now: Instant) -> Result<()> {
        let Some(leadership) = &mut self.leadership else {
            return Ok(());
        };
        if leadership.publish(now) {
            self.metrics.publications.inc();
        }
        leadership.nodes.expire(now);
        self.metrics
            .nodes
            .set(gauge_value(leadership.nodes.len() as u64));
        let due = leadership.take_due(now, &self.state);
        if !due.is_empty() {
            // A single confirmed read covers all of them, so that the number
            // of messages between the members for one change does not grow
            // with the number of nodes.
            let token = self.register_pending(PendingRequest::Syncs(due));
            self.step(Input::ConfirmRead { token })?;
        }
        for note in std::mem::take(&mut self.audit_notes) {
            self.propose(note, PendingRequest::Internal)?;
        }
        if self.state.keys().is_none() && self.can_propose_first_key() {
            self.propose_first_key()?;
        }
        Ok(())
    }

    /// Whether the first key is certainly missing and not yet proposed. Before a
    /// confirmed read, the log of a new leader may contain a key that it has not
    /// applied yet.
    fn can_propose_first_key(&self) -> bool {
        let proposed = self
            .pending
            .values()
            .any(|p| matches!(p, PendingRequest::Internal));
        self.leadership.as_ref().is_some_and(|l| l.read_confirmed) && !proposed
    }

    /// Proposes a random first key for connection ids.
    fn propose_first_key(&mut self) -> Result<()> {
        let Ok(author) = SYSTEM_AUTHOR.parse() else {
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

    /// Takes a snapshot of the configuration and truncates the log once
    /// `compact_after_entries` entries have been applied since the last one.
    fn compact(&mut self, commit: Revision) -> Result<()> {
        let through = self.state.last_applied().min(commit);
        if through.0 < self.snapshot_index.0 + self.cfg.compact_after_entries {
            return Ok(());
        }
        let mut state = Vec::new();
        self.state.encode(&mut state)?;
        self.snapshot_index = through;
        let state = Bytes::from(state);
        self.step(Input::Compact { through, state })
    }
}

/// Value of the `answer` metric label and log field.
fn answer_label(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted(_) => "accepted",
        Answer::Conflict(_) => "conflict",
        Answer::Refused(_) => "refused",
    }
}

/// Value of the `reply` metric label.
fn reply_label(reply: &SyncReply) -> &'static str {
    match reply {
        SyncReply::Current { .. } => "current",
        SyncReply::Update(update) if update.is_snapshot => "snapshot",
        SyncReply::Update(_) => "delta",
        SyncReply::NotLeader { .. } | SyncReply::Unconfirmed => "declined",
    }
}

fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Converts a value for a gauge, which is signed; saturates at `i64::MAX`.
fn gauge_value(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
