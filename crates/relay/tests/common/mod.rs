//! An agent in process, with stand-ins for its upstream, a balancer, another agent and a
//! caller.
#![allow(dead_code)]

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use actix_rt::{spawn, time::timeout};
use bytes::Bytes;
use directory::{Node, NodeRole, ViewChanges};
use flow::{FlowTuple, Load, Origin, Segment, UpstreamStatus};
use prometheus::Registry;
use relay::{
    Agent, AgentReport, AgentSettings, Codec, ControlUpdate, Message, ServiceTag, UpstreamChange,
    UpstreamUpdate,
};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, oneshot, watch},
};
use types::{RequestTargets, ServiceName, Slots};

pub const SERVICE: &str = "vouchers";
pub const NEAR: &str = "near";
pub const FAR: &str = "far";

/// Longest wait for a datagram that must arrive.
const ARRIVAL_TIMEOUT: Duration = Duration::from_secs(10);

const PEER_PORT: u16 = 7722;
const CALLER_PORT: u16 = 8172;

/// Header of a datagram of the tests: source, destination, sequence number,
/// acknowledgement, length, and the bits opens, acknowledges and resets.
type Header = (SocketAddrV4, SocketAddrV4, u32, u32, u16, [bool; 3]);

/// Initial sequence numbers of callers and of the upstream.
const CALLER_SEQ: u32 = 100;
const UPSTREAM_SEQ: u32 = 5000;

/// Encodes the header fields that the tests need.
#[derive(Debug, Clone, Copy)]
pub struct TestCodec;

impl TestCodec {
    fn encode(seg: &Segment) -> Bytes {
        let bits = [seg.opens, seg.acknowledges, seg.resets];
        let header: Header = (seg.source, seg.destination, seg.seq, seg.ack, seg.len, bits);
        wire::encode(&header).unwrap().into()
    }
}

impl Codec for TestCodec {
    fn parse(&self, datagram: &[u8]) -> Option<Segment> {
        let (source, destination, seq, ack, len, bits): Header = wire::decode(datagram).ok()?;
        let [opens, acknowledges, resets] = bits;
        Some(Segment {
            source,
            destination,
            seq,
            ack,
            len,
            opens,
            acknowledges,
            resets,
            ..Segment::default()
        })
    }

    fn header<'a>(&self, datagram: &'a [u8]) -> &'a [u8] {
        datagram
    }

    fn clear_bounce(&self, _datagram: &mut [u8]) {}

    fn reset(&self, seg: &Segment) -> Bytes {
        TestCodec::encode(&Segment {
            source: seg.destination,
            destination: seg.source,
            resets: true,
            ..Segment::default()
        })
    }
}

/// An agent of the data centre [`NEAR`] and the sockets around it.
pub struct AgentSite {
    agent: SocketAddrV4,
    /// Address to which the upstream sends its datagrams.
    outbound: SocketAddrV4,
    pub updates: mpsc::Sender<ControlUpdate>,
    upstream_updates: mpsc::Sender<UpstreamUpdate>,
    _stop: watch::Sender<bool>,
    pub registry: Registry,
    pub upstream: UdpSocket,
    pub balancer: UdpSocket,
    /// The socket of the other agent, in the data centre [`FAR`].
    pub other_agent: UdpSocket,
    pub caller: UdpSocket,
}

impl AgentSite {
    /// Starts an agent; `test` is different in each test of the file, and `settings`
    /// changes the agent's settings.
    pub async fn start(test: u8, settings: impl FnOnce(&mut AgentSettings)) -> Self {
        let net = u8::try_from(std::process::id() % 120).unwrap() + 100;
        let at = |host: u8, port: u16| SocketAddrV4::new(Ipv4Addr::new(127, net, test, host), port);
        let (updates, updates_rx) = mpsc::channel(16);
        let (upstream_updates, upstream_updates_rx) = mpsc::channel(16);
        let (stop, stopped) = watch::channel(false);
        let mut cfg = AgentSettings {
            incarnation: 1,
            outbound_address: at(1, 8162),
            caller_source_address: at(1, CALLER_PORT),
            peer_address: at(1, PEER_PORT),
            peer_listen_address: at(1, PEER_PORT),
            upstream_address: at(1, 8165),
            caller_port: CALLER_PORT,
            service: SERVICE.parse().unwrap(),
            data_centre: NEAR.parse().unwrap(),
            flow_table: flow::FlowTableSettings::default(),
            opening_queue: flow::OpeningQueueSettings::default(),
        };
        settings(&mut cfg);
        let registry = Registry::new();
        let (agent, upstream) = (cfg.peer_address, cfg.upstream_address);
        let outbound = cfg.outbound_address;
        let task = Agent::new(
            cfg,
            TestCodec,
            updates_rx,
            upstream_updates_rx,
            stopped,
            &registry,
        );
        spawn(task.unwrap().run());
        let site = AgentSite {
            agent,
            outbound,
            updates,
            upstream_updates,
            _stop: stop,
            registry,
            upstream: UdpSocket::bind(upstream).await.unwrap(),
            balancer: UdpSocket::bind(at(2, PEER_PORT)).await.unwrap(),
            other_agent: UdpSocket::bind(at(3, PEER_PORT)).await.unwrap(),
            caller: UdpSocket::bind(at(4, CALLER_PORT)).await.unwrap(),
        };
        // The agent starts before its upstream, so it knows all flows.
        site.remove_upstream().await;
        site
    }

    /// Lists the balancer, so that the agent reports to it.
    pub async fn list_balancer(&self) {
        let address = self.balancer.local_addr().unwrap().to_string();
        let balancer = Node {
            data_centre: NEAR.parse().unwrap(),
            role: NodeRole::Balancer,
            ..Node::example(&address)
        };
        let changes = ViewChanges {
            changed: vec![balancer],
            ..ViewChanges::default()
        };
        let update = ControlUpdate::Nodes(changes);
        self.updates.send(update).await.unwrap();
    }

    /// Sets the state of the upstream and waits until it is applied.
    pub async fn set_upstream(&self, status: UpstreamStatus) {
        self.update_upstream(UpstreamChange::Runs(status)).await;
    }

    /// Removes the upstream, which then does not run.
    pub async fn remove_upstream(&self) {
        self.update_upstream(UpstreamChange::Absent).await;
    }

    async fn update_upstream(&self, change: UpstreamChange) {
        let (applied, done) = oneshot::channel();
        let update = UpstreamUpdate { change, applied };
        self.upstream_updates.send(update).await.unwrap();
        done.await.unwrap();
    }

    /// The opening datagram of flow `n`.
    fn opening(&self, n: u16) -> Segment {
        Segment {
            source: SocketAddrV4::new(*address_of(&self.caller).ip(), 40_000 + n),
            destination: "198.18.0.1:443".parse().unwrap(),
            seq: CALLER_SEQ,
            opens: true,
            ..Segment::default()
        }
    }

    /// The addresses of flow `n`.
    pub fn flow_key(&self, n: u16) -> FlowTuple {
        self.opening(n).key_from_caller()
    }

    /// Sends the agent a message of the balancer.
    pub async fn send_from_balancer(&self, message: &Message) {
        let datagram = wire::encode(message).unwrap();
        self.balancer.send_to(&datagram, self.agent).await.unwrap();
    }

    /// Sends the agent the opening datagram of flow `n`, as another agent forwards it.
    pub async fn send_opening(&self, n: u16) {
        self.send_opening_after(n, 0).await;
    }

    /// As [`send_opening`](AgentSite::send_opening), of a flow that has waited before.
    pub async fn send_opening_after(&self, n: u16, waited_ms: u64) {
        let opening = Message::Opening {
            tag: ServiceTag::of(&service()),
            origin: Origin::Passed,
            via: address_of(&self.balancer),
            declined_by: Vec::new(),
            targets: RequestTargets::default(),
            waited_ms,
            payload: TestCodec::encode(&self.opening(n)),
        };
        let datagram = wire::encode(&opening).unwrap();
        self.balancer.send_to(&datagram, self.agent).await.unwrap();
    }

    /// Lets the upstream accept flow `n`, and the caller send a request on it, which
    /// then takes a slot until it is answered.
    pub async fn open_with_request(&self, n: u16) {
        let opening = self.opening(n);
        let agreement = Segment {
            source: opening.destination,
            destination: opening.source,
            seq: UPSTREAM_SEQ,
            ack: CALLER_SEQ + 1,
            acknowledges: true,
            ..opening
        };
        let datagram = TestCodec::encode(&agreement);
        let sent = self.upstream.send_to(&datagram, self.outbound).await;
        sent.unwrap();
        let (accepted, _) = receive_flow(&self.caller).await;
        assert_eq!(accepted, n);
        let request = Segment {
            seq: CALLER_SEQ + 1,
            ack: UPSTREAM_SEQ + 1,
            len: 10,
            opens: false,
            acknowledges: true,
            ..opening
        };
        let message = Message::Datagram {
            tag: ServiceTag::of(&service()),
            origin: Origin::Held,
            via: address_of(&self.balancer),
            declined_by: Vec::new(),
            payload: TestCodec::encode(&request),
        };
        let datagram = wire::encode(&message).unwrap();
        self.balancer.send_to(&datagram, self.agent).await.unwrap();
        let (_, delivered) = receive_flow(&self.upstream).await;
        assert_eq!(delivered, request);
    }

    /// Reports a state of the other agent.
    pub async fn report_other_agent(&self, busy_requests: u32) {
        let report = Message::Report(AgentReport {
            incarnation: 2,
            data_centre: FAR.parse().unwrap(),
            service: service(),
            slots: Slots(2),
            accepting: true,
            load: Load {
                busy_requests,
                open_flows: 0,
            },
        });
        let datagram = wire::encode(&report).unwrap();
        let sent = self.other_agent.send_to(&datagram, self.agent).await;
        sent.unwrap();
    }

    /// Receives messages at the balancer until one is a report that `is_expected`
    /// accepts.
    pub async fn report(&self, is_expected: impl Fn(&AgentReport) -> bool) -> AgentReport {
        let find = async {
            loop {
                if let Some(Message::Report(report)) = receive_message(&self.balancer).await
                    && is_expected(&report)
                {
                    return report;
                }
            }
        };
        let found = timeout(ARRIVAL_TIMEOUT, find).await;
        found.expect("a report that is expected")
    }

    /// Value of the counter of flow events with this outcome.
    pub fn flow_events(&self, outcome: &str) -> u64 {
        let families = self.registry.gather();
        let family = families
            .iter()
            .find(|family| family.name() == "limpet_relay_flows_total");
        let metric = family
            .into_iter()
            .flat_map(prometheus::proto::MetricFamily::get_metric)
            .find(|metric| metric.get_label()[0].value() == outcome);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the counter holds small whole numbers"
        )]
        metric.map_or(0, |metric| metric.get_counter().get_value() as u64)
    }
}

fn address_of(socket: &UdpSocket) -> SocketAddrV4 {
    match socket.local_addr() {
        Ok(SocketAddr::V4(address)) => address,
        other => panic!("not an IPv4 address: {other:?}"),
    }
}

pub fn service() -> ServiceName {
    SERVICE.parse().unwrap()
}

/// Receives a datagram of a caller or an upstream and returns the number of its flow.
pub async fn receive_flow(socket: &UdpSocket) -> (u16, Segment) {
    let mut buf = vec![0; 2048];
    let received = timeout(ARRIVAL_TIMEOUT, socket.recv(&mut buf)).await;
    let len = received.expect("a datagram").unwrap();
    let seg = TestCodec.parse(&buf[..len]).expect("a datagram of a flow");
    (flow_number(&seg), seg)
}

/// Number of the flow of a datagram.
pub fn flow_number(seg: &Segment) -> u16 {
    // The service's port is below those of the callers.
    seg.source.port().max(seg.destination.port()) - 40_000
}

/// Receives a message of the agent; `None` if it is none.
pub async fn receive_message(socket: &UdpSocket) -> Option<Message> {
    let mut buf = vec![0; 2048];
    let received = timeout(ARRIVAL_TIMEOUT, socket.recv(&mut buf)).await;
    let len = received.expect("a message").unwrap();
    wire::decode(&buf[..len]).ok()
}

/// Whether nothing arrives within `span`.
pub async fn is_silent(socket: &UdpSocket, span: Duration) -> bool {
    let mut buf = vec![0; 2048];
    timeout(span, socket.recv(&mut buf)).await.is_err()
}
