//! Commands to the admission task.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use admit::{
    Attempt, ClaimAnswer, LoadReport, PeerAnswer, Refusal, RequestInfo, RequestOutcome,
    RetryDecision,
};
use hedge::{CandidateState, Denial, Repeatable, Withdrawal};
use tokio::sync::{mpsc, oneshot};
use types::{
    ClassLoads, ClassName, Connections, RequestId, ReservationId, ServiceId, Target, UpstreamId,
    UpstreamState,
};
use wire::{OfferRequest, ReserveReply, ReserveRequest};

use crate::{request::AttemptError, version::Peer};

/// Reply of admission to a request.
#[derive(Debug)]
pub enum AdmissionReply {
    /// Send it to the agent's own upstream; a slot is taken.
    Run {
        /// When to hedge it; `None` if it cannot be hedged.
        hedge: Option<HedgeTimer>,
    },
    /// Hand it off to a peer, which has reserved a slot.
    HandOff {
        /// Id of the peer's upstream.
        upstream: UpstreamId,
        /// The peer.
        peer: Peer,
        /// Reservation of the slot.
        reservation: ReservationId,
    },
    /// Refuse it; it was not run.
    Refuse(Refusal),
}

/// When to hedge a request that runs at the agent's own upstream. The time of its
/// response is reported with [`AdmissionCommand::Answered`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HedgeTimer {
    /// When to ask for a hedge; `None` until the delay of the class is known.
    pub due: Option<Instant>,
}

/// A slot that a peer has reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSlot {
    /// Id of the peer's upstream.
    pub upstream: UpstreamId,
    /// The peer.
    pub peer: Peer,
    /// Reservation of the slot.
    pub reservation: ReservationId,
}

/// Returns on drop what a hedge did not use, so that a request that is dropped at any
/// point leaks nothing: its part of the budget unless it was sent, and the slot unless
/// the peer answered. A slot that the peer has given to the request already is not
/// affected; it ends with the connection.
#[derive(Debug)]
pub struct HedgeSlot {
    slot: PeerSlot,
    /// `None` once the hedge was sent.
    withdrawal: Option<Withdrawal>,
    is_answered: bool,
    admission: AdmissionHandle,
}

impl HedgeSlot {
    /// Creates the slot of a hedge that has not been sent.
    #[must_use]
    pub fn new(slot: PeerSlot, withdrawal: Withdrawal, admission: AdmissionHandle) -> Self {
        HedgeSlot {
            slot,
            withdrawal: Some(withdrawal),
            is_answered: false,
            admission,
        }
    }

    /// Records that the hedge is sent, and returns the slot to send it to.
    pub fn send(&mut self) -> PeerSlot {
        if let Some(withdrawal) = self.withdrawal.take() {
            self.admission.send(AdmissionCommand::HedgeSent(withdrawal));
        }
        self.slot.clone()
    }

    /// Records that the peer has answered.
    pub fn answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for HedgeSlot {
    fn drop(&mut self) {
        if !self.is_answered {
            let returned = AdmissionCommand::HedgeUnused(self.slot.clone(), self.withdrawal.take());
            self.admission.send(returned);
        }
    }
}

/// Reply to a request that asks for a hedge.
#[derive(Debug)]
pub enum HedgeReply {
    /// Send it to this peer too.
    Send(HedgeSlot),
    /// It is not hedged.
    Denied(Denial),
    /// The chosen peer did not reserve a slot.
    PeerRefused,
}

/// Configuration of the admission task, from the version in force.
#[derive(Debug)]
pub struct AdmissionConfig {
    /// Service whose requests are served; `None` while it is not configured.
    pub service: Option<ServiceId>,
    /// Target of each request class.
    pub targets: BTreeMap<ClassName, Target>,
    /// The other upstreams of the service.
    pub peers: BTreeMap<UpstreamId, Peer>,
    /// Whether the peers may get hedges.
    pub hedge_states: BTreeMap<UpstreamId, CandidateState>,
    /// Whether the upstream is draining.
    pub leaving: bool,
}

/// Status of the upstream, as the agent announces it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamStatus {
    /// State of the upstream.
    pub state: UpstreamState,
    /// Load of each request class.
    pub loads: ClassLoads,
    /// Number of open connections.
    pub connections: Connections,
}

/// A command to the admission task.
#[derive(Debug)]
pub enum AdmissionCommand {
    /// A request arrived. The reply is sent once admission has decided. Retries have
    /// no `Repeatable`; they are neither hedged nor counted for the hedge budget.
    Arrive(
        RequestInfo,
        Option<Repeatable>,
        oneshot::Sender<AdmissionReply>,
    ),
    /// The response of a request with a [`HedgeTimer`] arrived after this time.
    Answered(ClassName, Duration),
    /// A request has waited until its [`HedgeTimer`] was due.
    Hedge(ClassName, oneshot::Sender<HedgeReply>),
    /// A peer answered the reservation request for a hedge.
    HedgeReserved(PeerSlot, Withdrawal, bool, oneshot::Sender<HedgeReply>),
    /// A hedge was sent.
    HedgeSent(Withdrawal),
    /// A hedge ended without an answer of the peer. With a [`Withdrawal`], it was not
    /// sent.
    HedgeUnused(PeerSlot, Option<Withdrawal>),
    /// A request that ran at the agent's own upstream ended.
    Finish(RequestId, RequestOutcome),
    /// A request that was queued or running was cancelled.
    Cancel(RequestId),
    /// An attempt failed; the reply tells whether to retry.
    CheckRetry(Attempt, oneshot::Sender<RetryDecision>),
    /// A peer requests a reservation.
    Reserve(ReserveRequest, oneshot::Sender<ReserveReply>),
    /// A peer sent a request that uses its reservation.
    Claim(ReservationId, RequestId, oneshot::Sender<ClaimAnswer>),
    /// A peer no longer needs its reservation.
    Release(ReservationId),
    /// A peer offers a slot after it had refused one.
    Offer(OfferRequest),
    /// Asks to accept one more connection. It is counted if the reply is `true`.
    OpenConnection(oneshot::Sender<bool>),
    /// A connection was closed.
    CloseConnection,
    /// The upstream reported its load for a class.
    LoadReport(ClassName, LoadReport),
    /// Whether a connection to the upstream could be opened.
    ConnectResult(bool),
    /// A new version is in force.
    Configure(AdmissionConfig),
    /// The loads of peers changed.
    PeerLoads(BTreeMap<UpstreamId, ClassLoads>),
    /// A peer answered a reservation request of this task.
    PeerAnswered(RequestId, UpstreamId, ReservationId, PeerAnswer),
    /// Asks for the status to announce.
    GetStatus(oneshot::Sender<UpstreamStatus>),
}

/// Sends commands to the admission task.
///
/// The channel is unbounded, because releasing a slot must never fail or block;
/// each request and connection sends a fixed number of commands.
#[derive(Debug, Clone)]
pub struct AdmissionHandle {
    tx: mpsc::UnboundedSender<AdmissionCommand>,
}

impl AdmissionHandle {
    /// Creates a handle and the receiver of the task.
    #[must_use]
    pub fn channel() -> (Self, mpsc::UnboundedReceiver<AdmissionCommand>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (AdmissionHandle { tx }, rx)
    }

    /// Sends a command. Does nothing once the task has ended.
    pub fn send(&self, command: AdmissionCommand) {
        let _ = self.tx.send(command);
    }

    /// Reports whether an attempt could connect to the upstream.
    pub fn report_attempt<T>(&self, result: &std::result::Result<T, AttemptError>) {
        let connected = match result {
            Ok(_) => Some(true),
            Err(attempt_error) => attempt_error.upstream_connected(),
        };
        if let Some(ok) = connected {
            self.send(AdmissionCommand::ConnectResult(ok));
        }
    }

    /// Sends a command and waits for its reply; `None` once the task has ended.
    pub async fn ask<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> AdmissionCommand,
    ) -> Option<T> {
        let (tx, rx) = oneshot::channel();
        self.send(command(tx));
        rx.await.ok()
    }
}
