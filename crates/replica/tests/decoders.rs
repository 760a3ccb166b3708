//! Messages and records of control hosts are decoded without a panic, whatever they hold.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use config::ConfigState;
use consensus::{
    Consensus, EntryPayload, Group, Input, LogEntry, LogPosition, MemberIdentity, Message,
    MessageBody, RestoredState, Settings, Snapshot,
};
use directory::{Ballot, FirstGroup};
use replica::AcceptorState;
use types::{
    Change, ChangeId, ChangeRequest, MemberId, Revision, RouteWeight, RoutingRule, RoutingSet,
    Term, UnixMillis,
};
use wire::request::QueryReply;

fn request() -> ChangeRequest {
    let rule = RoutingRule {
        weights: [("vouchers".parse().unwrap(), RouteWeight(3))].into(),
        ..RoutingRule::default()
    };
    let set = RoutingSet {
        rules: [("198.18.0.1:443".parse().unwrap(), rule)].into(),
        ..RoutingSet::default()
    };
    ChangeRequest {
        id: ChangeId::generate(),
        author: "alice".parse().unwrap(),
        base: Revision(0),
        change: Change::ReplaceRoutes(Arc::new(set)),
    }
}

/// Guards against a message of another member that stops a control host, also when it is
/// applied and an election follows.
#[test]
fn no_message_of_a_member_panics() {
    let position = LogPosition {
        term: Term(2),
        index: Revision(5),
    };
    let entry = LogEntry {
        index: Revision(6),
        term: Term(2),
        payload: EntryPayload::Command(wire::encode(&request()).unwrap().into()),
    };
    let snapshot = Snapshot {
        position,
        group: Group::default(),
        state: vec![7; 40].into(),
    };
    let bodies = [
        MessageBody::Append {
            prev_log_position: position,
            entries: vec![entry],
            leader_commit: Revision(5),
            round: 9,
        },
        MessageBody::InstallSnapshot { snapshot, round: 9 },
        MessageBody::Replaced {
            member: MemberId(3),
        },
    ];
    for body in bodies {
        let message = Message {
            from: MemberId(1),
            from_address: SocketAddr::from(([10, 0, 0, 1], 7000)),
            to: MemberId(2),
            term: Term(2),
            body,
            lost_voters: [MemberId(3)].into(),
        };
        mutations::for_each(&wire::encode(&message).unwrap(), |input| {
            let Ok(message) = wire::decode::<Message>(input) else {
                return;
            };
            let now = Instant::now();
            let identity = MemberIdentity {
                id: MemberId(2),
                address: SocketAddr::from(([10, 0, 0, 2], 7000)),
            };
            let restored = RestoredState::default();
            let mut member = Consensus::new(Settings::default(), identity, restored, 7, now);
            let voters = [1, 2, 3].map(|n| (MemberId(n), SocketAddr::from(([10, 0, 0, 1], 7000))));
            let mut inputs = vec![
                Input::Bootstrap(Group::from_voters(voters)),
                Input::Message(message),
            ];
            inputs.extend([Input::Tick, Input::Tick]);
            for input in inputs {
                let now = now.max(member.next_deadline());
                let output = member.step(now, input);
                let mut write = output.write;
                while let Some(synced) = write {
                    write = member.step(now, Input::WriteSynced(synced.id)).write;
                }
            }
        });
    }
}

/// Guards against a log, a snapshot or a message of an earlier version that a control host
/// cannot read after an upgrade: they have no fields for changes under way or lost voters.
#[test]
fn groups_and_messages_of_earlier_versions_are_read() {
    let voters = [1, 2, 3].map(|n| (MemberId(n), SocketAddr::from(([10, 0, 0, 1], 7000))));
    let group = Group::from_voters(voters);
    let earlier = wire::encode(&(&group.voters, &group.learners)).unwrap();
    assert_eq!(wire::decode::<Group>(&earlier).unwrap(), group);

    let message = Message {
        from: MemberId(1),
        from_address: SocketAddr::from(([10, 0, 0, 1], 7000)),
        to: MemberId(2),
        term: Term(2),
        body: MessageBody::VoteReply { granted: true },
        lost_voters: [].into(),
    };
    let Message {
        from,
        from_address,
        to,
        term,
        body,
        ..
    } = &message;
    let earlier = wire::encode(&(from, from_address, to, term, body)).unwrap();
    assert_eq!(wire::decode::<Message>(&earlier).unwrap(), message);
    assert_eq!(wire::encode(&message).unwrap(), earlier);
}

/// Guards against a request or a reply that stops a control host or a tool. What is
/// decoded is applied, too.
#[test]
fn no_request_or_reply_panics() {
    let mut state = ConfigState::default();
    let mut index = 0;
    mutations::for_each(&wire::encode(&request()).unwrap(), |input| {
        if let Ok(request) = wire::decode::<ChangeRequest>(input) {
            index += 1;
            state.apply(Revision(index), UnixMillis(1), &request);
        }
    });
    let Change::ReplaceRoutes(set) = request().change else {
        panic!("another change");
    };
    let reply = QueryReply::Routes(Some(set));
    mutations::for_each(&wire::encode(&reply).unwrap(), |input| {
        let _ = wire::decode::<QueryReply>(input);
    });
}

/// Guards against a damaged record that stops a control host without a reason.
#[test]
fn no_record_panics() {
    let group = FirstGroup::new(vec![(MemberId(7), [10, 0, 0, 2].into())]);
    let ballot = Ballot {
        round: 3,
        proposer: [10, 0, 0, 2].into(),
    };
    let acceptor = AcceptorState {
        promised: ballot,
        accepted: Some((ballot, group)),
        ..AcceptorState::new([[10, 0, 0, 2].into()].into())
    };
    mutations::for_each(&wire::encode(&acceptor).unwrap(), |input| {
        let _ = wire::decode::<AcceptorState>(input);
    });
    let mut state = ConfigState::default();
    state.apply(Revision(1), UnixMillis(1), &request());
    let mut snapshot = Vec::new();
    state.encode(&mut snapshot).unwrap();
    mutations::for_each(&snapshot, |input| {
        let _ = ConfigState::decode(input);
    });
}
