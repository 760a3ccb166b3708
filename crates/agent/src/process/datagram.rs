//! The task that owns the data socket.

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
    metrics::Metrics,
    placement::{Placement, Placements},
    port::Packet,
};

/// Room for the largest UDP payload and a prefix.
const BUFFER: usize = (64 << 10) + wire::MAX_PREFIX_LEN;

/// Datagrams handled in each direction before commands are looked at.
const BATCH: usize = 64;

/// Pause that bounds how late a due probe may be sent when nothing else
/// happens.
const IDLE: Duration = Duration::from_secs(1);

/// What a version tells the task.
#[derive(Debug)]
pub struct DatagramView {
    /// State of the service, if it is configured.
    pub service: Option<ServiceState>,
    /// Where the balancers take answers.
    pub balancers: BTreeSet<SocketAddr>,
    /// Keys of connection ids.
    pub keys: Option<CidCodec>,
}

/// A message to the task.
#[derive(Debug)]
pub enum DatagramCommand {
    /// A new version is in force.
    View(Box<DatagramView>),
    /// The upstream leaves, or no longer does.
    Leaving(bool),
}

/// The task that owns the data socket.
pub struct DatagramTask<P: BalancerPolicy> {
    socket: UdpSocket,
    commands: mpsc::Receiver<DatagramCommand>,
    to_endpoint: mpsc::Sender<Packet>,
    from_endpoint: mpsc::Receiver<Packet>,
    placements: Placements,
    balancers: BalancerTracker<P>,
    metrics: Metrics,
    buf: Vec<u8>,
    /// Datagram that is being put together.
    out: Vec<u8>,
}

/// What woke the task.
enum Wake {
    Command(Option<DatagramCommand>),
    Datagrams,
}

impl<P: BalancerPolicy> DatagramTask<P> {
    /// Creates the task.
    pub fn new(
        own: UpstreamId,
        socket: UdpSocket,
        commands: mpsc::Receiver<DatagramCommand>,
        to_endpoint: mpsc::Sender<Packet>,
        from_endpoint: mpsc::Receiver<Packet>,
        metrics: Metrics,
    ) -> Self {
        DatagramTask {
            socket,
            commands,
            to_endpoint,
            from_endpoint,
            placements: Placements::new(Instant::now(), own),
            balancers: BalancerTracker::default(),
            metrics,
            buf: vec![0; BUFFER],
            out: Vec::with_capacity(BUFFER),
        }
    }

    /// Runs until the agent ends.
    pub async fn run(mut self) {
        loop {
            let idle = Instant::now() + IDLE;
            let probe_at = self.balancers.next_deadline().unwrap_or(idle);
            let wake = tokio::select! {
                wake = poll_fn(|cx| self.poll_wake(cx)) => Some(wake),
                () = sleep_until(probe_at.into()) => None,
            };
            match wake {
                Some(Wake::Command(Some(command))) => self.apply(command),
                Some(Wake::Command(None)) => return,
                Some(Wake::Datagrams) => {}
                None => self.probe(),
            }
        }
    }

    fn poll_wake(&mut self, cx: &mut Context<'_>) -> Poll<Wake> {
        if let Poll::Ready(command) = self.commands.poll_recv(cx) {
            return Poll::Ready(Wake::Command(command));
        }
        let inbound = self.poll_inbound(cx);
        let outbound = self.poll_outbound(cx);
        if inbound.is_pending() && outbound.is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Wake::Datagrams)
    }

    fn poll_inbound(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..BATCH {
            let mut read = ReadBuf::new(&mut self.buf);
            match self.socket.poll_recv_from(cx, &mut read) {
                Poll::Pending => return Poll::Pending,
                // Errors of earlier sends show up here and concern no datagram.
                Poll::Ready(Err(_)) => {}
                Poll::Ready(Ok(from)) => {
                    let len = read.filled().len();
                    self.receive(from, len);
                }
            }
        }
        Poll::Ready(())
    }

    fn poll_outbound(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        for _ in 0..BATCH {
            match self.from_endpoint.poll_recv(cx) {
                Poll::Pending | Poll::Ready(None) => return Poll::Pending,
                Poll::Ready(Some(packet)) => self.answer(&packet),
            }
        }
        Poll::Ready(())
    }

    /// Handles the datagram in the first `len` bytes of the buffer.
    fn receive(&mut self, from: SocketAddr, len: usize) {
        let now = Instant::now();
        let (endpoints, arrival, payload) = match Prefix::decode(&self.buf[..len]) {
            Ok((Prefix::Local, _)) => return self.balancers.heard(now, from),
            Ok((Prefix::Proxy(endpoints), payload)) => (endpoints, Arrival::Forwarded, payload),
            Ok((Prefix::PassedOn(endpoints), payload)) => (endpoints, Arrival::PassedOn, payload),
            Err(e) => return self.metrics.count_drop(e.category().as_str()),
        };
        let payload = Bytes::copy_from_slice(payload);
        self.balancers.heard(now, from);
        let placement = self
            .placements
            .decide(now, endpoints.service, arrival, &payload);
        match placement {
            Placement::Own => self.deliver(endpoints.caller, payload),
            Placement::Other(hop) => self.pass_on(&endpoints, &payload, hop),
            Placement::None(cause) => self.metrics.count_drop(cause),
        }
    }

    fn deliver(&mut self, caller: SocketAddr, payload: Bytes) {
        let packet = Packet { caller, payload };
        match self.to_endpoint.try_send(packet) {
            Ok(()) => self.metrics.received.inc(),
            Err(_) => self.metrics.count_drop("endpoint_full"),
        }
    }

    fn pass_on(&mut self, endpoints: &Endpoints, payload: &[u8], hop: Hop) {
        self.out.clear();
        endpoints.encode_passed_on(&mut self.out);
        self.out.extend_from_slice(payload);
        match self.socket.try_send_to(&self.out, hop.address) {
            Ok(_) => self.metrics.passed_on.inc(),
            Err(_) => self.metrics.count_drop("send"),
        }
    }

    /// Sends a packet of the endpoint to its caller, through a balancer.
    fn answer(&mut self, packet: &Packet) {
        let Some(service) = self.placements.service_address() else {
            return self.metrics.count_drop("unknown_service");
        };
        let random = rand::rng().random_range(0..usize::MAX);
        let Some(balancer) = self.balancers.choose(Instant::now(), random) else {
            return self.metrics.count_drop("no_balancer");
        };
        let endpoints = Endpoints {
            caller: packet.caller,
            service,
        };
        self.out.clear();
        endpoints.encode(&mut self.out);
        self.out.extend_from_slice(&packet.payload);
        match self.socket.try_send_to(&self.out, balancer) {
            Ok(_) => self.metrics.sent.inc(),
            Err(_) => self.metrics.count_drop("send"),
        }
    }

    fn probe(&mut self) {
        let probe = Prefix::probe();
        for balancer in self.balancers.due_probes(Instant::now()) {
            // A probe that is not sent counts as one that is not answered.
            let _ = self.socket.try_send_to(&probe, balancer);
        }
    }

    fn apply(&mut self, command: DatagramCommand) {
        match command {
            DatagramCommand::Leaving(leaving) => self.placements.set_leaving(leaving),
            DatagramCommand::View(view) => {
                self.balancers.set(Instant::now(), &view.balancers);
                self.placements.set(view.service, view.keys);
            }
        }
    }
}
