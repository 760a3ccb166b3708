//! The task that owns the register of a stand-in upstream.

use std::collections::BTreeMap;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};

/// Commands that may wait for the task.
const COMMANDS: usize = 1024;

#[derive(Debug)]
enum Command {
    Run(Bytes, oneshot::Sender<u64>),
    Runs(oneshot::Sender<BTreeMap<Bytes, u64>>),
}

/// Counts how often each claim was run.
#[derive(Debug)]
pub struct Register {
    runs: BTreeMap<Bytes, u64>,
    commands: mpsc::Receiver<Command>,
}

/// Reaches the register's task. The task ends with its last handle.
#[derive(Debug, Clone)]
pub struct RegisterHandle {
    tx: mpsc::Sender<Command>,
}

impl Register {
    /// An empty register; its task is [`Register::run`].
    #[must_use]
    pub fn new() -> (Register, RegisterHandle) {
        let (tx, commands) = mpsc::channel(COMMANDS);
        let register = Register {
            runs: BTreeMap::new(),
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
            }
        }
    }
}

impl RegisterHandle {
    /// Runs a claim and returns how often it has run by now.
    pub async fn claim(&self, id: Bytes) -> u64 {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Run(id, tx)).await;
        rx.await.unwrap_or_default()
    }

    /// How often each claim has run.
    pub async fn runs(&self) -> BTreeMap<Bytes, u64> {
        let (tx, rx) = oneshot::channel();
        let _ = self.tx.send(Command::Runs(tx)).await;
        rx.await.unwrap_or_default()
    }
}
