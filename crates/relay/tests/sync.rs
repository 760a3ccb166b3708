//! The task that keeps a node in sync, against a stand-in for a control host.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::{Duration, Instant},
};

use actix_rt::{System, spawn, time::timeout};
use directory::{
    ControlMessage, DirectoryDelta, DirectoryVersion, Hello, HelloReply, Node, NodeRole,
};
use relay::{ControlSync, ControlSyncSettings, ControlUpdate};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
};
use types::RoutingSetNumber;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Version of the list of nodes.
const VERSION: DirectoryVersion = DirectoryVersion {
    incarnation: 7,
    seq: 2,
};

/// A control host that replies as the test says.
struct ControlHost {
    socket: UdpSocket,
}

impl ControlHost {
    /// Receives hellos until one that requests the list of nodes.
    async fn receive_request(&self) -> Hello {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let received = timeout(TIMEOUT, self.socket.recv(&mut buf)).await;
            let len = received.expect("a hello").unwrap();
            let Ok(ControlMessage::Hello(hello)) = wire::decode(&buf[..len]) else {
                panic!("not a hello");
            };
            if hello.version.is_some() {
                return hello;
            }
            self.reply(&hello, None).await;
        }
    }

    async fn reply(&self, hello: &Hello, delta: Option<DirectoryDelta>) {
        let reply = HelloReply {
            routing_set: RoutingSetNumber(0),
            current: true,
            delta,
            control_hosts: Vec::new(),
            version: VERSION,
            complete: false,
            policy: types::PlacementPolicy::default(),
        };
        let datagram = wire::encode(&reply).unwrap();
        let to = SocketAddr::V4(hello.reply_to);
        self.socket.send_to(&datagram, to).await.unwrap();
    }
}

/// The second half of the list: it follows a delta that was lost.
fn second_delta() -> DirectoryDelta {
    DirectoryDelta {
        from: DirectoryVersion { seq: 1, ..VERSION },
        to: VERSION,
        changed: Vec::new(),
        removed: Vec::new(),
    }
}

fn whole_list() -> DirectoryDelta {
    DirectoryDelta {
        from: DirectoryVersion::default(),
        changed: vec![Node::example("10.0.0.2:7000")],
        ..second_delta()
    }
}

fn start_node(ip: Ipv4Addr, port: u16) -> (mpsc::Receiver<ControlUpdate>, watch::Sender<bool>) {
    let (_, seeds) = watch::channel(vec![ip]);
    let address = SocketAddrV4::new(ip, port + 1);
    let settings = ControlSyncSettings {
        node: Node {
            address,
            role: NodeRole::Balancer,
            ..Node::example("10.0.0.1:7000")
        },
        listen_address: address,
        reply_to: address,
        seeds,
        node_port: port,
        member_port: port + 2,
        needs_routing_set: false,
    };
    let (updates, received) = mpsc::channel(16);
    let (stop, stopped) = watch::channel(false);
    spawn(ControlSync::new(settings, updates, stopped).unwrap().run());
    (received, stop)
}

/// Guards against nodes that serve nothing for half a second and more after a loss of
/// power: the lists of all nodes fill the link of the first control host that is back,
/// and a node whose list was lost asked again only with its next hello (39 of 61 agents
/// of a grown deployment were used 0.5 to 1.5 s late).
#[test]
fn a_lost_list_of_nodes_is_requested_again_at_once() {
    System::new().block_on(async {
        let net = u8::try_from(std::process::id() % 120).unwrap() + 100;
        let ip = Ipv4Addr::new(127, net, 35, 1);
        let port = 7000;
        let socket = UdpSocket::bind((ip, port)).await.unwrap();
        let host = ControlHost { socket };
        let (mut updates, _stop) = start_node(ip, port);

        // The whole list is lost, then its first half.
        host.receive_request().await;
        let lost_at = Instant::now();
        let hello = host.receive_request().await;
        host.reply(&hello, Some(second_delta())).await;
        let hello = host.receive_request().await;
        assert!(
            lost_at.elapsed() < Duration::from_millis(900),
            "{:?}",
            lost_at.elapsed()
        );
        host.reply(&hello, Some(whole_list())).await;
        let update = timeout(TIMEOUT, updates.recv()).await.unwrap();
        let Some(ControlUpdate::Nodes(changes)) = update else {
            panic!("no list of nodes");
        };
        assert_eq!(changes.changed.len(), 1);

        // A node in sync says hello twice a second again.
        let synced_at = Instant::now();
        for _ in 0..4 {
            let hello = host.receive_request().await;
            host.reply(&hello, None).await;
        }
        assert!(synced_at.elapsed() > Duration::from_millis(1200));
    });
}
