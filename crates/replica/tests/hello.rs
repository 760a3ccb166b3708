//! What a control host answers to nodes.

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

/// Nodes of the test.
const NODES: u8 = 60;

/// Time for an answer on the loopback.
const LIMIT: Duration = Duration::from_secs(5);

async fn receive(socket: &UdpSocket) -> HelloReply {
    let mut buf = vec![0; 64 * 1024];
    let len = timeout(LIMIT, socket.recv(&mut buf))
        .await
        .unwrap()
        .unwrap();
    wire::decode(&buf[..len]).unwrap()
}

/// Guards against a first start that costs the square of the number of nodes:
/// each asks several control hosts ten times a second, and got the whole list
/// each time. At 300 hosts no request was served.
#[test]
fn a_node_that_looks_for_a_control_host_gets_no_list() {
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
        let hello = async |n: u8, mark| {
            let node = Node {
                address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, n), 7000),
                ..Node::example("10.0.0.1:7000")
            };
            let hello = ControlMessage::Hello(Hello {
                node,
                reply_to,
                version: mark,
            });
            let datagram = wire::encode(&hello).unwrap();
            socket.send_to(&datagram, host).await.unwrap();
            receive(&socket).await
        };
        for n in 1..=NODES {
            let reply = hello(n, None).await;
            assert_eq!(reply.delta, None, "node {n}");
            assert!(!reply.complete);
        }
        // One that has chosen this host gets the list, in pieces.
        let mut known = hello(1, Some(DirectoryVersion::default()))
            .await
            .delta
            .unwrap();
        let mut count = known.changed.len();
        // The host lists itself too.
        while count < usize::from(NODES) + 1 {
            let reply = receive(&socket).await;
            let news = reply.delta.unwrap();
            assert_eq!(news.from, known.to);
            count += news.changed.len();
            known = news;
            assert_eq!(reply.version.seq, u64::from(NODES) + 1);
        }
        assert_eq!(known.to.seq, u64::from(NODES) + 1);
    });
}
