//! The admission task.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use admit::{
    Admission, Decision, DeferredDecision, Offer, PeerAnswer, RefusalReason, RequestInfo,
    ReservationAnswer, RetryBudget, decide_retry,
};
use client::HttpClient;
use hedge::{Repeatable, Withdrawal};
use rand::Rng;
use serde::Serialize;
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::{sleep_until, timeout},
};
use types::{ClassName, Connections, DataCentre, RequestId, ReservationId, ServiceId, UpstreamId};
use wire::{OfferRequest, ReserveReply, ReserveRequest};

use super::{
    AdmissionCommand, AdmissionHandle, AdmissionReply, HedgeReply, HedgeSlot, HedgeTimer, PeerSlot,
    commands::{AdmissionConfig, UpstreamStatus},
    hedging::PeerHedging,
    peer::{OFFER_PATH, RELEASE_PATH, RESERVE_PATH},
};
use crate::version::Peer;

/// Timeout for a reply of a peer, after which it counts as unreachable. It is
/// several times the delay between data centres, which allows for one
/// retransmission.
const PEER_REPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// Lifetime of a reservation at a peer. It must cover the reply's way back and
/// the request's way to the peer.
const RESERVATION_HOLD: Duration = Duration::from_millis(200);

/// Timeout of a connection probe of the upstream.
const UPSTREAM_PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time between two ticks; bounds how late deadlines of admission are
/// handled.
const MAX_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Owns the admission state and carries out its decisions.
pub struct AdmissionTask {
    admission: Admission,
    retry_budget: RetryBudget,
    own_id: UpstreamId,
    data_centre: DataCentre,
    upstream_address: SocketAddr,
    service: Option<ServiceId>,
    peers: BTreeMap<UpstreamId, Peer>,
    /// Requests without a reply yet.
    pending_requests: BTreeMap<RequestId, PendingRequest>,
    hedging: PeerHedging,
    open_connections: Connections,
    http: HttpClient,
    handle: AdmissionHandle,
    rx: mpsc::UnboundedReceiver<AdmissionCommand>,
}

/// A request without a reply.
struct PendingRequest {
    class: ClassName,
    hedge: Option<HedgeTimer>,
    tx: oneshot::Sender<AdmissionReply>,
}

impl AdmissionTask {
    /// Creates the task.
    #[must_use]
    pub fn new(
        cfg: &super::Settings,
        own_id: UpstreamId,
        http: HttpClient,
        handle: AdmissionHandle,
        rx: mpsc::UnboundedReceiver<AdmissionCommand>,
    ) -> Self {
        let (now, seed) = (Instant::now(), rand::rng().random());
        let mut admission = Admission::new(cfg.admission.clone(), seed);
        if let Some(cold) = &cfg.cold {
            admission.limit_cold_starts(now, cold);
        }
        AdmissionTask {
            admission,
            retry_budget: RetryBudget::new(),
            own_id,
            data_centre: cfg.data_centre.clone(),
            upstream_address: cfg.upstream_address,
            service: None,
            peers: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            hedging: PeerHedging::new(now),
            open_connections: Connections(0),
            http,
            handle,
            rx,
        }
    }

    /// Runs until all handles are dropped or the task is aborted.
    pub async fn run(mut self) {
        loop {
            let idle_until = Instant::now() + MAX_TICK_INTERVAL;
            let deadline = self.admission.next_deadline().unwrap_or(idle_until);
            let command = tokio::select! {
                command = self.rx.recv() => match command {
                    Some(command) => Some(command),
                    None => return,
                },
                () = sleep_until(deadline.into()) => None,
            };
            match command {
                Some(command) => self.handle_command(Instant::now(), command),
                None => self.tick(Instant::now()),
            }
            self.send_offers(Instant::now());
        }
    }

    fn tick(&mut self, now: Instant) {
        let deferred = self.admission.tick(now);
        self.carry_out_all(deferred);
        if self.admission.start_due_probe(now) {
            self.probe_upstream();
        }
    }

    fn handle_command(&mut self, now: Instant, command: AdmissionCommand) {
        use AdmissionCommand as C;
        match command {
            C::Arrive(info, repeatable, tx) => self.arrive(now, info, repeatable, tx),
            C::Answered(class, latency) => self.hedging.answered(now, &class, latency),
            C::Hedge(class, tx) => self.hedge(now, class, tx),
            C::HedgeReserved(slot, withdrawal, granted, tx) => {
                self.answer_hedge(now, slot, withdrawal, granted, tx);
            }
            C::HedgeSent(withdrawal) => self.hedging.confirm(&withdrawal),
            C::HedgeUnused(slot, withdrawal) => {
                if let Some(withdrawal) = withdrawal {
                    self.hedging.refund(&withdrawal);
                }
                self.release(slot.upstream, slot.reservation);
            }
            C::Finish(id, outcome) => {
                let deferred = self.admission.finish(now, id, outcome);
                self.carry_out_all(deferred);
            }
            C::Cancel(id) => {
                self.pending_requests.remove(&id);
                let deferred = self.admission.cancel(now, id);
                self.carry_out_all(deferred);
            }
            C::CheckRetry(attempt, tx) => {
                let _ = tx.send(decide_retry(now, &attempt, &mut self.retry_budget));
            }
            C::Reserve(req, tx) => {
                let _ = tx.send(self.reserve(now, &req));
            }
            C::Claim(reservation, id, tx) => {
                let _ = tx.send(self.admission.claim(now, reservation, id));
            }
            C::Release(reservation) => {
                let deferred = self.admission.release(now, reservation);
                self.carry_out_all(deferred);
            }
            C::Offer(offer) => self.handle_offer(&offer),
            C::OpenConnection(tx) => {
                let accepted = self.admission.may_accept_connection();
                if accepted {
                    self.admission.connection_opened();
                    self.open_connections.0 += 1;
                }
                let _ = tx.send(accepted);
            }
            C::CloseConnection => {
                self.admission.connection_closed();
                self.open_connections.0 = self.open_connections.0.saturating_sub(1);
            }
            C::LoadReport(class, report) => {
                let deferred = self.admission.apply_report(now, &class, report);
                self.carry_out_all(deferred);
            }
            C::ConnectResult(ok) => self.handle_connect_result(now, ok),
            C::Configure(config) => self.apply(now, config),
            C::PeerLoads(loads) => {
                let own_id = self.own_id;
                for (peer, loads) in loads.into_iter().filter(|(id, _)| *id != own_id) {
                    let deferred = self.admission.update_peer_loads(now, peer, &loads);
                    self.carry_out_all(deferred);
                    self.hedging.update_loads(peer, loads);
                }
                self.hedging.observe_loads(now, &self.admission.loads());
            }
            C::PeerAnswered(id, peer, reservation, answer) => {
                if let Some(decision) = self.admission.handle_peer_answer(now, id, peer, answer) {
                    self.carry_out(id, decision, Some(reservation));
                }
            }
            C::GetStatus(tx) => {
                let _ = tx.send(self.status());
            }
        }
    }

    fn arrive(
        &mut self,
        now: Instant,
        info: RequestInfo,
        repeatable: Option<Repeatable>,
        tx: oneshot::Sender<AdmissionReply>,
    ) {
        let id = info.id;
        self.retry_budget.deposit();
        let class = info.class.clone();
        let hedge = repeatable.and_then(|r| self.hedging.arrive(now, &class, r));
        self.pending_requests
            .insert(id, PendingRequest { class, hedge, tx });
        let decision = self.admission.arrive(now, info);
        self.carry_out(id, decision, None);
    }

    fn carry_out_all(&mut self, deferred: Vec<DeferredDecision>) {
        for DeferredDecision { id, decision } in deferred {
            self.carry_out(id, decision, None);
        }
    }

    /// Carries out a decision. `reservation` is the one that a peer granted,
    /// if the decision follows a peer's answer.
    fn carry_out(&mut self, id: RequestId, decision: Decision, reservation: Option<ReservationId>) {
        match (decision, reservation) {
            (Decision::Run, _) => self.reply_run(id),
            (Decision::Refuse(reason), _) => {
                self.hedging.mark_saturated(Instant::now());
                self.refuse(id, reason);
            }
            (Decision::AskPeer { peer }, _) => self.request_peer_slot(id, peer),
            (Decision::Forward { peer }, Some(reservation)) => self.hand_off(id, peer, reservation),
            (Decision::Release { peer }, Some(reservation)) => self.release(peer, reservation),
            // A peer's slot is used or released only after the peer's answer.
            (Decision::Forward { .. } | Decision::Release { .. }, None)
            | (Decision::Queue { .. }, _) => {}
        }
    }

    fn reply_run(&mut self, id: RequestId) {
        let hedge = self.pending_requests.get(&id).and_then(|p| p.hedge);
        self.reply(id, AdmissionReply::Run { hedge });
    }

    fn reply(&mut self, id: RequestId, reply: AdmissionReply) {
        let Some(pending) = self.pending_requests.remove(&id) else {
            return;
        };
        // If the request was cancelled meanwhile, its slot is released.
        match pending.tx.send(reply) {
            Ok(()) | Err(AdmissionReply::Refuse(_)) => {}
            Err(AdmissionReply::Run { .. }) => self.handle.send(AdmissionCommand::Cancel(id)),
            Err(AdmissionReply::HandOff {
                upstream,
                reservation,
                ..
            }) => self.release(upstream, reservation),
        }
    }

    fn hand_off(&mut self, id: RequestId, upstream: UpstreamId, reservation: ReservationId) {
        let Some(peer) = self.peers.get(&upstream) else {
            return self.refuse(id, RefusalReason::NotServing);
        };
        let reply = AdmissionReply::HandOff {
            upstream,
            peer: peer.clone(),
            reservation,
        };
        self.reply(id, reply);
    }

    fn refuse(&mut self, id: RequestId, reason: RefusalReason) {
        if let Some(pending) = self.pending_requests.get(&id) {
            let refusal = self
                .admission
                .refusal(Instant::now(), &pending.class, reason);
            self.reply(id, AdmissionReply::Refuse(refusal));
        }
    }

    /// Requests a reservation from a peer; the answer arrives as a command.
    fn request_peer_slot(&self, id: RequestId, upstream: UpstreamId) {
        let reservation = ReservationId(rand::rng().random());
        let handle = self.handle.clone();
        let (Some(peer), Some(service), Some(class)) = (
            self.peers.get(&upstream).cloned(),
            self.service,
            self.pending_requests
                .get(&id)
                .map(|pending| pending.class.clone()),
        ) else {
            let answer = PeerAnswer::Unreachable;
            return handle.send(AdmissionCommand::PeerAnswered(
                id,
                upstream,
                reservation,
                answer,
            ));
        };
        let req = ReserveRequest {
            id: reservation,
            service,
            upstream,
            from: self.own_id,
            class,
            hold: RESERVATION_HOLD,
        };
        let http = self.http.clone();
        actix_rt::spawn(async move {
            let deadline = Instant::now() + PEER_REPLY_TIMEOUT;
            let reply = http.post(peer.address, RESERVE_PATH, &req, deadline).await;
            let answer = match reply {
                Ok(ReserveReply::Granted) => PeerAnswer::Granted,
                Ok(ReserveReply::Refused { loads }) => PeerAnswer::Refused(loads),
                Ok(ReserveReply::Misdirected) | Err(_) => PeerAnswer::Unreachable,
            };
            handle.send(AdmissionCommand::PeerAnswered(
                id,
                upstream,
                reservation,
                answer,
            ));
        });
    }

    /// Decides about a hedge and requests a reservation for it; the answer arrives
    /// as a command.
    fn hedge(&mut self, now: Instant, class: ClassName, tx: oneshot::Sender<HedgeReply>) {
        let (upstream, withdrawal) = match self.hedging.choose(now, &class, &self.admission.loads())
        {
            Ok(choice) => choice,
            Err(denial) => {
                let _ = tx.send(HedgeReply::Denied(denial));
                return;
            }
        };
        let (Some(peer), Some(service)) = (self.peers.get(&upstream).cloned(), self.service) else {
            self.hedging.refund(&withdrawal);
            let _ = tx.send(HedgeReply::PeerRefused);
            return;
        };
        let reservation = ReservationId(rand::rng().random());
        let req = ReserveRequest {
            id: reservation,
            service,
            upstream,
            from: self.own_id,
            class,
            hold: RESERVATION_HOLD,
        };
        let http = self.http.clone();
        let handle = self.handle.clone();
        actix_rt::spawn(async move {
            let deadline = Instant::now() + PEER_REPLY_TIMEOUT;
            let reply = http.post(peer.address, RESERVE_PATH, &req, deadline).await;
            let granted = matches!(reply, Ok(ReserveReply::Granted));
            let slot = PeerSlot {
                upstream,
                peer,
                reservation,
            };
            handle.send(AdmissionCommand::HedgeReserved(
                slot, withdrawal, granted, tx,
            ));
        });
    }

    /// Tells a request whether its hedge has a slot. Dropping the slot returns what the
    /// hedge does not use: the request may have ended, or the peer may no longer get
    /// hedges.
    fn answer_hedge(
        &mut self,
        now: Instant,
        slot: PeerSlot,
        withdrawal: Withdrawal,
        granted: bool,
        tx: oneshot::Sender<HedgeReply>,
    ) {
        if !granted {
            self.hedging.mark_saturated(now);
            self.hedging.refund(&withdrawal);
            let _ = tx.send(HedgeReply::PeerRefused);
            return;
        }
        let may_send = self.hedging.may_send(slot.upstream, &withdrawal);
        let slot = HedgeSlot::new(slot, withdrawal, self.handle.clone());
        let _ = tx.send(match may_send {
            Ok(()) => HedgeReply::Send(slot),
            Err(denial) => HedgeReply::Denied(denial),
        });
    }

    /// Releases a reservation at a peer. If the message is lost, the reservation
    /// expires at its deadline.
    fn release(&self, peer: UpstreamId, reservation: ReservationId) {
        if let Some(peer) = self.peers.get(&peer) {
            self.send_unacknowledged(peer.address, RELEASE_PATH, reservation);
        }
    }

    /// Uses an offered slot for a queued request, or releases the slot.
    fn handle_offer(&mut self, offer: &OfferRequest) {
        if offer.upstream != self.own_id || Some(offer.service) != self.service {
            return;
        }
        match self.admission.accept_offer(offer.from, &offer.class) {
            Some(DeferredDecision { id, decision }) => self.carry_out(id, decision, Some(offer.id)),
            None => self.release(offer.from, offer.id),
        }
    }

    /// Offers free slots to peers whose reservation was refused. If an offer is
    /// lost, its reservation expires at its deadline.
    fn send_offers(&mut self, now: Instant) {
        let Some(service) = self.service else {
            return;
        };
        for Offer { peer, class, id } in self.admission.take_offers(now) {
            let Some(destination) = self.peers.get(&peer) else {
                self.handle.send(AdmissionCommand::Release(id));
                continue;
            };
            let offer = OfferRequest {
                id,
                service,
                upstream: peer,
                from: self.own_id,
                class,
            };
            self.send_unacknowledged(destination.address, OFFER_PATH, offer);
        }
    }

    /// Sends a message to a peer without retries; it may be lost.
    fn send_unacknowledged<T: Serialize + 'static>(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: T,
    ) {
        let http = self.http.clone();
        actix_rt::spawn(async move {
            let deadline = Instant::now() + PEER_REPLY_TIMEOUT;
            let _: client::Result<()> = http.post(address, path, &message, deadline).await;
        });
    }

    fn reserve(&mut self, now: Instant, req: &ReserveRequest) -> ReserveReply {
        if req.upstream != self.own_id || Some(req.service) != self.service {
            return ReserveReply::Misdirected;
        }
        let deadline = now + req.hold;
        match self
            .admission
            .reserve(now, req.id, req.from, &req.class, deadline)
        {
            ReservationAnswer::Granted { .. } => ReserveReply::Granted,
            ReservationAnswer::Refused(loads) => ReserveReply::Refused { loads },
        }
    }

    fn handle_connect_result(&mut self, now: Instant, ok: bool) {
        let deferred = if ok {
            self.admission.connect_succeeded(now)
        } else {
            self.admission.connect_failed(now)
        };
        self.carry_out_all(deferred);
    }

    /// Tries to connect to the upstream while it is down.
    fn probe_upstream(&self) {
        let handle = self.handle.clone();
        let upstream_address = self.upstream_address;
        actix_rt::spawn(async move {
            let connected =
                timeout(UPSTREAM_PROBE_TIMEOUT, TcpStream::connect(upstream_address)).await;
            let ok = matches!(connected, Ok(Ok(_)));
            handle.send(AdmissionCommand::ConnectResult(ok));
        });
    }

    fn apply(&mut self, now: Instant, config: AdmissionConfig) {
        self.service = config.service;
        let data_centres: BTreeMap<_, _> = config
            .peers
            .iter()
            .map(|(&id, peer)| (id, peer.data_centre.clone()))
            .collect();
        self.peers = config.peers;
        self.hedging.configure(&config.targets, config.hedge_states);
        self.admission.set_peers(&self.data_centre, &data_centres);
        let deferred = self.admission.set_targets(now, &config.targets);
        self.carry_out_all(deferred);
        let deferred = self.admission.set_leaving(now, config.leaving);
        self.carry_out_all(deferred);
    }

    fn status(&self) -> UpstreamStatus {
        UpstreamStatus {
            state: self.admission.state(),
            loads: self.admission.loads(),
            connections: self.open_connections,
        }
    }
}
