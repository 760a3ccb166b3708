//! The task that accepts QUIC connections.

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use quinn::{Connecting, Connection, Endpoint, Incoming};
use tokio::{sync::watch, task::JoinSet, time::timeout};

use super::serve;
use crate::{
    process::{AdmissionCommand, AdmissionHandle},
    request::RequestContext,
};

/// Number of pending handshakes from which on a caller must validate its address
/// with a Retry packet (RFC 9000, section 8.1.2).
const HANDSHAKES_BEFORE_RETRY: usize = 256;

/// Number of pending handshakes from which on Initial packets are dropped.
const MAX_PENDING_HANDSHAKES: usize = 4096;

/// Timeout of a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// How to respond to an Initial packet, before the connection limit is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HandshakeDecision {
    /// Start the handshake.
    Accept,
    /// Send a Retry packet, so that the caller validates its address.
    Retry,
    /// Drop the packet without a response.
    Ignore,
}

impl HandshakeDecision {
    /// Decides by the number of pending handshakes. `may_retry` is true if the
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

/// Accepts connections and owns their tasks.
pub struct AcceptTask {
    endpoint: Endpoint,
    cx: RequestContext,
    /// Whether the agent is draining.
    leaving: watch::Receiver<bool>,
    /// Whether the process is to stop once all connections have closed.
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

    /// Runs until a stop is requested and all connections have closed.
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

    /// Starts the handshake of an incoming connection, or rejects it.
    async fn accept_handshake(&self, incoming: Incoming, handshakes: usize) -> Option<Connecting> {
        match HandshakeDecision::decide(handshakes, incoming.may_retry()) {
            HandshakeDecision::Ignore => {
                self.count_refused("handshakes");
                incoming.ignore();
                return None;
            }
            HandshakeDecision::Retry => {
                self.count_refused("retry");
                // Fails only if the address is already validated; `may_retry` was checked.
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
