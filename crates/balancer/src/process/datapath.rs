//! Forwarding task.

use std::{
    future::poll_fn,
    io,
    net::SocketAddr,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use client::{NodeAnnouncement, SyncEvent};
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

/// Size of the receive buffer: the largest UDP datagram and a prefix.
const BUFFER_BYTES: usize = (64 << 10) + wire::MAX_PREFIX_LEN;

/// Largest payload of a UDP datagram over IPv4.
const MAX_UDP_PAYLOAD_BYTES: usize = 65_507;

/// Datagrams handled per direction before the channel of versions is polled
/// again, so that a flood of datagrams does not delay a version.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Minimum interval between two log lines about dropped datagrams.
const DROP_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which unbound addresses and failing sockets are retried and the
/// shutdown deadline is checked.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Channels between the data path and the sync task.
#[derive(Debug)]
pub struct SyncChannels {
    /// New versions from the control group.
    pub steps: mpsc::Receiver<SyncEvent>,
    /// Report of this balancer to the control group.
    pub report: watch::Sender<NodeAnnouncement>,
}

/// Task that owns the sockets and forwards datagrams in both directions.
pub struct Datapath<I> {
    ingress: I,
    /// Socket for datagrams to and from the agents.
    agent_socket: UdpSocket,
    sync: SyncChannels,
    classifier: Classifier,
    /// Whether a version was applied.
    has_version: bool,
    /// When the task ends; `None` until it is told to stop.
    shutdown_deadline: Option<Instant>,
    shutdown_grace_period: Duration,
    metrics: Metrics,
    /// Earliest time of the next log line about a dropped datagram.
    next_drop_log_at: Instant,
    buf: Vec<u8>,
}

/// Reason for which the task woke up.
enum WakeReason {
    Step(Option<SyncEvent>),
    Datagrams,
    Stop,
    Tick,
}

impl<I: Ingress> Datapath<I> {
    /// Creates the task, which forwards for `shutdown_grace_period` after it was
    /// told to stop.
    pub fn new(
        ingress: I,
        agent_socket: UdpSocket,
        sync: SyncChannels,
        metrics: Metrics,
        shutdown_grace_period: Duration,
    ) -> Self {
        Datapath {
            ingress,
            agent_socket,
            sync,
            classifier: Classifier::default(),
            has_version: false,
            shutdown_deadline: None,
            shutdown_grace_period,
            metrics,
            next_drop_log_at: Instant::now(),
            buf: vec![0; BUFFER_BYTES],
        }
    }

    /// Forwards until `stop` is set or its sender is dropped, and then for the
    /// shutdown grace period. Ends at once if the sync task ends.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_running = self.shutdown_deadline.is_none();
            let reason = tokio::select! {
                reason = poll_fn(|cx| self.poll_channels_and_sockets(cx)) => reason,
                _ = stop.wait_for(|stop| *stop), if is_running => WakeReason::Stop,
                _ = ticks.tick() => WakeReason::Tick,
            };
            match reason {
                WakeReason::Step(Some(SyncEvent::Update(update, done))) => {
                    self.apply(*update);
                    let _ = done.send(());
                }
                WakeReason::Step(Some(SyncEvent::Loads(_) | SyncEvent::Confirmed(_)))
                | WakeReason::Datagrams => {}
                WakeReason::Stop => self.start_shutdown(),
                WakeReason::Tick => self.ingress.retry_bind(),
                WakeReason::Step(None) => return,
            }
            if self
                .shutdown_deadline
                .is_some_and(|deadline| Instant::now() >= deadline)
            {
                return;
            }
        }
    }

    /// Takes the balancer out of service: it is removed from the membership
    /// when its lease expires, and probes of agents and fabric are not answered.
    fn start_shutdown(&mut self) {
        self.shutdown_deadline = Some(Instant::now() + self.shutdown_grace_period);
        self.metrics.serving.set(0);
        self.sync.report.send_replace(NodeAnnouncement::default());
        log::info!(event = "balancer_leaving", linger:? = self.shutdown_grace_period; "balancer is leaving; forwarding continues for the grace period");
    }

    /// Whether agents and fabric may send new flows through this balancer.
    fn is_serving(&self) -> bool {
        self.has_version && self.shutdown_deadline.is_none()
    }

    fn poll_channels_and_sockets(&mut self, cx: &mut Context<'_>) -> Poll<WakeReason> {
        if let Poll::Ready(step) = self.sync.steps.poll_recv(cx) {
            return Poll::Ready(WakeReason::Step(step));
        }
        let callers = self.poll_ingress(cx);
        let agents = self.poll_agent_socket(cx);
        if callers.is_pending() && agents.is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(WakeReason::Datagrams)
    }

    /// Forwards up to [`MAX_BATCH_DATAGRAMS`] datagrams of callers; pending when
    /// no socket has data.
    fn poll_ingress(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut receive_errors = 0;
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let serving = self.is_serving();
            let received = match self.ingress.poll_recv(cx, &mut self.buf) {
                Poll::Pending => return Poll::Pending,
                // An error of an earlier send, reported by the next receive; it
                // belongs to no received datagram.
                Poll::Ready(Err(_)) => {
                    receive_errors += 1;
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
                    Verdict::Forward(_) if datagram.len() > MAX_UDP_PAYLOAD_BYTES => {
                        Err(DropCause::OversizedDatagram)
                    }
                    Verdict::Forward(hop) => {
                        self.ingress.record_forwarded(from);
                        let sent = self.agent_socket.try_send_to(datagram, hop.address);
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
        poll_after_batch(receive_errors)
    }

    /// Handles up to [`MAX_BATCH_DATAGRAMS`] datagrams of agents: sends answers
    /// to callers and replies to probes. Pending when the socket has no data.
    fn poll_agent_socket(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut receive_errors = 0;
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let mut read = ReadBuf::new(&mut self.buf);
            let from = match self.agent_socket.poll_recv_from(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Err(_)) => {
                    receive_errors += 1;
                    self.count_drop(DropCause::ReceiveFailed);
                    continue;
                }
                Poll::Ready(Ok(from)) => from,
            };
            let len = read.filled().len();
            if let Err(cause) = self.handle_agent_datagram(from, len) {
                self.count_drop(cause);
            }
        }
        poll_after_batch(receive_errors)
    }

    /// Handles a datagram of an agent, in the first `len` bytes of the buffer.
    fn handle_agent_datagram(&mut self, from: SocketAddr, len: usize) -> Result<(), DropCause> {
        let datagram = &self.buf[..len];
        let (prefix, packet) =
            Prefix::decode(datagram).map_err(|e| DropCause::Undecodable(e.category()))?;
        let send_failed = |_: io::Error| DropCause::SendFailed;
        match prefix {
            Prefix::Local => {
                // Agents choose a balancer by its replies to probes, so a probe
                // is answered only if answers can be sent through this balancer.
                let can_answer_probe = self.is_serving()
                    && self.ingress.can_send_answers()
                    && self.classifier.is_agent(from);
                if !can_answer_probe {
                    return Err(DropCause::UnansweredProbe);
                }
                self.agent_socket
                    .try_send_to(datagram, from)
                    .map_err(send_failed)?;
                self.metrics.answered_probes.inc();
            }
            Prefix::Proxy(endpoints) => {
                self.classifier.check_answer(from, &endpoints)?;
                self.ingress
                    .try_send_answer(&endpoints, datagram, packet)
                    .map_err(send_failed)?;
                self.metrics.returned_datagrams.inc();
            }
            Prefix::PassedOn(_) => return Err(DropCause::Undecodable(wire::Category::Malformed)),
        }
        Ok(())
    }

    /// Applies the version of `update`. No datagram is handled meanwhile, so
    /// each is classified by exactly one version.
    fn apply(&mut self, update: Update) {
        let version = update.version;
        self.classifier.apply(update);
        self.ingress
            .set_service_addresses(self.classifier.service_addresses().collect());
        self.has_version = true;
        self.metrics.serving.set(i64::from(self.is_serving()));
        let revision = i64::try_from(version.revision.0).unwrap_or(i64::MAX);
        self.metrics.revision.set(revision);
        log::info!(event = "version_applied", version:% = version; "configuration version applied");
    }

    /// Counts a dropped datagram and logs it at most once per
    /// [`DROP_LOG_INTERVAL`].
    fn count_drop(&mut self, cause: DropCause) {
        let count = self.metrics.count_drop(cause);
        // Not logged: a balancer that the fabric does not use yet constantly
        // receives probes that it does not answer.
        if cause == DropCause::UnansweredProbe {
            return;
        }
        let now = Instant::now();
        if now >= self.next_drop_log_at {
            self.next_drop_log_at = now + DROP_LOG_INTERVAL;
            log::warn!(event = "datagram_dropped", cause:% = cause, count = count; "datagram dropped");
        }
    }
}

/// Result of a full batch: ready, so that the task is polled again at once, or
/// pending if every receive failed, so that a socket that only fails is retried
/// at the next tick and the task does not spin.
fn poll_after_batch(receive_errors: usize) -> Poll<()> {
    if receive_errors == MAX_BATCH_DATAGRAMS {
        Poll::Pending
    } else {
        Poll::Ready(())
    }
}
