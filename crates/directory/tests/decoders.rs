//! Messages to and from control hosts: any input is decoded and applied without a panic.

use std::time::{Duration, Instant};

use directory::{
    Ballot, ControlMessage, Directory, DirectoryVersion, FirstGroup, FormationMessage, Hello,
    HelloReply, Node, NodeRole, RosterReply, View,
};
use types::{MemberId, RoutingSetNumber};

fn node(address: &str) -> Node {
    Node {
        role: NodeRole::Agent("vouchers".parse().unwrap()),
        ..Node::example(address)
    }
}

/// Guards against a datagram that stops a control host.
#[test]
fn no_message_to_a_control_host_panics() {
    let now = Instant::now();
    let mut directory = Directory::new(1);
    let ballot = Ballot {
        round: 3,
        proposer: [10, 0, 0, 2].into(),
    };
    let group = FirstGroup::new(vec![(MemberId(7), [10, 0, 0, 2].into())]);
    let messages = [
        ControlMessage::Hello(Hello {
            node: node("10.0.0.1:7000"),
            reply_to: "10.0.0.1:7001".parse().unwrap(),
            version: Some(DirectoryVersion {
                incarnation: 1,
                seq: 1,
            }),
        }),
        ControlMessage::Relayed(vec![
            (node("10.0.0.1:7000"), 40),
            (node("10.0.0.3:7000"), 9),
        ]),
        ControlMessage::FormGroup(group.clone()),
        ControlMessage::Formation {
            from: [10, 0, 0, 2].into(),
            message: FormationMessage::Promise {
                ballot,
                accepted: Some((ballot, group)),
            },
        },
    ];
    for message in messages {
        mutations::for_each(
            &wire::encode(&message).unwrap(),
            |input| match wire::decode::<ControlMessage>(input) {
                Ok(ControlMessage::Hello(hello)) => {
                    directory.record_hello(hello.node, now);
                    let _ = directory.deltas_since(hello.version.unwrap_or_default());
                }
                Ok(ControlMessage::Relayed(nodes)) => {
                    for (node, age_ms) in nodes {
                        directory.record_relayed(node, Duration::from_millis(age_ms), now);
                    }
                }
                _ => {}
            },
        );
    }
    directory.expire(now + Duration::from_mins(1));
}

/// Guards against a reply of a control host that stops a balancer or an agent.
#[test]
fn no_reply_of_a_control_host_panics() {
    let now = Instant::now();
    let mut directory = Directory::new(1);
    for host in 1..4 {
        directory.record_hello(node(&format!("10.0.0.{host}:7000")), now);
    }
    let reply = HelloReply {
        routing_set: RoutingSetNumber(7),
        current: true,
        delta: directory.deltas_since(DirectoryVersion::default()).pop(),
        control_hosts: vec!["10.0.0.9:7000".parse().unwrap()],
        version: directory.version(),
        complete: true,
        policy: types::PlacementPolicy::default(),
    };
    assert!(reply.delta.is_some());
    let mut view = View::default();
    mutations::for_each(&wire::encode(&reply).unwrap(), |input| {
        if let Ok(HelloReply {
            delta: Some(delta), ..
        }) = wire::decode(input)
        {
            view.apply(delta, now);
        }
    });
    view.expire(now + Duration::from_mins(1));
    let mut roster = RosterReply {
        members: vec![[10, 0, 0, 9].into()],
        roster: directory::Roster::default(),
    };
    roster.roster.insert("10.0.0.1:7000".parse().unwrap());
    mutations::for_each(&wire::encode(&roster).unwrap(), |input| {
        let _ = wire::decode::<RosterReply>(input);
    });
}
