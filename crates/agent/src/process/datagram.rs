//! The datagram task, which owns the data socket.

use std::{
    collections::BTreeSet,
    future::poll_fn,
    net::SocketAddr,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use rand::Rng;
use route::{Arrival, Hop};
use tokio::{io::ReadBuf, net::UdpSocket, sync::mpsc, time::sleep_until};
use types::{ServiceState, UpstreamId};
use wire::{CidCodec, Endpoints, Prefix};

use super::{
    balancers::{BalancerPolicy, BalancerTracker},
    endpoint_socket::CallerPacket,
    metrics::Metrics,
    packet_router::{PacketDecision, PacketRouter},
};

/// Size of a buffer for the largest UDP payload and a PROXY prefix.
const BUFFER_BYTES: usize = (64 << 10) + wire::MAX_PREFIX_LEN;

/// Datagrams handled per direction before commands are polled.
const MAX_BATCH_DATAGRAMS: usize = 64;

/// Longest wait without an event; bounds how late a due probe is sent.
const MAX_IDLE_WAIT: Duration = Duration::from_secs(1);

/// Configuration of the datagram task, from the version in force.
#[derive(Debug)]
pub struct DatagramConfig {
    /// State of the service; `None` while it is not configured.
    pub service: Option<ServiceState>,
    /// Addresses on which the balancers accept packets to callers.
    pub balancers: BTreeSet<SocketAddr>,
    /// Codec of connection ids, with their keys.
    pub cid_codec: Option<CidCodec>,
}

/// A command to the datagram task.
#[derive(Debug)]
pub enum DatagramCommand {
    /// A new version is in force.
    Configure(Box<DatagramConfig>),
    /// Sets whether the upstream is draining.
    SetLeaving(bool),
}

/// Owns the data socket, and exchanges packets with the QUIC endpoint.
pub struct DatagramTask<P: BalancerPolicy> {
    socket: UdpSocket,
    commands: mpsc::Receiver<DatagramCommand>,
    to_endpoint: mpsc::Sender<CallerPacket>,
    from_endpoint: mpsc::Receiver<CallerPacket>,
    packet_router: PacketRouter,
    balancers: BalancerTracker<P>,
    metrics: Metrics,
    recv_buf: Vec<u8>,
    /// Buffer in which outgoing datagrams are encoded.
    send_buf: Vec<u8>,
}

/// Why the task was woken.
enum WakeReason {
    Command(Option<DatagramCommand>),
    Datagrams,
}

impl<P: BalancerPolicy> DatagramTask<P> {
    /// Creates the task.
    pub fn new(
        own_id: UpstreamId,
        socket: UdpSocket,
        commands: mpsc::Receiver<DatagramCommand>,
        to_endpoint: mpsc::Sender<CallerPacket>,
        from_endpoint: mpsc::Receiver<CallerPacket>,
        metrics: Metrics,
    ) -> Self {
        DatagramTask {
            socket,
            commands,
            to_endpoint,
            from_endpoint,
            packet_router: PacketRouter::new(Instant::now(), own_id),
            balancers: BalancerTracker::default(),
            metrics,
            recv_buf: vec![0; BUFFER_BYTES],
            send_buf: Vec::with_capacity(BUFFER_BYTES),
        }
    }

    /// Runs until the command channel is closed.
    pub async fn run(mut self) {
        loop {
            let idle_until = Instant::now() + MAX_IDLE_WAIT;
            let probe_at = self.balancers.next_deadline().unwrap_or(idle_until);
            let reason = tokio::select! {
                reason = poll_fn(|cx| self.poll_next(cx)) => Some(reason),
                () = sleep_until(probe_at.into()) => None,
            };
            match reason {
                Some(WakeReason::Command(Some(command))) => self.apply(command),
                Some(WakeReason::Command(None)) => return,
                Some(WakeReason::Datagrams) => {}
                None => self.probe(),
            }
        }
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<WakeReason> {
        if let Poll::Ready(command) = self.commands.poll_recv(cx) {
            return Poll::Ready(WakeReason::Command(command));
        }
        let inbound = self.poll_inbound(cx);
        let outbound = self.poll_outbound(cx);
        if inbound.is_pending() && outbound.is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(WakeReason::Datagrams)
    }

    fn poll_inbound(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            let mut read = ReadBuf::new(&mut self.recv_buf);
            match self.socket.poll_recv_from(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                // Errors of earlier sends are reported here; they carry no datagram.
                Poll::Ready(Err(_)) => {}
                Poll::Ready(Ok(from)) => {
                    let len = read.filled().len();
                    self.handle_datagram(from, len);
                }
            }
        }
        Poll::Ready(())
    }

    fn poll_outbound(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..MAX_BATCH_DATAGRAMS {
            match self.from_endpoint.poll_recv(cx) {
                Poll::Pending | Poll::Ready(None) => return Poll::Pending,
                Poll::Ready(Some(packet)) => self.send_to_caller(&packet),
            }
        }
        Poll::Ready(())
    }

    /// Handles a received datagram, the first `len` bytes of `recv_buf`.
    fn handle_datagram(&mut self, from: SocketAddr, len: usize) {
        let now = Instant::now();
        let (endpoints, arrival, payload) = match Prefix::decode(&self.recv_buf[..len]) {
            Ok((Prefix::Local, _)) => return self.balancers.note_datagram(now, from),
            Ok((Prefix::Proxy(endpoints), payload)) => (endpoints, Arrival::Forwarded, payload),
            Ok((Prefix::PassedOn(endpoints), payload)) => (endpoints, Arrival::PassedOn, payload),
            Err(e) => return self.metrics.count_dropped_datagram(e.category().as_str()),
        };
        let payload = Bytes::copy_from_slice(payload);
        self.balancers.note_datagram(now, from);
        let decision = self
            .packet_router
            .decide(now, endpoints.service, arrival, &payload);
        match decision {
            PacketDecision::Deliver => self.deliver(endpoints.caller, payload),
            PacketDecision::PassOn(hop) => self.pass_on(&endpoints, &payload, hop),
            PacketDecision::Drop(cause) => self.metrics.count_dropped_datagram(cause),
        }
    }

    fn deliver(&mut self, caller: SocketAddr, payload: Bytes) {
        let packet = CallerPacket { caller, payload };
        match self.to_endpoint.try_send(packet) {
            Ok(()) => self.metrics.received_datagrams.inc(),
            Err(_) => self.metrics.count_dropped_datagram("endpoint_full"),
        }
    }

    fn pass_on(&mut self, endpoints: &Endpoints, payload: &[u8], hop: Hop) {
        self.send_buf.clear();
        endpoints.encode_passed_on(&mut self.send_buf);
        self.send_buf.extend_from_slice(payload);
        match self.socket.try_send_to(&self.send_buf, hop.address) {
            Ok(_) => self.metrics.passed_on_datagrams.inc(),
            Err(_) => self.metrics.count_dropped_datagram("send"),
        }
    }

    /// Sends a packet of the endpoint to its caller through a balancer.
    fn send_to_caller(&mut self, packet: &CallerPacket) {
        let Some(service) = self.packet_router.service_address() else {
            return self.metrics.count_dropped_datagram("unknown_service");
        };
        let random = rand::rng().random_range(0..usize::MAX);
        let Some(balancer) = self.balancers.choose(Instant::now(), random) else {
            return self.metrics.count_dropped_datagram("no_balancer");
        };
        let endpoints = Endpoints {
            caller: packet.caller,
            service,
        };
        self.send_buf.clear();
        endpoints.encode(&mut self.send_buf);
        self.send_buf.extend_from_slice(&packet.payload);
        match self.socket.try_send_to(&self.send_buf, balancer) {
            Ok(_) => self.metrics.sent_datagrams.inc(),
            Err(_) => self.metrics.count_dropped_datagram("send"),
        }
    }

    fn probe(&mut self) {
        let probe = Prefix::probe();
        for balancer in self.balancers.due_probes(Instant::now()) {
            // A probe that could not be sent counts as unanswered.
            let _ = self.socket.try_send_to(&probe, balancer);
        }
    }

    fn apply(&mut self, command: DatagramCommand) {
        match command {
            DatagramCommand::SetLeaving(leaving) => self.packet_router.set_leaving(leaving),
            DatagramCommand::Configure(config) => {
                self.balancers.set_known(Instant::now(), &config.balancers);
                self.packet_router
                    .configure(config.service, config.cid_codec);
            }
        }
    }
}
