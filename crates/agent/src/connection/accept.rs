//! The task that accepts connections.

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use quinn::{Connecting, Connection, Endpoint, Incoming};
use tokio::{sync::watch, task::JoinSet, time::timeout};

use super::serve;
use crate::{
    process::{AdmissionCommand, AdmissionHandle},
    request::RequestContext,
};

/// Handshakes under way from which on a caller must first show that it
/// receives at its address (RFC 9000, section 8.1.2).
const HANDSHAKES_BEFORE_RETRY: usize = 256;

/// Handshakes under way from which on first packets are dropped.
const MAX_PENDING_HANDSHAKES: usize = 4096;

/// Longest time for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// What becomes of a first packet, before the limit of connections is looked
/// at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeDecision {
    /// A handshake may begin.
    Accept,
    /// The caller must first show that it receives at its address.
    Retry,
    /// It is dropped without an answer.
    Ignore,
}

impl HandshakeDecision {
    /// Decides by the number of handshakes under way. `may_retry` says that the
    /// caller's address is not validated yet.
    #[must_use]
    pub fn decide(handshakes: usize, may_retry: bool) -> Self {
        if handshakes >= MAX_PENDING_HANDSHAKES {
            HandshakeDecision::Ignore
        } else if handshakes >= HANDSHAKES_BEFORE_RETRY && may_retry {
            HandshakeDecision::Retry
        } else {
            HandshakeDecision::Accept
        }
    }
}

/// The task that accepts connections and owns their tasks.
pub struct AcceptTask {
    endpoint: Endpoint,
    cx: RequestContext,
    /// Whether the agent leaves.
    leaving: watch::Receiver<bool>,
    /// Whether the process is to end once it is empty.
    stop: watch::Receiver<bool>,
    connections: JoinSet<()>,
}

impl AcceptTask {
    /// Creates the task.
    #[must_use]
    pub fn new(
        endpoint: Endpoint,
        cx: RequestContext,
        leaving: watch::Receiver<bool>,
        stop: watch::Receiver<bool>,
    ) -> Self {
        AcceptTask {
            endpoint,
            cx,
            leaving,
            stop,
            connections: JoinSet::new(),
        }
    }

    /// Runs until the process is to end and every connection has ended.
    pub async fn run(mut self) {
        let mut handshakes = FuturesUnordered::new();
        let mut stop = self.stop.clone();
        loop {
            if *stop.borrow() && handshakes.is_empty() && self.connections.is_empty() {
                return;
            }
            tokio::select! {
                incoming = self.endpoint.accept() => {
                    let Some(incoming) = incoming else { return };
                    if let Some(connecting) = self.accept_handshake(incoming, handshakes.len()).await {
                        handshakes.push(timeout(HANDSHAKE_TIMEOUT, connecting));
                    }
                }
                Some(finished) = handshakes.next() => match finished {
                    Ok(Ok(connection)) => self.spawn_connection(connection),
                    _ => self.cx.admission.send(AdmissionCommand::CloseConnection),
                },
                Some(_) = self.connections.join_next() => {}
                changed = stop.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Decides about a first packet.
    async fn accept_handshake(&self, incoming: Incoming, handshakes: usize) -> Option<Connecting> {
        match HandshakeDecision::decide(handshakes, incoming.may_retry()) {
            HandshakeDecision::Ignore => {
                self.count_refused("handshakes");
                incoming.ignore();
                return None;
            }
            HandshakeDecision::Retry => {
                self.count_refused("retry");
                // Fails only if the address is validated, which was checked.
                let _ = incoming.retry();
                return None;
            }
            HandshakeDecision::Accept => {}
        }
        if !self.open_connection().await {
            self.count_refused("limit");
            incoming.refuse();
            return None;
        }
        if let Ok(connecting) = incoming.accept() {
            return Some(connecting);
        }
        self.count_refused("invalid");
        self.cx.admission.send(AdmissionCommand::CloseConnection);
        None
    }

    async fn open_connection(&self) -> bool {
        let admission: &AdmissionHandle = &self.cx.admission;
        let accepted = admission.ask(AdmissionCommand::OpenConnection).await;
        accepted.unwrap_or(false)
    }

    fn spawn_connection(&mut self, connection: Connection) {
        let cx = self.cx.clone();
        let leaving = self.leaving.clone();
        self.connections.spawn_local(async move {
            let open_connections = cx.metrics.open_connections.clone();
            let admission = cx.admission.clone();
            open_connections.inc();
            serve(cx, connection, leaving).await;
            open_connections.dec();
            admission.send(AdmissionCommand::CloseConnection);
        });
    }

    fn count_refused(&self, reason: &str) {
        let refused = &self.cx.metrics.refused_connections;
        refused.with_label_values(&[reason]).inc();
    }
}
