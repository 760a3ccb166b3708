//! A control host that has restarted waits for the agents that it listed before.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    path::Path,
    time::{Duration, Instant},
};

use actix_rt::{
    System, spawn,
    time::{sleep, timeout},
};
use directory::{ControlMessage, DirectoryVersion, Hello, HelloReply, Node, NodeRole};
use prometheus::Registry;
use replica::{MembershipSettings, Settings, start};
use tokio::{net::UdpSocket, sync::watch};

/// Less than the time after which a directory is complete without a roster.
const SOON: Duration = Duration::from_millis(1200);

const TIMEOUT: Duration = Duration::from_secs(15);

struct Host {
    node_address: SocketAddrV4,
    _stop: watch::Sender<bool>,
}

async fn start_host(ip: Ipv4Addr, dir: &Path, bootstrap: bool) -> Host {
    let (_, seeds) = watch::channel(vec![ip]);
    let settings = Settings {
        bootstrap,
        // A single host can tolerate no loss.
        membership: MembershipSettings {
            min_voters: 1,
            ..MembershipSettings::default()
        },
        ..Settings::new(ip, "dc".parse().unwrap(), dir.to_owned(), seeds)
    };
    let node_address = settings.node_address();
    let (stop, stopped) = watch::channel(false);
    // The threads of an earlier host, which lock the folder, end a little after it.
    let deadline = Instant::now() + TIMEOUT;
    let run = loop {
        match start(settings.clone(), &Registry::new(), stopped.clone()).await {
            Ok((_, run)) => break run,
            Err(e) => assert!(Instant::now() < deadline, "{e}"),
        }
        sleep(Duration::from_millis(20)).await;
    };
    spawn(async move { run.await.unwrap() });
    Host {
        node_address,
        _stop: stop,
    }
}

/// A node with its socket.
struct TestNode {
    node: Node,
    socket: UdpSocket,
}

impl TestNode {
    async fn new(address: SocketAddrV4, role: NodeRole) -> Self {
        let socket = UdpSocket::bind(address).await.unwrap();
        let node = Node {
            address,
            role,
            ..Node::example("10.0.0.1:7000")
        };
        TestNode { node, socket }
    }

    /// Says hello and returns whether the reply tells that the directory is complete.
    async fn finds_complete(&self, host: SocketAddrV4) -> bool {
        let hello = ControlMessage::Hello(Hello {
            node: self.node.clone(),
            reply_to: self.node.address,
            version: Some(DirectoryVersion::default()),
        });
        let datagram = wire::encode(&hello).unwrap();
        self.socket.send_to(&datagram, host).await.unwrap();
        let mut buf = vec![0; 64 * 1024];
        let received = timeout(TIMEOUT, self.socket.recv(&mut buf)).await;
        let len = received.expect("a reply").unwrap();
        let reply: HelloReply = wire::decode(&buf[..len]).unwrap();
        reply.complete
    }

    async fn wait_until_complete(&self, host: SocketAddrV4) {
        let start = Instant::now();
        while !self.finds_complete(host).await {
            assert!(start.elapsed() < TIMEOUT, "the directory is never complete");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against callers that wait for their timeout after a loss of power, because
/// balancers do not know that no agent is missing, and against the reset of the flows
/// of an agent that has not returned yet: a restarted host reads from its disk whom it
/// has to hear, and its directory is complete as soon as it has.
#[test]
fn a_restarted_host_is_complete_once_its_agents_are_heard() {
    let net = u8::try_from(std::process::id() % 120).unwrap() + 100;
    let ip = Ipv4Addr::new(127, net, 32, 1);
    let dir = tempfile::tempdir().unwrap();
    let nodes = async || {
        let service = "vouchers".parse().unwrap();
        let agent = SocketAddrV4::new(ip, 7100);
        let balancer = SocketAddrV4::new(ip, 7101);
        (
            TestNode::new(agent, NodeRole::Agent(service)).await,
            TestNode::new(balancer, NodeRole::Balancer).await,
        )
    };
    // The tasks and sockets of the host end with the system.
    System::new().block_on(async {
        let (agent, balancer) = nodes().await;
        let host = start_host(ip, dir.path(), true).await;
        // The agent says hello too, or its lease would expire.
        while !balancer.finds_complete(host.node_address).await {
            agent.finds_complete(host.node_address).await;
            sleep(Duration::from_millis(50)).await;
        }
        agent.finds_complete(host.node_address).await;
    });
    System::new().block_on(async {
        let (agent, balancer) = nodes().await;
        let host = start_host(ip, dir.path(), false).await;
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_millis(500) {
            assert!(
                !balancer.finds_complete(host.node_address).await,
                "the agent has not returned"
            );
            sleep(Duration::from_millis(50)).await;
        }
        agent.finds_complete(host.node_address).await;
        balancer.wait_until_complete(host.node_address).await;
        assert!(started_at.elapsed() < SOON, "{:?}", started_at.elapsed());
    });
}
