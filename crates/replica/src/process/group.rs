//! The task that owns the consensus and the configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use config::ConfigState;
use consensus::{
    Completion, Consensus, EntryPayload, Envelope, Group, GroupChange, Input, LogEntry, Message,
    Output, Rejection, RequestToken, Snapshot, Status, TransferId,
};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::sleep_until,
};
use types::{Answer, Change, DataCentre, MemberId, Refusal, Revision, RoutingSet, UnixMillis};
use wire::request::{ChangeReply, QueryReply};

use super::{Settings, metrics::Metrics};
use crate::{
    Error, Result,
    request::{Command, EncodedChange, PendingRequest, ReadTarget, SetId},
    version::{ControlHostContact, MembershipPolicy, Placement},
};

/// Interval at which the leader checks whether a membership change is needed.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between log lines that say which voters a group without a leader lacks. Above the
/// time in which a group elects a leader after a stall.
const NO_LEADER_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum size of all proposals that are not committed yet, in bytes: two of the maximum
/// size. The log keeps them in memory.
const MAX_PENDING_BYTES: usize = 8 << 20;

/// A message to the task.
#[derive(Debug)]
pub(crate) enum GroupCommand {
    /// A message of another member.
    Message(Message),
    /// The transport has delivered a large message to another member, or has given up.
    TransferEnded { id: TransferId, delivered: bool },
    /// An operator's change.
    Change(EncodedChange, oneshot::Sender<ChangeReply>),
    /// A read of the configuration.
    Read(ReadTarget, oneshot::Sender<QueryReply>),
    /// The known control hosts and the last contact with each.
    ControlHosts(BTreeMap<MemberId, ControlHostContact>),
    /// Forms the first group.
    Bootstrap(Group),
}

/// The task that owns the consensus and the configuration.
pub(crate) struct GroupTask {
    cfg: Settings,
    membership_policy: MembershipPolicy,
    consensus: Consensus,
    state: ConfigState,
    pending: BTreeMap<RequestToken, PendingRequest>,
    next_token: u64,
    /// Answers to applied entries, until their proposals are reported as accepted.
    answers: BTreeMap<Revision, Answer>,
    /// The routing set in force.
    set_in_force: Option<SetId>,
    control_hosts: BTreeMap<MemberId, ControlHostContact>,
    review_at: Instant,
    /// When the log is compacted next; `None` if it has not grown.
    compact_at: Option<Instant>,
    /// Whether this member led, and the group, at the last `group` log line.
    last_logged: Option<(bool, Option<Group>)>,
    /// The voters whose disks are known to be lost.
    lost_voters: BTreeSet<MemberId>,
    /// When the lack of a leader is logged next.
    no_leader_log_at: Instant,
    disk: store::StoreHandle,
    outgoing: mpsc::Sender<Envelope>,
    routes: watch::Sender<Option<Arc<RoutingSet>>>,
    placement: watch::Sender<Placement>,
    membership_status: watch::Sender<MembershipStatus>,
    metrics: Metrics,
    commands: mpsc::Receiver<GroupCommand>,
}

/// A member's view of its group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct MembershipStatus {
    /// Whether the member has a group.
    pub formed: bool,
    /// Whether the member is the leader or has a known leader.
    pub current: bool,
    /// Whether the member votes in its view of the group, and no change of voters is under
    /// way.
    pub votes: bool,
    /// The other members of the group.
    pub other_members: Vec<SocketAddr>,
}

/// Channels of a [`GroupTask`].
pub(crate) struct Channels {
    pub disk: store::StoreHandle,
    pub outgoing: mpsc::Sender<Envelope>,
    pub routes: watch::Sender<Option<Arc<RoutingSet>>>,
    pub placement: watch::Sender<Placement>,
    pub membership_status: watch::Sender<MembershipStatus>,
    pub commands: mpsc::Receiver<GroupCommand>,
}

impl GroupTask {
    /// Creates the task with the state in `snapshot`, if there is one. The state is
    /// published at once, since it was accepted before the process started.
    pub fn new(
        cfg: Settings,
        consensus: Consensus,
        snapshot: Option<&Snapshot>,
        channels: Channels,
        metrics: Metrics,
    ) -> Result<Self> {
        let mut task = GroupTask {
            membership_policy: MembershipPolicy::new(cfg.membership),
            cfg,
            consensus,
            state: ConfigState::default(),
            pending: BTreeMap::new(),
            next_token: 0,
            answers: BTreeMap::new(),
            set_in_force: None,
            control_hosts: BTreeMap::new(),
            review_at: Instant::now(),
            compact_at: None,
            last_logged: None,
            lost_voters: BTreeSet::new(),
            no_leader_log_at: Instant::now() + NO_LEADER_LOG_INTERVAL,
            disk: channels.disk,
            outgoing: channels.outgoing,
            routes: channels.routes,
            placement: channels.placement,
            membership_status: channels.membership_status,
            metrics,
            commands: channels.commands,
        };
        if let Some(snapshot) = snapshot {
            task.load_snapshot(snapshot)?;
        }
        Ok(task)
    }

    /// Runs until the senders of commands are gone or the disk thread fails.
    pub async fn run(mut self) -> Result<()> {
        // The group on disk is known before the first election timeout.
        self.publish_status();
        loop {
            let deadline = self.next_deadline();
            tokio::select! {
                report = self.disk.reports.recv() => match report {
                    Some(report) if report.synced => self.step(Input::WriteSynced(report.id))?,
                    Some(report) => self.step(Input::WriteFailed(report.id))?,
                    None => return Err(Error::DiskThreadEnded),
                },
                command = self.commands.recv() => match command {
                    Some(command) => self.handle(command)?,
                    None => return Ok(()),
                },
                () = sleep_until(deadline.into()) => self.step(Input::Tick)?,
            }
            self.run_due_tasks(Instant::now())?;
        }
    }

    fn next_deadline(&self) -> Instant {
        let mut deadline = self.consensus.next_deadline();
        if self.consensus.status().is_leader() {
            deadline = deadline.min(self.review_at);
        }
        self.compact_at.map_or(deadline, |at| deadline.min(at))
    }

    fn handle(&mut self, command: GroupCommand) -> Result<()> {
        match command {
            GroupCommand::Message(message) => self.step(Input::Message(message)),
            GroupCommand::TransferEnded { id, delivered } => {
                self.step(Input::TransferEnded { id, delivered })
            }
            GroupCommand::Change(change, tx) => self.change(change, tx),
            GroupCommand::Read(target, tx) => {
                let token = self.register_pending(PendingRequest::Read(target, tx));
                self.step(Input::ConfirmRead { token })
            }
            GroupCommand::Bootstrap(group) => self.step(Input::Bootstrap(group)),
            GroupCommand::ControlHosts(control_hosts) => {
                self.control_hosts = control_hosts;
                Ok(())
            }
        }
    }

    fn register_pending(&mut self, pending: PendingRequest) -> RequestToken {
        let token = RequestToken(self.next_token);
        self.next_token += 1;
        self.pending.insert(token, pending);
        token
    }

    /// Proposes a change. A routing set is proposed only once a read is confirmed, which
    /// shows that the entries of earlier leaders are applied: one of them may contain it.
    fn change(&mut self, change: EncodedChange, tx: oneshot::Sender<ChangeReply>) -> Result<()> {
        let Some(set) = change.set else {
            return self.propose(&change, tx);
        };
        let token = self.register_pending(PendingRequest::Replacement(change, set, tx));
        self.step(Input::ConfirmRead { token })
    }

    /// Proposes a routing set, unless it is in force or a proposal of it is pending.
    fn replace_routes(
        &mut self,
        change: &EncodedChange,
        id: SetId,
        tx: oneshot::Sender<ChangeReply>,
    ) -> Result<()> {
        if self.set_in_force == Some(id) {
            let accepted = Answer::Accepted(self.state.last_applied());
            // The requester may have disconnected.
            let _ = tx.send(ChangeReply::Final(accepted));
            return Ok(());
        }
        for pending in self.pending.values_mut() {
            if let PendingRequest::Change { set, replies, .. } = pending
                && *set == Some(id)
            {
                log::info!(event = "change_joined", set:% = id; "the same routing set is already proposed");
                replies.push(tx);
                return Ok(());
            }
        }
        let changes = self.pending.values().map(|pending| match pending {
            PendingRequest::Change { bytes, .. } => *bytes,
            _ => 0,
        });
        if changes.sum::<usize>() + change.bytes.len() > MAX_PENDING_BYTES {
            // The requester may have disconnected.
            let _ = tx.send(ChangeReply::Unavailable);
            return Ok(());
        }
        self.propose(change, tx)
    }

    fn propose(&mut self, change: &EncodedChange, tx: oneshot::Sender<ChangeReply>) -> Result<()> {
        let Ok(command) = wire::encode_pair(&unix_now(), &change.bytes) else {
            // Not expected: the change has the same encoding.
            let _ = tx.send(ChangeReply::Unavailable);
            return Ok(());
        };
        let token = self.register_pending(PendingRequest::Change {
            set: change.set,
            bytes: change.bytes.len(),
            replies: vec![tx],
        });
        let command = Bytes::from(command);
        self.step(Input::Propose { token, command })
    }

    /// Passes an input to the consensus and executes its output.
    fn step(&mut self, input: Input) -> Result<()> {
        let output = self.consensus.step(Instant::now(), input);
        self.execute_output(output)?;
        self.publish_status();
        Ok(())
    }

    fn execute_output(&mut self, output: Output) -> Result<()> {
        if let Some(write) = output.write {
            // At most one write is outstanding, so the queue has room.
            let sent = self.disk.writes.try_send(write);
            sent.map_err(|_| Error::DiskThreadEnded)?;
        }
        for envelope in output.messages {
            // Dropped if the queue is full; the consensus sends it again.
            let _ = self.outgoing.try_send(envelope);
        }
        if let Some(snapshot) = &output.installed_snapshot {
            self.load_snapshot(snapshot)?;
        }
        for entry in output.committed_entries {
            self.apply(&entry)?;
        }
        for event in output.completions {
            self.complete_request(&event)?;
        }
        Ok(())
    }

    fn publish_status(&mut self) {
        let status = self.consensus.status();
        self.metrics.leader.set(i64::from(status.is_leader()));
        self.metrics.term.set(gauge(status.term.0));
        self.metrics.commit.set(gauge(status.commit_index.0));
        let voters = status.group.as_ref().map_or(0, |group| group.voters.len());
        self.metrics.voters.set(gauge(voters as u64));
        let learners = status.group.as_ref().map_or(0, |g| g.learners.len());
        self.metrics.learners.set(gauge(learners as u64));
        let tolerated = gauge(status.tolerated_losses as u64);
        self.metrics.tolerated_losses.set(tolerated);
        self.log_lost_voters(&status);
        let members = status.group.iter().flat_map(Group::members);
        // A placeholder in the first group has no host.
        let others =
            members.filter(|(id, address)| *id != status.id && !address.ip().is_unspecified());
        let is_voter = |group: &Group| !group.is_joint() && group.is_voter(status.id);
        let membership_status = MembershipStatus {
            votes: status.group.as_ref().is_some_and(is_voter),
            formed: !status.is_blank(),
            current: status.leader.is_some(),
            other_members: others.map(|(_, address)| address).collect(),
        };
        self.membership_status.send_if_modified(|known| {
            let changed = *known != membership_status;
            *known = membership_status;
            changed
        });
        let told = (status.is_leader(), status.group.clone());
        if self.last_logged.as_ref() == Some(&told) {
            return;
        }
        let outgoing = status.group.as_ref().map_or(0, |g| g.outgoing.len());
        log::info!(
            event = "group", leads = u64::from(status.is_leader()), term:% = status.term,
            voters = voters, learners = learners, outgoing = outgoing,
            tolerated_losses = status.tolerated_losses, commit:% = status.commit_index;
            "leadership or members of the control group changed"
        );
        if !status.is_leader() {
            self.answers.clear();
        }
        self.last_logged = Some(told);
    }

    /// Logs the voters whose disks have become known to be lost.
    fn log_lost_voters(&mut self, status: &Status) {
        if self.lost_voters == status.lost_voters {
            return;
        }
        self.metrics
            .lost_voters
            .set(gauge(status.lost_voters.len() as u64));
        for member in status.lost_voters.difference(&self.lost_voters) {
            log::warn!(
                event = "voter_lost", member:% = member, term:% = status.term;
                "the address of a voter answers under another id: its disk is lost"
            );
        }
        self.lost_voters.clone_from(&status.lost_voters);
    }

    fn load_snapshot(&mut self, snapshot: &Snapshot) -> Result<()> {
        if !snapshot.state.is_empty() {
            self.state = ConfigState::decode(&snapshot.state[..])?;
        }
        self.publish();
        Ok(())
    }

    /// Publishes the configuration to the other tasks.
    fn publish(&mut self) {
        self.publish_placement();
        self.publish_routes();
    }

    /// Publishes the current placement. Its revision never decreases. Receivers are
    /// only notified of a newer policy, not of repeated requests.
    fn publish_placement(&mut self) {
        let placement = Placement::from_state(&self.state);
        let evacuated = placement.evacuated().len() as u64;
        self.metrics.evacuated_data_centres.set(gauge(evacuated));
        self.placement.send_if_modified(|published| {
            let newer = published.revision() < placement.revision();
            if newer {
                let evacuated = placement.evacuated().iter();
                let evacuated: Vec<&str> = evacuated.map(DataCentre::as_str).collect();
                log::info!(
                    event = "placement", revision:% = placement.revision(),
                    evacuated = evacuated.join(", ").as_str();
                    "applied a newer placement policy"
                );
            }
            *published = placement;
            newer
        });
    }

    /// Publishes the current routing set. Its number never decreases.
    fn publish_routes(&mut self) {
        let Some(set) = self.state.routes() else {
            return;
        };
        self.metrics.routing_set.set(gauge(set.number.0));
        self.routes.send_if_modified(|published| {
            let newer = published.as_ref().is_none_or(|p| p.number < set.number);
            if newer {
                log::info!(
                    event = "routes", set:% = set.number, rules = set.rules.len();
                    "applied a newer routing set"
                );
                *published = Some(set.clone());
                self.set_in_force = Some(SetId::of(set));
            }
            newer
        });
    }

    /// Applies an entry. One that cannot be decoded ends the process: skipping it
    /// would make this host's configuration diverge from the other members'.
    fn apply(&mut self, entry: &LogEntry) -> Result<()> {
        let EntryPayload::Command(command) = &entry.payload else {
            return Ok(());
        };
        let Command {
            proposed_at: at,
            req,
        } = wire::decode(command).map_err(|e| Error::DecodeEntry(entry.index, e))?;
        let answer = self.state.apply(entry.index, at, &req);
        let label = match answer {
            Answer::Accepted(_) => "accepted",
            Answer::Conflict(_) => "conflict",
            Answer::Refused(_) => "refused",
        };
        self.metrics.changes.with_label_values(&[label]).inc();
        log::info!(
            event = "change", index:% = entry.index, id:% = req.id, author:% = req.author,
            answer = label; "change applied"
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
        if self.consensus.status().is_leader() {
            self.answers.insert(entry.index, answer);
        }
        self.publish();
        self.compact_at = Some(Instant::now() + self.cfg.compaction_delay);
        Ok(())
    }

    fn complete_request(&mut self, event: &Completion) -> Result<()> {
        match *event {
            Completion::Accepted { token, index } => {
                let answer = self.answers.remove(&index);
                if let Some(PendingRequest::Change { replies, .. }) = self.pending.remove(&token) {
                    let reply = answer.map_or(ChangeReply::Unknown, ChangeReply::Final);
                    reply_to_all(replies, &reply);
                }
            }
            Completion::Rejected { token, reason } => self.reject(token, reason),
            Completion::OutcomeUnknown { token } => match self.pending.remove(&token) {
                Some(PendingRequest::Change { replies, .. }) => {
                    reply_to_all(replies, &ChangeReply::Unknown);
                }
                Some(PendingRequest::Read(_, tx)) => {
                    drop(tx.send(QueryReply::NotLeader { leader: None }));
                }
                Some(PendingRequest::Replacement(..) | PendingRequest::Group) | None => {}
            },
            Completion::ReadConfirmed { token, .. } => match self.pending.remove(&token) {
                Some(PendingRequest::Read(target, tx)) => {
                    let _ = tx.send(match target {
                        ReadTarget::Routes => QueryReply::Routes(self.state.routes().cloned()),
                        ReadTarget::Evacuations => {
                            QueryReply::Evacuations(self.state.evacuations().clone())
                        }
                    });
                }
                Some(PendingRequest::Replacement(change, id, tx)) => {
                    return self.replace_routes(&change, id, tx);
                }
                _ => {}
            },
        }
        Ok(())
    }

    fn reject(&mut self, token: RequestToken, reason: Rejection) {
        let leader = match reason {
            Rejection::NotLeader { leader } => leader.map(|(_, address)| address),
            _ => None,
        };
        // The requester may have disconnected.
        match self.pending.remove(&token) {
            Some(PendingRequest::Change { replies, .. }) => {
                let reply = match reason {
                    Rejection::NotLeader { .. } => ChangeReply::NotLeader { leader },
                    Rejection::TooLarge { bytes, limit } => {
                        ChangeReply::Final(Answer::Refused(Refusal::TooLarge { bytes, limit }))
                    }
                    _ => ChangeReply::Unavailable,
                };
                reply_to_all(replies, &reply);
            }
            Some(PendingRequest::Replacement(_, _, tx)) => {
                drop(tx.send(ChangeReply::NotLeader { leader }));
            }
            Some(PendingRequest::Read(_, tx)) => drop(tx.send(QueryReply::NotLeader { leader })),
            Some(PendingRequest::Group) => {
                log::info!(event = "group_change_rejected", reason:% = reason; "membership change rejected");
            }
            None => {}
        }
    }

    /// Compacts the log and proposes membership changes when they are due.
    fn run_due_tasks(&mut self, now: Instant) -> Result<()> {
        if self.compact_at.is_some_and(|at| now >= at) {
            self.compact_at = None;
            self.compact()?;
        }
        if now < self.review_at {
            return Ok(());
        }
        self.review_at = now + REVIEW_INTERVAL;
        let status = self.consensus.status();
        self.log_missing_leader(&status, now);
        match self.next_group_change(&status, now) {
            Some(change) => self.change_group(change),
            None => Ok(()),
        }
    }

    /// Logs which voters a group lacks that has had no leader for some time.
    fn log_missing_leader(&mut self, status: &Status, now: Instant) {
        if status.leader.is_some() || status.is_blank() {
            self.no_leader_log_at = now + NO_LEADER_LOG_INTERVAL;
        }
        // Only a member that asks for votes knows who grants them.
        let Some(group) = status.group.as_ref() else {
            return;
        };
        if now < self.no_leader_log_at || status.supporters.is_empty() {
            return;
        }
        self.no_leader_log_at = now + NO_LEADER_LOG_INTERVAL;
        let voters = group.voters.iter();
        let missing = voters.filter(|(id, _)| !status.supporters.contains(id));
        let missing: Vec<String> = missing
            .map(|(id, address)| match self.member_at(*address) {
                Some(successor) if successor != *id => {
                    format!("{id} at {address}, which is now used by {successor}")
                }
                _ => format!("{id} at {address}"),
            })
            .collect();
        log::warn!(
            event = "no_leader", term:% = status.term, voters = group.voters.len(),
            granted = status.supporters.len(), missing = missing.join("; ").as_str();
            "the control group has no leader: these voters grant no vote"
        );
    }

    /// The control host that was last heard at an address.
    fn member_at(&self, address: SocketAddr) -> Option<MemberId> {
        let hosts = self.control_hosts.iter();
        let hosts = hosts.filter(|(_, host)| host.address == address);
        hosts
            .max_by_key(|(_, host)| host.last_heard)
            .map(|(id, _)| *id)
    }

    fn next_group_change(&self, status: &Status, now: Instant) -> Option<GroupChange> {
        let changing = self
            .pending
            .values()
            .any(|p| matches!(p, PendingRequest::Group));
        if !status.is_leader() || status.change_pending || changing {
            return None;
        }
        let group = status.group.as_ref()?;
        self.membership_policy.next_change(
            status.id,
            group,
            &status.caught_up,
            &self.control_hosts,
            now,
        )
    }

    fn change_group(&mut self, change: GroupChange) -> Result<()> {
        log::info!(event = "group_change", change:? = change; "proposing a membership change");
        let token = self.register_pending(PendingRequest::Group);
        self.step(Input::ChangeGroup { token, change })
    }

    fn compact(&mut self) -> Result<()> {
        let through = self.state.last_applied();
        let mut state = Vec::new();
        self.state.encode(&mut state)?;
        // Without the spare capacity, which the snapshot would keep.
        let state = Bytes::from(state.into_boxed_slice());
        self.step(Input::Compact { through, state })
    }
}

fn reply_to_all(replies: Vec<oneshot::Sender<ChangeReply>>, reply: &ChangeReply) {
    for tx in replies {
        // The requester may have disconnected.
        let _ = tx.send(reply.clone());
    }
}

fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.unwrap_or_default().as_millis();
    UnixMillis(u64::try_from(millis).unwrap_or(u64::MAX))
}

/// Converts to the signed value of a gauge, saturating.
pub(crate) fn gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
