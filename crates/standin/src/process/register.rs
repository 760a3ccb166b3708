//! The task that counts the claims and requests of a stand-in upstream.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// Slots that a stand-in upstream reports until [`RegisterHandle::set_slots`].
const INITIAL_SLOTS: u32 = 1 << 16;

#[derive(Debug)]
enum Command {
    RunClaim(Bytes, oneshot::Sender<u64>),
    ClaimRuns(oneshot::Sender<BTreeMap<Bytes, u64>>),
    Begin,
    End { complete: bool },
    Activity(oneshot::Sender<Activity>),
    SetSlots(u32),
}

/// Request counts and reported slots of a stand-in upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Activity {
    /// Requests in progress.
    pub running: u64,
    /// Maximum number of requests that were in progress at the same time.
    pub max_running: u64,
    /// Requests that ended before their answer was complete.
    pub cancelled: u64,
    /// Slots that the load report states.
    pub slots: u32,
}

/// Counts the runs of each claim and the requests in progress.
#[derive(Debug)]
pub struct Register {
    runs: BTreeMap<Bytes, u64>,
    activity: Activity,
    commands: mpsc::UnboundedReceiver<Command>,
}

/// Sends commands to the task of a [`Register`]. The task ends when the last
/// handle is dropped.
///
/// The channel is unbounded because [`RunningRequest`] sends a command on drop,
/// where it cannot wait. Each request sends a fixed number of commands.
#[derive(Debug, Clone)]
pub struct RegisterHandle {
    tx: mpsc::UnboundedSender<Command>,
}

/// Guard of a request in progress. Dropping it ends the request, which counts as
/// cancelled unless [`complete`](RunningRequest::complete) was called.
#[derive(Debug)]
pub struct RunningRequest {
    register: RegisterHandle,
    complete: bool,
}

impl RunningRequest {
    /// Marks the answer as complete.
    pub fn complete(&mut self) {
        self.complete = true;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let complete = self.complete;
        let _ = self.register.tx.send(Command::End { complete });
    }
}

impl Register {
    /// Creates an empty register. [`Register::run`] must be spawned as a task.
    #[must_use]
    pub fn new() -> (Register, RegisterHandle) {
        let (tx, commands) = mpsc::unbounded_channel();
        let register = Register {
            runs: BTreeMap::new(),
            activity: Activity {
                running: 0,
                max_running: 0,
                cancelled: 0,
                slots: INITIAL_SLOTS,
            },
            commands,
        };
        (register, RegisterHandle { tx })
    }

    /// Handles commands until the last handle is dropped.
    pub async fn run(mut self) {
        while let Some(command) = self.commands.recv().await {
            // Replies are ignored if the requester has been cancelled.
            match command {
                Command::RunClaim(id, tx) => {
                    let runs = self.runs.entry(id).or_default();
                    *runs += 1;
                    let _ = tx.send(*runs);
                }
                Command::ClaimRuns(tx) => drop(tx.send(self.runs.clone())),
                Command::Begin => {
                    self.activity.running += 1;
                    self.activity.max_running =
                        self.activity.max_running.max(self.activity.running);
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
    /// Counts a run of a claim and returns its number of runs so far.
    pub async fn run_claim(&self, id: Bytes) -> u64 {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::RunClaim(id, tx));
        rx.await.unwrap_or_default()
    }

    /// Number of runs of each claim.
    pub async fn runs(&self) -> BTreeMap<Bytes, u64> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::ClaimRuns(tx));
        rx.await.unwrap_or_default()
    }

    /// Counts a request as in progress until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> RunningRequest {
        let _ = self.tx.send(Command::Begin);
        RunningRequest {
            register: self.clone(),
            complete: false,
        }
    }

    /// The current counts; `None` once the task has ended.
    pub async fn activity(&self) -> Option<Activity> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Activity(tx));
        rx.await.ok()
    }

    /// Sets the slots that the load report states.
    pub fn set_slots(&self, slots: u32) {
        let _ = self.tx.send(Command::SetSlots(slots));
    }
}
