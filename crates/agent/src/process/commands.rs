//! Commands to the task that owns the admission.

use std::collections::BTreeMap;

use admit::{
    Attempt, ClaimAnswer, LoadReport, PeerAnswer, RefusalReason, RequestInfo, RequestOutcome,
    RetryDecision,
};
use tokio::sync::{mpsc, oneshot};
use types::{
    ClassName, Connections, Loads, RequestId, ReservationId, ServiceId, Target, UpstreamId,
    UpstreamState,
};
use wire::{OfferRequest, ReserveReply, ReserveRequest};

use crate::{request::AttemptError, version::Peer};

/// What a request may do.
#[derive(Debug)]
pub enum AdmissionReply {
    /// Send it to the upstream; a slot is taken.
    Run,
    /// Send it to a peer, which holds a slot.
    HandOff {
        /// The peer's identity.
        upstream: UpstreamId,
        /// The peer.
        peer: Peer,
        /// The slot that the peer holds.
        reservation: ReservationId,
    },
    /// Refuse it as not run.
    Refuse(RefusalReason),
}

/// What a version tells the task.
#[derive(Debug)]
pub struct AdmissionConfig {
    /// Service whose requests are served; none while it is not configured.
    pub service: Option<ServiceId>,
    /// Target of each class of work.
    pub targets: BTreeMap<ClassName, Target>,
    /// The other upstreams of the service.
    pub peers: BTreeMap<UpstreamId, Peer>,
    /// Whether the upstream leaves.
    pub leaving: bool,
}

/// What the agent announces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// State of the upstream.
    pub state: UpstreamState,
    /// Load of each class of work.
    pub loads: Loads,
    /// Connections that are open.
    pub connections: Connections,
}

/// A message to the task.
#[derive(Debug)]
pub enum AdmissionCommand {
    /// A request arrived; the grant is its only answer.
    Arrive(RequestInfo, oneshot::Sender<AdmissionReply>),
    /// A request that ran here ended.
    Finish(RequestId, RequestOutcome),
    /// A request that waited or ran here is gone.
    Cancel(RequestId),
    /// An attempt failed; says what to do.
    CheckRetry(Attempt, oneshot::Sender<RetryDecision>),
    /// A peer asks for a slot.
    Reserve(ReserveRequest, oneshot::Sender<ReserveReply>),
    /// A peer sends a request against its reservation.
    Claim(ReservationId, RequestId, oneshot::Sender<ClaimAnswer>),
    /// A peer no longer needs its reservation.
    Release(ReservationId),
    /// A peer that had refused a slot offers one.
    Offer(OfferRequest),
    /// Whether one more connection may be accepted; counts it if so.
    OpenConnection(oneshot::Sender<bool>),
    /// A connection was closed.
    CloseConnection,
    /// The upstream reports its load of a class.
    LoadReport(ClassName, LoadReport),
    /// A connection to the upstream was opened or could not be.
    ConnectResult(bool),
    /// A new version is in force.
    Configure(AdmissionConfig),
    /// New loads of peers.
    PeerLoads(BTreeMap<UpstreamId, Loads>),
    /// A peer answered a question of this task.
    PeerAnswered(RequestId, UpstreamId, ReservationId, PeerAnswer),
    /// What to announce.
    GetStatus(oneshot::Sender<UpstreamStatus>),
}

/// Sends commands to the task.
///
/// The channel is unbounded, because giving a slot back must never fail or
/// wait; each request and connection sends only a fixed number of commands.
#[derive(Debug, Clone)]
pub struct AdmissionHandle {
    tx: mpsc::UnboundedSender<AdmissionCommand>,
}

impl AdmissionHandle {
    /// Creates the handle and the task's end.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<AdmissionCommand>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (AdmissionHandle { tx }, rx)
    }

    /// Sends a command. Does nothing once the task has ended.
    pub fn send(&self, command: AdmissionCommand) {
        let _ = self.tx.send(command);
    }

    /// Tells the task what an attempt shows of the upstream.
    pub fn report_attempt<T>(&self, result: &std::result::Result<T, AttemptError>) {
        let connected = match result {
            Ok(_) => Some(true),
            Err(attempt_error) => attempt_error.upstream_connected(),
        };
        if let Some(ok) = connected {
            self.send(AdmissionCommand::ConnectResult(ok));
        }
    }

    /// Sends a command and waits for its answer; `None` once the task has
    /// ended.
    pub async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> AdmissionCommand,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(command(tx));
        rx.await.ok()
    }
}
