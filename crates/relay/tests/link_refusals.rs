//! A balancer with a slow link, its only agent and many flows, with real sockets.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use actix_rt::{System, spawn, time::timeout};
use bytes::Bytes;
use flow::{AdmittedShare, Claim, FlowTuple, Load, Segment, SteeringSettings};
use prometheus::Registry;
use relay::{
    AgentReport, Balancer, BalancerSettings, Callers, Codec, ControlUpdate, Message, Performance,
};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
};
use types::{
    BytesPerSecond, RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber, ServiceName, Slots,
};

const TIMEOUT: Duration = Duration::from_secs(10);
const SERVICE_ADDRESS: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const OPENING: u8 = 1;
const DATA: u8 = 0;

/// A protocol of the test: port of the caller, kind, copy or part, length.
#[derive(Clone)]
struct TestCodec;

fn datagram(port: u16, kind: u8, number: u8, len: u16) -> Vec<u8> {
    let mut datagram = port.to_be_bytes().to_vec();
    datagram.extend([kind, number]);
    datagram.extend(len.to_be_bytes());
    datagram.resize(34 + usize::from(len), 0);
    datagram
}

impl Codec for TestCodec {
    fn parse(&self, datagram: &[u8]) -> Option<Segment> {
        let &[port_0, port_1, kind, number, len_0, len_1] = datagram.first_chunk()?;
        let port = u16::from_be_bytes([port_0, port_1]);
        let opens = kind == OPENING;
        let number = u32::from(number);
        Some(Segment {
            source: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            destination: SERVICE_ADDRESS,
            seq: if opens { 100 } else { 101 + number * 1200 },
            ack: number,
            len: u16::from_be_bytes([len_0, len_1]),
            opens,
            acknowledges: !opens,
            ..Segment::default()
        })
    }

    fn header<'a>(&self, datagram: &'a [u8]) -> &'a [u8] {
        &datagram[..6]
    }

    fn clear_bounce(&self, _datagram: &mut [u8]) {}

    fn reset(&self, seg: &Segment) -> Bytes {
        Bytes::copy_from_slice(&seg.source.port().to_be_bytes())
    }
}

async fn socket() -> (UdpSocket, SocketAddrV4) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let Ok(SocketAddr::V4(address)) = socket.local_addr() else {
        panic!("an IPv4 address");
    };
    (socket, address)
}

/// The callers and the only agent of a balancer.
struct Network {
    callers: UdpSocket,
    agent: UdpSocket,
    ingress: SocketAddrV4,
    peer_address: SocketAddrV4,
    _updates: mpsc::Sender<ControlUpdate>,
}

impl Network {
    /// Starts a balancer with a link of 4.8 Mbit/s and waits until it can place flows.
    async fn start() -> Self {
        let (callers, callers_address) = socket().await;
        let (agent, _) = socket().await;
        // The addresses are free once these sockets are dropped.
        let ingress = socket().await.1;
        let peer_address = socket().await.1;
        let (updates, updates_rx) = mpsc::channel(4);
        let (ready_tx, mut ready) = watch::channel(false);
        let settings = BalancerSettings {
            ingress_address: ingress,
            peer_address,
            peer_listen_address: peer_address,
            caller_port: callers_address.port(),
            data_centre: "near".parse().unwrap(),
            link_rate: BytesPerSecond::from_megabits(4.8),
            fair_queueing: false,
            steering: SteeringSettings::default(),
        };
        let registry = Registry::new();
        let balancer = Balancer::new(settings, TestCodec, updates_rx, ready_tx, &registry);
        spawn(balancer.unwrap().run());
        let service: ServiceName = "vouchers".parse().unwrap();
        let rule = RoutingRule {
            weights: [(service.clone(), RouteWeight(1))].into(),
            ..RoutingRule::default()
        };
        let routes = RoutingSet {
            number: RoutingSetNumber(1),
            rules: [(SERVICE_ADDRESS.into(), rule)].into(),
            ..RoutingSet::default()
        };
        let update = ControlUpdate::Routes(routes.delta_from(None));
        updates.send(update).await.unwrap();
        let report = Message::Report(AgentReport {
            incarnation: 1,
            data_centre: "near".parse().unwrap(),
            service,
            slots: Slots(100),
            accepting: true,
            load: Load::default(),
        });
        let report = wire::encode(&report).unwrap();
        agent.send_to(&report, peer_address).await.unwrap();
        timeout(TIMEOUT, ready.wait_for(|ready| *ready))
            .await
            .expect("a balancer that can place flows")
            .unwrap();
        Network {
            callers,
            agent,
            ingress,
            peer_address,
            _updates: updates,
        }
    }

    async fn send(&self, datagram: &[u8]) {
        self.callers.send_to(datagram, self.ingress).await.unwrap();
    }

    async fn send_from_agent(&self, message: &Message) {
        let datagram = wire::encode(message).unwrap();
        let sent = self.agent.send_to(&datagram, self.peer_address).await;
        sent.unwrap();
    }

    /// The next message at the agent.
    async fn next_message(&self) -> Message {
        let mut buf = vec![0; 64 * 1024];
        let received = timeout(TIMEOUT, self.agent.recv(&mut buf)).await;
        let len = received.expect("a message").unwrap();
        wire::decode(&buf[..len]).unwrap()
    }

    /// Port of the next opening datagram at the agent and the number of its copy.
    async fn next_opening(&self) -> (u16, u32) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let received = timeout(TIMEOUT, self.agent.recv(&mut buf)).await;
            let len = received.expect("an opening").unwrap();
            if let Ok(Message::Opening { payload, .. }) = wire::decode(&buf[..len]) {
                let seg = TestCodec.parse(&payload).unwrap();
                return (seg.source.port(), seg.ack);
            }
        }
    }

    /// Ports of the next `count` flows that are reset.
    async fn resets(&self, count: usize) -> BTreeSet<u16> {
        let mut ports = BTreeSet::new();
        while ports.len() < count {
            let mut port = [0; 2];
            let received = timeout(TIMEOUT, self.callers.recv(&mut port)).await;
            received.expect("a reset").unwrap();
            ports.insert(u16::from_be_bytes(port));
        }
        ports
    }
}

/// Guards against large flows that are refused after their opening was forwarded, and
/// against callers that wait for a refusal until they time out.
#[test]
fn flows_refused_by_the_link_were_never_forwarded() {
    System::new().block_on(async {
        let network = Network::start().await;
        network.send(&datagram(1000, OPENING, 0, 0)).await;
        assert_eq!(network.next_opening().await, (1000, 0));
        for part in 0..33 {
            network.send(&datagram(1000, DATA, part, 1200)).await;
        }
        network.send(&datagram(1000, DATA, 33, 400)).await;
        for port in 1001..=1040 {
            network.send(&datagram(port, OPENING, 0, 0)).await;
        }
        assert_eq!(network.next_opening().await, (1001, 0));
        // One is forwarded, and at most nine get their turn within 600 ms.
        let refused = network.resets(30).await;
        assert!(!refused.contains(&1001));
        // A copy of the opening that was forwarded.
        network.send(&datagram(1001, OPENING, 1, 0)).await;
        loop {
            let (port, copy) = network.next_opening().await;
            assert!(!refused.contains(&port), "flow {port} was refused");
            if (port, copy) == (1001, 1) {
                break;
            }
        }
    });
}

/// Guards against queries for many flows that are sent to agents of earlier versions, and
/// against claims for many flows that release nothing.
#[test]
fn flows_are_searched_for_together_at_agents_that_support_it() {
    System::new().block_on(async {
        let network = Network::start().await;
        let data = |port| datagram(port, DATA, 1, 0);
        for port in 1..=3 {
            network.send(&data(port)).await;
        }
        for _ in 1..=3 {
            let message = network.next_message().await;
            assert!(matches!(message, Message::ClaimQuery { .. }), "{message:?}");
        }
        let performance = Message::Performance(Performance {
            incarnation: 1,
            service_time: None,
            share: AdmittedShare::Full,
        });
        network.send_from_agent(&performance).await;
        // The balancer has received the message before it once this flow is found.
        let claim = |port| FlowTuple {
            caller: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            service: SERVICE_ADDRESS,
        };
        let found = Message::Claim {
            key: claim(1),
            claim: Claim::Holds,
        };
        network.send_from_agent(&found).await;
        while !matches!(network.next_message().await, Message::Datagram { .. }) {}
        let ports: BTreeSet<u16> = (10..20).collect();
        for port in &ports {
            network.send(&data(*port)).await;
        }
        let (mut queried, mut together) = (Vec::new(), false);
        while queried.len() < ports.len() {
            match network.next_message().await {
                Message::ClaimQuery { header, .. } => {
                    let caller = TestCodec.parse(&header).unwrap().source;
                    queried.extend(Some(caller).filter(|caller| ports.contains(&caller.port())));
                }
                Message::ClaimQueries { flows, .. } => {
                    together = true;
                    queried.extend(flows.0.iter().map(|flow| flow.caller));
                }
                other => panic!("{other:?}"),
            }
        }
        assert!(together, "all were searched for alone");
        let claims = Message::Claims {
            service: SERVICE_ADDRESS,
            holds: Callers(queried),
            perhaps: Callers::default(),
            no: Callers::default(),
        };
        network.send_from_agent(&claims).await;
        let mut released = BTreeSet::new();
        while released != ports {
            if let Message::Datagram { payload, .. } = network.next_message().await {
                released.insert(TestCodec.parse(&payload).unwrap().source.port());
            }
        }
    });
}
