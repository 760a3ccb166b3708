//! The task that owns the register of a stand-in upstream.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// Slots that a stand-in reports until it is told others.
const SLOTS: u32 = 1 << 16;

#[derive(Debug)]
enum Command {
    Run(Bytes, oneshot::Sender<u64>),
    Runs(oneshot::Sender<BTreeMap<Bytes, u64>>),
    Begin,
    End { complete: bool },
    Activity(oneshot::Sender<Activity>),
    SetSlots(u32),
}

/// What an upstream does and did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Activity {
    /// Requests in progress.
    pub running: u64,
    /// Most requests in progress at once.
    pub most: u64,
    /// Requests that were cancelled before their answer was complete.
    pub cancelled: u64,
    /// Slots that the upstream reports.
    pub slots: u32,
}

/// Counts how often each claim was run, and the requests in progress.
#[derive(Debug)]
pub struct Register {
    runs: BTreeMap<Bytes, u64>,
    activity: Activity,
    commands: mpsc::UnboundedReceiver<Command>,
}

/// Reaches the register's task. The task ends with its last handle.
///
/// The channel is unbounded, because the end of a request is noted when a value
/// is dropped; each request sends a fixed number of commands.
#[derive(Debug, Clone)]
pub struct RegisterHandle {
    tx: mpsc::UnboundedSender<Command>,
}

/// A request in progress; ends when it is dropped.
#[derive(Debug)]
pub struct Running {
    register: RegisterHandle,
    complete: bool,
}

impl Running {
    /// Notes that the answer is complete.
    pub fn complete(&mut self) {
        self.complete = true;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let complete = self.complete;
        let _ = self.register.tx.send(Command::End { complete });
    }
}

impl Register {
    /// An empty register; its task is [`Register::run`].
    #[must_use]
    pub fn new() -> (Register, RegisterHandle) {
        let (tx, commands) = mpsc::unbounded_channel();
        let register = Register {
            runs: BTreeMap::new(),
            activity: Activity {
                running: 0,
                most: 0,
                cancelled: 0,
                slots: SLOTS,
            },
            commands,
        };
        (register, RegisterHandle { tx })
    }

    /// Serves until the last handle is gone.
    pub async fn run(mut self) {
        while let Some(command) = self.commands.recv().await {
            // Whoever asked may be gone.
            match command {
                Command::Run(id, tx) => {
                    let runs = self.runs.entry(id).or_default();
                    *runs += 1;
                    let _ = tx.send(*runs);
                }
                Command::Runs(tx) => drop(tx.send(self.runs.clone())),
                Command::Begin => {
                    self.activity.running += 1;
                    self.activity.most = self.activity.most.max(self.activity.running);
                }
                Command::End { complete } => {
                    self.activity.running -= 1;
                    self.activity.cancelled += u64::from(!complete);
                }
                Command::Activity(tx) => drop(tx.send(self.activity)),
                Command::SetSlots(slots) => self.activity.slots = slots,
            }
        }
    }
}

impl RegisterHandle {
    /// Runs a claim and returns how often it has run by now.
    pub async fn claim(&self, id: Bytes) -> u64 {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Run(id, tx));
        rx.await.unwrap_or_default()
    }

    /// How often each claim has run.
    pub async fn runs(&self) -> BTreeMap<Bytes, u64> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Runs(tx));
        rx.await.unwrap_or_default()
    }

    /// Notes a request that begins.
    #[must_use]
    pub fn begin(&self) -> Running {
        let _ = self.tx.send(Command::Begin);
        Running {
            register: self.clone(),
            complete: false,
        }
    }

    /// What the upstream does and did; none once the task has ended.
    pub async fn activity(&self) -> Option<Activity> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Activity(tx));
        rx.await.ok()
    }

    /// Sets the slots that the upstream reports.
    pub fn set_slots(&self, slots: u32) {
        let _ = self.tx.send(Command::SetSlots(slots));
    }
}
