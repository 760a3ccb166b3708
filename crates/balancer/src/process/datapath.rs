//! The task that owns the sockets and forwards datagrams.

use std::{
    collections::BTreeMap,
    future::poll_fn,
    io,
    net::{IpAddr, SocketAddr},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use client::Step;
use tokio::{
    io::ReadBuf,
    net::UdpSocket,
    sync::{mpsc, watch},
};
use types::ServiceId;
use wire::{CidCodec, Endpoints, Prefix, Update};

use super::{ingress::Ingress, metrics::Metrics};
use crate::{Classifier, DropCause, Verdict};

/// Room for the largest UDP payload and a prefix.
const BUFFER: usize = (64 << 10) + wire::MAX_PREFIX_LEN;

/// Datagrams handled in each direction before control messages are looked at.
const BATCH: usize = 64;

/// Shortest time between two log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The task that owns the sockets and forwards datagrams.
pub struct Datapath<I> {
    ingress: I,
    /// Socket towards the agents.
    agents: UdpSocket,
    steps: mpsc::Receiver<Step>,
    classifier: Classifier,
    services: BTreeMap<ServiceId, SocketAddr>,
    /// Opens only services at this address; all if unset.
    only: Option<IpAddr>,
    metrics: Metrics,
    /// No log line about a dropped datagram before this instant.
    next_drop_log: Instant,
    buf: Vec<u8>,
}

/// What woke the task.
enum Wake {
    Step(Option<Step>),
    Datagrams,
}

impl<I: Ingress> Datapath<I> {
    /// Creates the task.
    pub fn new(
        ingress: I,
        agents: UdpSocket,
        steps: mpsc::Receiver<Step>,
        metrics: Metrics,
        only: Option<IpAddr>,
    ) -> Self {
        Datapath {
            ingress,
            agents,
            steps,
            classifier: Classifier::default(),
            services: BTreeMap::new(),
            only,
            metrics,
            next_drop_log: Instant::now(),
            buf: vec![0; BUFFER],
        }
    }

    /// Forwards until `stop` changes.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        loop {
            let wake = tokio::select! {
                _ = stop.changed() => return,
                wake = poll_fn(|cx| self.poll_wake(cx)) => wake,
            };
            match wake {
                Wake::Step(Some(Step::Update(update, done))) => {
                    self.apply(*update);
                    let _ = done.send(());
                }
                Wake::Step(Some(Step::Loads(_))) | Wake::Datagrams => {}
                Wake::Step(None) => return,
            }
        }
    }

    fn poll_wake(&mut self, cx: &mut Context<'_>) -> Poll<Wake> {
        if let Poll::Ready(step) = self.steps.poll_recv(cx) {
            return Poll::Ready(Wake::Step(step));
        }
        let callers = self.poll_callers(cx);
        let agents = self.poll_agents(cx);
        if callers.is_pending() && agents.is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Wake::Datagrams)
    }

    /// Forwards up to a batch of datagrams of callers; pending when the
    /// sockets are empty.
    fn poll_callers(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..BATCH {
            let received = match self.ingress.poll_recv(cx, &mut self.buf) {
                Poll::Pending => return Poll::Pending,
                // Errors of earlier sends show up here and concern no datagram.
                Poll::Ready(Err(_)) => continue,
                Poll::Ready(Ok(received)) => received,
            };
            let verdict = match &received {
                Ok(r) => self.classifier.classify(&r.endpoints, r.packet),
                Err(e) => Verdict::Drop(DropCause::Input(e.category())),
            };
            match (verdict, received) {
                (Verdict::Forward(hop), Ok(r)) => {
                    match self.agents.try_send_to(r.datagram, hop.address) {
                        Ok(_) => self.metrics.forwarded.inc(),
                        Err(_) => self.count_drop(DropCause::Send),
                    }
                }
                (Verdict::Drop(cause), _) => self.count_drop(cause),
                (Verdict::Forward(_), Err(_)) => {}
            }
        }
        Poll::Ready(())
    }

    /// Sends up to a batch of answers to callers; pending when the socket is
    /// empty.
    fn poll_agents(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..BATCH {
            let mut read = ReadBuf::new(&mut self.buf);
            let from = match self.agents.poll_recv_from(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => continue,
                Poll::Ready(Ok(from)) => from,
            };
            let len = read.filled().len();
            if let Err(cause) = self.answer(from, len) {
                self.count_drop(cause);
            }
        }
        Poll::Ready(())
    }

    /// Handles the datagram of an agent in the first `len` bytes of the buffer.
    fn answer(&mut self, from: SocketAddr, len: usize) -> Result<(), DropCause> {
        let datagram = &self.buf[..len];
        let (prefix, packet) =
            Prefix::decode(datagram).map_err(|e| DropCause::Input(e.category()))?;
        let send = |_: io::Error| DropCause::Send;
        match prefix {
            Prefix::Local => {
                self.agents.try_send_to(datagram, from).map_err(send)?;
                self.metrics.probes.inc();
            }
            Prefix::Proxy(endpoints) => {
                self.check_service(&endpoints)?;
                self.ingress
                    .try_send(&endpoints, datagram, packet)
                    .map_err(send)?;
                self.metrics.returned.inc();
            }
            Prefix::PassedOn(_) => return Err(DropCause::Input(wire::Category::Malformed)),
        }
        Ok(())
    }

    /// Only answers of known services leave through the balancer.
    fn check_service(&self, endpoints: &Endpoints) -> Result<(), DropCause> {
        match self.classifier.table.service_by_address(endpoints.service) {
            Some(_) => Ok(()),
            None => Err(DropCause::Route(route::DropReason::UnknownService)),
        }
    }

    fn apply(&mut self, update: Update) {
        if update.snapshot {
            self.classifier = Classifier::default();
            self.services.clear();
        }
        for id in &update.removed {
            self.services.remove(id);
        }
        let only = self.only;
        self.services.extend(
            update
                .services
                .iter()
                .map(|state| (state.service.id, state.service.address))
                .filter(|(_, address)| only.is_none_or(|ip| ip == address.ip())),
        );
        self.classifier.keys = update.keys.as_ref().map(CidCodec::new);
        self.classifier.table.apply(update.services, update.removed);
        self.ingress.set_services(&self.services);
        let revision = i64::try_from(update.version.revision.0).unwrap_or(i64::MAX);
        self.metrics.revision.set(revision);
        log::info!(event = "version_applied", version:% = update.version; "version applied");
    }

    /// Counts a dropped datagram and logs it at a bounded rate.
    fn count_drop(&mut self, cause: DropCause) {
        let count = self.metrics.count_drop(cause);
        let now = Instant::now();
        if now >= self.next_drop_log {
            self.next_drop_log = now + DROP_LOG_INTERVAL;
            log::warn!(event = "datagram_dropped", cause:% = cause, count = count; "datagram dropped");
        }
    }
}
