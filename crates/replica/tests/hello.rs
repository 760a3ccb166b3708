//! Replies of a control host to hello messages of nodes.

use std::{
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    time::Duration,
};

use actix_rt::{System, time::timeout};
use directory::{ControlMessage, DirectoryVersion, Hello, HelloReply, Node};
use prometheus::Registry;
use replica::{Settings, start_observer};
use tokio::{net::UdpSocket, sync::watch};

/// Number of nodes in the test.
const NODE_COUNT: u8 = 60;

/// Timeout of a reply on the loopback interface.
const REPLY_TIMEOUT: Duration = Duration::from_secs(5);

async fn receive(socket: &UdpSocket) -> HelloReply {
    let mut buf = vec![0; 64 * 1024];
    let len = timeout(REPLY_TIMEOUT, socket.recv(&mut buf))
        .await
        .unwrap()
        .unwrap();
    wire::decode(&buf[..len]).unwrap()
}

/// Guards against a start whose cost grows with the square of the number of
/// nodes: each node queries several control hosts ten times a second, and each
/// reply contained the full node list. At 300 hosts no request was served.
#[test]
fn reply_to_a_node_without_a_control_host_lists_no_nodes() {
    System::new().block_on(async {
        let net = u8::try_from(std::process::id() % 120).unwrap() + 100;
        let ip = Ipv4Addr::new(127, net, 31, 1);
        let (_seeds, seeds) = watch::channel(vec![ip]);
        let data_centre = "dc".parse().unwrap();
        let settings = Settings::new(ip, data_centre, PathBuf::new(), seeds);
        let (_stop, stopped) = watch::channel(false);
        let host = SocketAddr::V4(settings.node_address());
        let _members = start_observer(settings, &Registry::new(), stopped).unwrap();

        let socket = UdpSocket::bind((ip, 0)).await.unwrap();
        let Ok(SocketAddr::V4(reply_to)) = socket.local_addr() else {
            panic!("no IPv4 address");
        };
        let hello = async |n: u8, version| {
            let node = Node {
                address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7000),
                ..Node::example("10.0.0.1:7000")
            };
            let hello = ControlMessage::Hello(Hello {
                node,
                reply_to,
                version,
            });
            let datagram = wire::encode(&hello).unwrap();
            socket.send_to(&datagram, host).await.unwrap();
            receive(&socket).await
        };
        for n in 1..=NODE_COUNT {
            let reply = hello(n, None).await;
            assert_eq!(reply.delta, None, "node {n}");
            assert!(!reply.complete);
        }
        // A node that has chosen this host gets the list in several deltas.
        let mut last_delta = hello(1, Some(DirectoryVersion::default()))
            .await
            .delta
            .unwrap();
        let mut count = last_delta.changed.len();
        // The list includes the control host itself.
        while count < usize::from(NODE_COUNT) + 1 {
            let reply = receive(&socket).await;
            let delta = reply.delta.unwrap();
            assert_eq!(delta.from, last_delta.to);
            count += delta.changed.len();
            last_delta = delta;
            assert_eq!(reply.version.seq, u64::from(NODE_COUNT) + 1);
        }
        assert_eq!(last_delta.to.seq, u64::from(NODE_COUNT) + 1);
    });
}
