//! Messages between balancers and agents are decoded without a panic, whatever they hold.

use flow::{FlowTuple, Origin};
use relay::{Message, ServiceTag};
use types::RequestTargets;

/// Guards against a datagram that stops a balancer or an agent.
#[test]
fn no_message_panics() {
    let service = "vouchers".parse().unwrap();
    let tag = ServiceTag::of(&service);
    let key = FlowTuple {
        caller: "100.64.0.7:40001".parse().unwrap(),
        service: "198.18.0.1:443".parse().unwrap(),
    };
    let messages = [
        Message::Opening {
            tag,
            origin: Origin::Placed,
            via: "10.0.0.1:7720".parse().unwrap(),
            declined_by: vec!["10.0.0.9:7722".parse().unwrap()],
            targets: RequestTargets::default(),
            waited_ms: 40,
            payload: vec![7; 34].into(),
        },
        Message::ClaimQuery {
            tag,
            header: vec![7; 34].into(),
        },
        Message::HeldFlows {
            service,
            keys: vec![key; 3],
        },
        Message::TrialAnswer { key, granted: true },
    ];
    for message in messages {
        let encoded = wire::encode(&message).unwrap();
        assert_eq!(wire::decode::<Message>(&encoded).unwrap(), message);
        mutations::for_each(&encoded, |input| {
            let _ = wire::decode::<Message>(input);
        });
    }
}
