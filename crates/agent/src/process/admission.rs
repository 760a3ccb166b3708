//! The task that owns the admission.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use admit::{
    Admission, Decision, DeferredDecision, Offer, PeerAnswer, RefusalReason, RequestInfo,
    ReservationAnswer, RetryBudget, decide_retry,
};
use client::Http;
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
    AdmissionCommand, AdmissionHandle, Grant,
    commands::{AdmissionView, Summary},
    peer::{OFFER_PATH, RELEASE_PATH, RESERVE_PATH},
};
use crate::version::Peer;

/// Time for a peer to answer, after which it counts as unreachable. Several
/// times the delay between data centres, so that a lost packet fits in.
const PEER_ANSWER: Duration = Duration::from_millis(100);

/// Time for which a peer is asked to hold a slot: the answer has to come back
/// and the request has to go out.
const HOLD: Duration = Duration::from_millis(200);

/// Time for a probe of the upstream.
const PROBE: Duration = Duration::from_secs(1);

/// Pause that bounds how late the admission's own deadlines are met.
const IDLE: Duration = Duration::from_secs(1);

/// The task that owns the admission.
pub struct AdmissionTask {
    admission: Admission,
    budget: RetryBudget,
    own: UpstreamId,
    data_centre: DataCentre,
    upstream: SocketAddr,
    service: Option<ServiceId>,
    peers: BTreeMap<UpstreamId, Peer>,
    /// Requests without a grant: the class, and whoever waits.
    waiting: BTreeMap<RequestId, (ClassName, oneshot::Sender<Grant>)>,
    connections: Connections,
    http: Http,
    handle: AdmissionHandle,
    rx: mpsc::UnboundedReceiver<AdmissionCommand>,
}

impl AdmissionTask {
    /// Creates the task.
    #[must_use]
    pub fn new(
        cfg: &super::Settings,
        own: UpstreamId,
        http: Http,
        handle: AdmissionHandle,
        rx: mpsc::UnboundedReceiver<AdmissionCommand>,
    ) -> Self {
        let seed = rand::rng().random();
        AdmissionTask {
            admission: Admission::new(cfg.admission.clone(), seed),
            budget: RetryBudget::new(),
            own,
            data_centre: cfg.data_centre.clone(),
            upstream: cfg.upstream_address,
            service: None,
            peers: BTreeMap::new(),
            waiting: BTreeMap::new(),
            connections: Connections(0),
            http,
            handle,
            rx,
        }
    }

    /// Runs until every handle is gone or the task is aborted.
    pub async fn run(mut self) {
        loop {
            let idle = Instant::now() + IDLE;
            let deadline = self.admission.next_deadline().unwrap_or(idle);
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
        let wakes = self.admission.tick(now);
        self.wake(wakes);
        if self.admission.start_due_probe(now) {
            self.probe();
        }
    }

    fn handle_command(&mut self, now: Instant, command: AdmissionCommand) {
        use AdmissionCommand as C;
        match command {
            C::Arrive(info, tx) => self.arrive(now, info, tx),
            C::Finish(id, outcome) => {
                let wakes = self.admission.finish(now, id, outcome);
                self.wake(wakes);
            }
            C::Cancel(id) => {
                self.waiting.remove(&id);
                let wakes = self.admission.cancel(now, id);
                self.wake(wakes);
            }
            C::Judge(attempt, tx) => {
                let _ = tx.send(decide_retry(now, &attempt, &mut self.budget));
            }
            C::Reserve(req, tx) => {
                let _ = tx.send(self.reserve(now, &req));
            }
            C::Claim(reservation, id, tx) => {
                let _ = tx.send(self.admission.claim(now, reservation, id));
            }
            C::Release(reservation) => {
                let wakes = self.admission.release(now, reservation);
                self.wake(wakes);
            }
            C::Offer(offer) => self.offered(&offer),
            C::OpenConnection(tx) => {
                let may = self.admission.may_accept_connection();
                if may {
                    self.admission.connection_opened();
                    self.connections.0 += 1;
                }
                let _ = tx.send(may);
            }
            C::CloseConnection => {
                self.admission.connection_closed();
                self.connections.0 = self.connections.0.saturating_sub(1);
            }
            C::Report(class, report) => {
                let wakes = self.admission.apply_report(now, &class, report);
                self.wake(wakes);
            }
            C::Connected(ok) => self.connected(now, ok),
            C::View(view) => self.apply(now, view),
            C::PeerLoads(loads) => {
                let own = self.own;
                for (peer, loads) in loads.into_iter().filter(|(id, _)| *id != own) {
                    let wakes = self.admission.update_peer_loads(now, peer, &loads);
                    self.wake(wakes);
                }
            }
            C::PeerAnswered(id, peer, reservation, answer) => {
                if let Some(decision) = self.admission.handle_peer_answer(now, id, peer, answer) {
                    self.decide(id, decision, Some(reservation));
                }
            }
            C::Summarise(tx) => {
                let _ = tx.send(self.summary());
            }
        }
    }

    fn arrive(&mut self, now: Instant, info: RequestInfo, tx: oneshot::Sender<Grant>) {
        let id = info.id;
        self.budget.deposit();
        self.waiting.insert(id, (info.class.clone(), tx));
        let decision = self.admission.arrive(now, info);
        self.decide(id, decision, None);
    }

    fn wake(&mut self, wakes: Vec<DeferredDecision>) {
        for DeferredDecision { id, decision } in wakes {
            self.decide(id, decision, None);
        }
    }

    /// Carries out a decision. `reservation` is the one that a peer granted,
    /// if the decision follows a peer's answer.
    fn decide(&mut self, id: RequestId, decision: Decision, reservation: Option<ReservationId>) {
        match (decision, reservation) {
            (Decision::Run, _) => self.grant(id, Grant::Run),
            (Decision::Refuse(reason), _) => self.grant(id, Grant::Refuse(reason)),
            (Decision::AskPeer { peer }, _) => self.ask_peer(id, peer),
            (Decision::Forward { peer }, Some(reservation)) => self.pass(id, peer, reservation),
            (Decision::Release { peer }, Some(reservation)) => self.release(peer, reservation),
            // A peer's slot is only ever given or returned on its answer.
            (Decision::Forward { .. } | Decision::Release { .. }, None)
            | (Decision::Queue { .. }, _) => {}
        }
    }

    fn grant(&mut self, id: RequestId, grant: Grant) {
        let Some((_, tx)) = self.waiting.remove(&id) else {
            return;
        };
        // The request may have gone away meanwhile; its slot is free again.
        match tx.send(grant) {
            Ok(()) | Err(Grant::Refuse(_)) => {}
            Err(Grant::Run) => self.handle.send(AdmissionCommand::Cancel(id)),
            Err(Grant::Pass {
                upstream,
                reservation,
                ..
            }) => self.release(upstream, reservation),
        }
    }

    fn pass(&mut self, id: RequestId, upstream: UpstreamId, reservation: ReservationId) {
        let grant = match self.peers.get(&upstream) {
            Some(peer) => Grant::Pass {
                upstream,
                peer: peer.clone(),
                reservation,
            },
            None => Grant::Refuse(RefusalReason::NotServing),
        };
        self.grant(id, grant);
    }

    /// Asks a peer for a slot; the answer comes back as a command.
    fn ask_peer(&self, id: RequestId, upstream: UpstreamId) {
        let reservation = ReservationId(rand::rng().random());
        let handle = self.handle.clone();
        let (Some(peer), Some(service), Some(class)) = (
            self.peers.get(&upstream).cloned(),
            self.service,
            self.waiting.get(&id).map(|(class, _)| class.clone()),
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
            from: self.own,
            class,
            hold: HOLD,
        };
        let http = self.http.clone();
        actix_rt::spawn(async move {
            let deadline = Instant::now() + PEER_ANSWER;
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

    /// Returns a slot to a peer. If the message is lost, the reservation
    /// lapses at its deadline.
    fn release(&self, peer: UpstreamId, reservation: ReservationId) {
        if let Some(peer) = self.peers.get(&peer) {
            self.tell(peer.address, RELEASE_PATH, reservation);
        }
    }

    /// Passes a queued request against an offered slot, or returns the slot.
    fn offered(&mut self, offer: &OfferRequest) {
        if offer.upstream != self.own || Some(offer.service) != self.service {
            return;
        }
        match self.admission.accept_offer(offer.from, &offer.class) {
            Some(DeferredDecision { id, decision }) => self.decide(id, decision, Some(offer.id)),
            None => self.release(offer.from, offer.id),
        }
    }

    /// Offers slots that became free to peers that were refused. If an offer
    /// is lost, its reservation lapses at its deadline.
    fn send_offers(&mut self, now: Instant) {
        let Some(service) = self.service else {
            return;
        };
        for Offer { peer, class, id } in self.admission.take_offers(now) {
            let Some(known) = self.peers.get(&peer) else {
                self.handle.send(AdmissionCommand::Release(id));
                continue;
            };
            let offer = OfferRequest {
                id,
                service,
                upstream: peer,
                from: self.own,
                class,
            };
            self.tell(known.address, OFFER_PATH, offer);
        }
    }

    /// Sends a message to a peer that may be lost.
    fn tell<T: Serialize + 'static>(&self, address: SocketAddr, path: &'static str, message: T) {
        let http = self.http.clone();
        actix_rt::spawn(async move {
            let deadline = Instant::now() + PEER_ANSWER;
            let _: client::Result<()> = http.post(address, path, &message, deadline).await;
        });
    }

    fn reserve(&mut self, now: Instant, req: &ReserveRequest) -> ReserveReply {
        if req.upstream != self.own || Some(req.service) != self.service {
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

    fn connected(&mut self, now: Instant, ok: bool) {
        let wakes = if ok {
            self.admission.connect_succeeded(now)
        } else {
            self.admission.connect_failed(now)
        };
        self.wake(wakes);
    }

    /// Tries to connect to an upstream that is down.
    fn probe(&self) {
        let handle = self.handle.clone();
        let upstream = self.upstream;
        actix_rt::spawn(async move {
            let connected = timeout(PROBE, TcpStream::connect(upstream)).await;
            let ok = matches!(connected, Ok(Ok(_)));
            handle.send(AdmissionCommand::Connected(ok));
        });
    }

    fn apply(&mut self, now: Instant, view: AdmissionView) {
        self.service = view.service;
        let data_centres: BTreeMap<_, _> = view
            .peers
            .iter()
            .map(|(&id, peer)| (id, peer.data_centre.clone()))
            .collect();
        self.peers = view.peers;
        self.admission.set_peers(&self.data_centre, &data_centres);
        let wakes = self.admission.set_targets(now, &view.targets);
        self.wake(wakes);
        let wakes = self.admission.set_leaving(now, view.leaving);
        self.wake(wakes);
    }

    fn summary(&self) -> Summary {
        Summary {
            state: self.admission.state(),
            loads: self.admission.loads(),
            connections: self.connections,
        }
    }
}
