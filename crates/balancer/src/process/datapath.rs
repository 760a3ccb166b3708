//! The task that owns the sockets and forwards datagrams.

use std::{
    future::poll_fn,
    io,
    net::SocketAddr,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use client::{NodeReport, Step};
use tokio::{
    io::ReadBuf,
    net::UdpSocket,
    sync::{mpsc, watch},
    time::{MissedTickBehavior, interval},
};
use wire::{Prefix, Update};

use super::{
    ingress::{Ingress, IngressDatagram},
    metrics::Metrics,
};
use crate::{Classifier, DropCause, Verdict};

/// Room for the largest UDP payload and a prefix.
const BUFFER: usize = (64 << 10) + wire::MAX_PREFIX_LEN;

/// Largest payload of a UDP datagram over IPv4.
const MAX_DATAGRAM: usize = 65_507;

/// Datagrams handled in each direction before control messages are looked at.
const BATCH: usize = 64;

/// Shortest time between two log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two tries to open the addresses that are missing, and between
/// two looks at whether a stopping balancer may end.
const TICK: Duration = Duration::from_millis(250);

/// Channels between the data path and the sync task.
#[derive(Debug)]
pub struct SyncChannels {
    /// New versions.
    pub steps: mpsc::Receiver<Step>,
    /// What the control group is told of this balancer.
    pub report: watch::Sender<NodeReport>,
}

/// The task that owns the sockets and forwards datagrams.
pub struct Datapath<I> {
    ingress: I,
    /// Socket towards the agents.
    agents: UdpSocket,
    links: SyncChannels,
    classifier: Classifier,
    /// Whether a version is in force.
    has_version: bool,
    /// When a stopping balancer ends; `None` while it is to go on.
    end_at: Option<Instant>,
    shutdown_grace_period: Duration,
    metrics: Metrics,
    /// No log line about a dropped datagram before this instant.
    next_drop_log: Instant,
    buf: Vec<u8>,
}

/// What woke the task.
enum Wake {
    Step(Option<Step>),
    Datagrams,
    Stop,
    Tick,
}

impl<I: Ingress> Datapath<I> {
    /// Creates the task. Once it is to stop, it goes on for `shutdown_grace_period`.
    pub fn new(
        ingress: I,
        agents: UdpSocket,
        links: SyncChannels,
        metrics: Metrics,
        shutdown_grace_period: Duration,
    ) -> Self {
        Datapath {
            ingress,
            agents,
            links,
            classifier: Classifier::default(),
            has_version: false,
            end_at: None,
            shutdown_grace_period,
            metrics,
            next_drop_log: Instant::now(),
            buf: vec![0; BUFFER],
        }
    }

    /// Forwards until `stop` is set or its sender is gone, and then for the
    /// time to linger.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let going_on = self.end_at.is_none();
            let wake = tokio::select! {
                wake = poll_fn(|cx| self.poll_wake(cx)) => wake,
                _ = stop.wait_for(|stop| *stop), if going_on => Wake::Stop,
                _ = ticks.tick() => Wake::Tick,
            };
            match wake {
                Wake::Step(Some(Step::Update(update, done))) => {
                    self.apply(*update);
                    let _ = done.send(());
                }
                Wake::Step(Some(Step::ClassLoads(_) | Step::Confirmed(_))) | Wake::Datagrams => {}
                Wake::Stop => self.leave(),
                Wake::Tick => self.ingress.retry(),
                Wake::Step(None) => return,
            }
            if self.end_at.is_some_and(|end| Instant::now() >= end) {
                return;
            }
        }
    }

    /// Stops being chosen: the membership no longer lists the balancer once
    /// its lease ends, and probes of agents and fabric get no answer.
    fn leave(&mut self) {
        self.end_at = Some(Instant::now() + self.shutdown_grace_period);
        self.metrics.serving.set(0);
        self.links.report.send_replace(NodeReport::default());
        log::info!(event = "balancer_leaving", linger:? = self.shutdown_grace_period; "leaving; still forwarding");
    }

    /// Whether new flows may be sent through this balancer.
    fn is_serving(&self) -> bool {
        self.has_version && self.end_at.is_none()
    }

    fn poll_wake(&mut self, cx: &mut Context<'_>) -> Poll<Wake> {
        if let Poll::Ready(step) = self.links.steps.poll_recv(cx) {
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
        let mut errors = 0;
        for _ in 0..BATCH {
            let serving = self.is_serving();
            let received = match self.ingress.poll_recv(cx, &mut self.buf) {
                Poll::Pending => return Poll::Pending,
                // Errors of earlier sends show up here and concern no datagram.
                Poll::Ready(Err(_)) => {
                    errors += 1;
                    self.count_drop(DropCause::ReceiveFailed);
                    continue;
                }
                Poll::Ready(Ok(received)) => received,
            };
            let result = match received {
                Ok(IngressDatagram::Packet {
                    from,
                    endpoints,
                    datagram,
                    packet,
                }) => match self.classifier.classify(&endpoints, packet) {
                    Verdict::Forward(_) if datagram.len() > MAX_DATAGRAM => {
                        Err(DropCause::Oversized)
                    }
                    Verdict::Forward(hop) => {
                        self.ingress.record_forwarded(from);
                        let sent = self.agents.try_send_to(datagram, hop.address);
                        sent.map(|_| self.metrics.forwarded_datagrams.inc())
                            .map_err(|_| DropCause::SendFailed)
                    }
                    Verdict::Drop(cause) => Err(cause),
                },
                Ok(IngressDatagram::Probe { from, datagram }) if serving => self
                    .ingress
                    .try_echo_probe(from, datagram)
                    .map_err(|_| DropCause::SendFailed),
                Ok(IngressDatagram::Probe { .. }) => Err(DropCause::UnansweredProbe),
                Err(e) => Err(DropCause::Undecodable(e.category())),
            };
            if let Err(cause) = result {
                self.count_drop(cause);
            }
        }
        after_batch(errors)
    }

    /// Sends up to a batch of answers to callers; pending when the socket is
    /// empty.
    fn poll_agents(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut errors = 0;
        for _ in 0..BATCH {
            let mut read = ReadBuf::new(&mut self.buf);
            let from = match self.agents.poll_recv_from(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => {
                    errors += 1;
                    self.count_drop(DropCause::ReceiveFailed);
                    continue;
                }
                Poll::Ready(Ok(from)) => from,
            };
            let len = read.filled().len();
            if let Err(cause) = self.answer(from, len) {
                self.count_drop(cause);
            }
        }
        after_batch(errors)
    }

    /// Handles the datagram of an agent in the first `len` bytes of the buffer.
    fn answer(&mut self, from: SocketAddr, len: usize) -> Result<(), DropCause> {
        let datagram = &self.buf[..len];
        let (prefix, packet) =
            Prefix::decode(datagram).map_err(|e| DropCause::Undecodable(e.category()))?;
        let send = |_: io::Error| DropCause::SendFailed;
        match prefix {
            Prefix::Local => {
                // An agent whose answers could not leave here must not choose
                // this balancer.
                let useful = self.is_serving()
                    && self.ingress.can_send_answers()
                    && self.classifier.is_agent(from);
                if !useful {
                    return Err(DropCause::UnansweredProbe);
                }
                self.agents.try_send_to(datagram, from).map_err(send)?;
                self.metrics.answered_probes.inc();
            }
            Prefix::Proxy(endpoints) => {
                self.classifier.check_answer(from, &endpoints)?;
                self.ingress
                    .try_send_answer(&endpoints, datagram, packet)
                    .map_err(send)?;
                self.metrics.returned_datagrams.inc();
            }
            Prefix::PassedOn(_) => return Err(DropCause::Undecodable(wire::Category::Malformed)),
        }
        Ok(())
    }

    /// Goes to the version of `update`. No datagram is handled meanwhile, so
    /// each is decided with one version.
    fn apply(&mut self, update: Update) {
        let version = update.version;
        self.classifier.apply(update);
        self.ingress
            .set_service_addresses(self.classifier.service_addresses().collect());
        self.has_version = true;
        self.metrics.serving.set(i64::from(self.is_serving()));
        let revision = i64::try_from(version.revision.0).unwrap_or(i64::MAX);
        self.metrics.revision.set(revision);
        log::info!(event = "version_applied", version:% = version; "version applied");
    }

    /// Counts a dropped datagram and logs it at a bounded rate.
    fn count_drop(&mut self, cause: DropCause) {
        let count = self.metrics.count_drop(cause);
        // A balancer that the fabric has not used yet gets probes all the time.
        if cause == DropCause::UnansweredProbe {
            return;
        }
        let now = Instant::now();
        if now >= self.next_drop_log {
            self.next_drop_log = now + DROP_LOG_INTERVAL;
            log::warn!(event = "datagram_dropped", cause:% = cause, count = count; "datagram dropped");
        }
    }
}

/// Ready after a whole batch, so that the task comes back at once; pending if
/// all of it were errors, so that a socket that only fails is tried again at
/// the next tick and the task does not spin.
fn after_batch(errors: usize) -> Poll<()> {
    if errors == BATCH {
        Poll::Pending
    } else {
        Poll::Ready(())
    }
}
