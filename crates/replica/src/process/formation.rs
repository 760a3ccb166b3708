//! The task that agrees with the other seeds on the first group.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use directory::{FirstGroup, FormationMessage};
use tokio::{sync::mpsc, time::sleep_until};

use super::{Settings, formation_file::AcceptorStorage};
use crate::version::{
    AcceptorState, FirstGroupPolicy, Formation, FormationOutput, FormationSchedule, HeardHosts,
    first_member_id,
};

/// Capacity of the queues between this task and the nodes task. Messages beyond it are
/// dropped and sent again by their senders.
const QUEUE_CAPACITY: usize = 64;

/// Interval at which the request of an attempt is sent again to the seeds that have not
/// answered.
const RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Delay before a failed write of the acceptor state is tried again.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between log lines that give the reason why no group is formed.
const STALL_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A message to the task.
#[derive(Debug)]
pub(crate) enum FormationInput {
    /// A message of another seed.
    Message(Ipv4Addr, FormationMessage),
    /// The control hosts that were heard, and whether the local member is in a group.
    Heard { hosts: HeardHosts, formed: bool },
    /// Another host has sent the chosen group.
    Learned(FirstGroup),
}

/// A message of the task.
#[derive(Debug)]
pub(crate) enum FormationEvent {
    /// A message for another seed.
    Send(Ipv4Addr, FormationMessage),
    /// The chosen group is sent to this host.
    Inform(Ipv4Addr, FirstGroup),
    /// The first group was chosen.
    Chosen(FirstGroup),
}

/// The channels to a [`FormationTask`].
pub(crate) struct FormationHandle {
    pub inputs: mpsc::Sender<FormationInput>,
    pub events: mpsc::Receiver<FormationEvent>,
}

/// The task that owns a seed's part in the agreement on the first group.
struct FormationTask<S> {
    formation: Formation,
    schedule: FormationSchedule,
    policy: FirstGroupPolicy,
    storage: S,
    heard: HeardHosts,
    /// Whether the local member is in a group: one was chosen, and its leader reaches
    /// the other members.
    formed: bool,
    resend_at: Instant,
    stall_log_at: Instant,
    inputs: mpsc::Receiver<FormationInput>,
    events: mpsc::Sender<FormationEvent>,
}

/// Starts the task of a seed with this acceptor state.
pub(crate) fn spawn<S: AcceptorStorage>(
    cfg: &Settings,
    acceptor: AcceptorState,
    storage: S,
) -> FormationHandle {
    let now = Instant::now();
    let (inputs_tx, inputs) = mpsc::channel(QUEUE_CAPACITY);
    let (events, events_rx) = mpsc::channel(QUEUE_CAPACITY);
    let formation = Formation::new(cfg.ip, acceptor);
    let task = FormationTask {
        schedule: FormationSchedule::new(formation.rank(), now),
        formation,
        policy: FirstGroupPolicy::new(&cfg.membership),
        storage,
        heard: HeardHosts::default(),
        formed: false,
        resend_at: now,
        stall_log_at: now + STALL_LOG_INTERVAL,
        inputs,
        events,
    };
    actix_rt::spawn(task.run());
    FormationHandle {
        inputs: inputs_tx,
        events: events_rx,
    }
}

impl<S: AcceptorStorage> FormationTask<S> {
    /// Runs until the nodes task ends.
    async fn run(mut self) {
        if let Some(group) = self.formation.chosen().cloned()
            && self.send(FormationEvent::Chosen(group)).await.is_none()
        {
            return;
        }
        loop {
            let (wake_at, proposes) = self.wake_at();
            let out = tokio::select! {
                input = self.inputs.recv() => match input {
                    Some(input) => self.handle(input, Instant::now()),
                    None => return,
                },
                () = sleep_until(wake_at.into()), if proposes => self.tick(Instant::now()),
            };
            if self.execute(out).await.is_none() {
                return;
            }
        }
    }

    /// Whether the seed proposes, and when it has something to do.
    fn wake_at(&self) -> (Instant, bool) {
        let mut at = self.schedule.next_at();
        if self.formation.attempt().is_some() {
            at = at.min(self.resend_at);
        }
        (at, !self.formed && self.formation.chosen().is_none())
    }

    fn handle(&mut self, input: FormationInput, now: Instant) -> FormationOutput {
        match input {
            FormationInput::Message(from, message) => {
                let promised = self.formation.acceptor().promised;
                let out = self.formation.receive(from, message);
                if self.formation.acceptor().promised > promised {
                    self.schedule.defer(now);
                }
                out
            }
            FormationInput::Heard { hosts, formed } => {
                self.heard = hosts;
                self.formed = formed;
                FormationOutput::default()
            }
            FormationInput::Learned(group) => {
                if self.formation.chosen().is_some_and(|known| *known != group) {
                    log::error!(event = "other_first_group"; "another host has sent a first group that differs from the chosen one; ignored");
                }
                self.formation.learn(&group)
            }
        }
    }

    fn tick(&mut self, now: Instant) -> FormationOutput {
        if now < self.schedule.next_at() {
            self.resend_at = now + RESEND_INTERVAL;
            return self.formation.resend();
        }
        let seeds = &self.formation.acceptor().seeds;
        let with_placeholders = self.schedule.allows_placeholders(now);
        let group = self.policy.group(&self.heard, seeds, with_placeholders);
        self.log_stall(now);
        self.resend_at = now + RESEND_INTERVAL;
        let Some(group) = group else {
            self.schedule.wait_for_hosts(now);
            return FormationOutput::default();
        };
        self.schedule.attempted(now);
        let out = self.formation.propose(group);
        log::info!(
            event = "formation_attempt", attempt = self.schedule.attempts(),
            hosts = self.heard.controls.len(); "proposing the first group to the seeds"
        );
        out
    }

    /// Logs why the attempts made so far have not formed a group.
    fn log_stall(&mut self, now: Instant) {
        if now < self.stall_log_at {
            return;
        }
        self.stall_log_at = now + STALL_LOG_INTERVAL;
        let seeds = &self.formation.acceptor().seeds;
        let is_lost = |seed: &&Ipv4Addr| {
            let id = self.heard.controls.get(*seed);
            id.is_some_and(|id| *id != first_member_id(**seed))
        };
        let lost = seeds.iter().filter(is_lost).count();
        if 2 * (seeds.len() - lost) <= seeds.len() {
            log::error!(
                event = "formation_impossible", seeds = seeds.len(), lost = lost;
                "most seeds have lost their disks before a group was formed; none can be formed, and the deployment must be started anew"
            );
            return;
        }
        log::warn!(
            event = "formation_stalled", hosts = self.heard.controls.len(),
            needed = self.policy.min_hosts(), seeds = seeds.len(),
            answered = self.formation.answer_count();
            "no group is formed yet: too few control hosts with a disk were heard, or no majority of the seeds answers"
        );
    }

    /// Saves the acceptor state, then sends what depends on it. Returns `None` once the
    /// nodes task has ended.
    async fn execute(&mut self, out: FormationOutput) -> Option<()> {
        if out.state_changed {
            self.save().await;
        }
        for (to, message) in out.messages {
            self.send(FormationEvent::Send(to, message)).await?;
        }
        let Some(chosen) = self.formation.chosen().cloned() else {
            return Some(());
        };
        for to in out.inform {
            self.send(FormationEvent::Inform(to, chosen.clone()))
                .await?;
        }
        if out.state_changed {
            self.send(FormationEvent::Chosen(chosen)).await?;
        }
        Some(())
    }

    async fn save(&self) {
        let mut is_logged = false;
        while let Err(e) = self.storage.save(self.formation.acceptor().clone()).await {
            if !is_logged {
                log::warn!(event = "formation_not_written", error:% = e; "cannot write the acceptor state; retrying");
                is_logged = true;
            }
            actix_rt::time::sleep(WRITE_RETRY_DELAY).await;
        }
    }

    async fn send(&self, event: FormationEvent) -> Option<()> {
        self.events.send(event).await.ok()
    }
}
