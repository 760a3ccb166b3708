//! Encoded messages between balancers and agents.

use std::time::Duration;

use bytes::Bytes;
use flow::{
    AdmittedShare, FlowListId, FlowListPart, FlowRecord, FlowTuple, Load, RecordedStage,
    ServiceTime,
};
use relay::{AgentReport, Callers, Message, Performance, QueriedFlow, QueriedFlows, ServiceTag};
use serde::{Deserialize, Serialize};
use types::{DataCentre, ServiceName, Slots};

/// A record with the longest encoding.
fn longest_record() -> FlowRecord {
    let address = "255.255.255.255:65535".parse().unwrap();
    FlowRecord {
        key: FlowTuple {
            caller: address,
            service: address,
        },
        stage: RecordedStage::Open,
        opening_seq: Some(u32::MAX),
        upstream_range: Some((u32::MAX, u32::MAX)),
        caller_seq: Some(u32::MAX),
        awaiting_answer: true,
        caller_ended: true,
        upstream_ended: true,
        idle: Duration::from_millis(u32::MAX.into()),
    }
}

fn longest_parts() -> Vec<FlowListPart> {
    let id = FlowListId {
        owner: u64::MAX,
        round: u32::MAX,
    };
    FlowListPart::divide(id, true, Some(u64::MAX), &vec![longest_record(); 12_001])
}

/// Guards against parts of a list that do not fit in a datagram, and against a list that
/// lost its last flows and counts as complete.
#[test]
fn a_part_of_a_list_fits_in_a_datagram() {
    let parts = longest_parts();
    assert_eq!(parts.len(), 500);
    assert!(parts.iter().all(|part| !part.complete));
    for message in [
        Message::KeepFlows(parts[499].clone()),
        Message::KeptFlows(Some(parts[499].clone())),
    ] {
        let encoded = wire::encode(&message).unwrap();
        assert!(encoded.len() <= 1400, "{} bytes", encoded.len());
        assert_eq!(wire::decode::<Message>(&encoded).unwrap(), message);
    }
}

/// Guards against a process of an earlier version that ends on a message it does not
/// know: it must see an error, which it logs.
#[test]
fn an_unknown_message_is_an_error() {
    #[derive(Debug, Deserialize)]
    enum EarlierMessage {
        #[expect(dead_code, reason = "only decoded")]
        NotHeld { payload: Vec<u8> },
    }
    let key = longest_record().key;
    let messages = [
        Message::KeepFlows(longest_parts().remove(0)),
        Message::KeptFlows(None),
        Message::TrialRequest { key },
    ];
    for message in messages {
        let encoded = wire::encode(&message).unwrap();
        assert!(wire::decode::<EarlierMessage>(&encoded).is_err());
    }
}

/// Guards against balancers that lose their agents while processes of two versions run,
/// and against reports that grow: each agent reports to each balancer.
#[test]
fn reports_are_those_of_processes_without_service_times() {
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    struct EarlierReport {
        incarnation: u64,
        data_centre: DataCentre,
        service: ServiceName,
        slots: Slots,
        accepting: bool,
        load: Load,
    }
    #[derive(Debug, PartialEq, Serialize, Deserialize)]
    enum EarlierMessage {
        Report(EarlierReport),
    }
    let report = AgentReport {
        incarnation: u64::MAX,
        data_centre: "dc".parse().unwrap(),
        service: "vouchers".parse().unwrap(),
        slots: Slots(3),
        accepting: true,
        load: Load {
            busy_requests: 2,
            open_flows: 70_000,
        },
    };
    let earlier = EarlierMessage::Report(EarlierReport {
        incarnation: u64::MAX,
        data_centre: report.data_centre.clone(),
        service: report.service.clone(),
        slots: report.slots,
        accepting: true,
        load: report.load,
    });
    let message = Message::Report(report);
    let encoded = wire::encode(&message).unwrap();
    assert_eq!(encoded, wire::encode(&earlier).unwrap());
    assert_eq!(wire::decode::<EarlierMessage>(&encoded).unwrap(), earlier);
    assert_eq!(wire::decode::<Message>(&encoded).unwrap(), message);
    assert_eq!(encoded.len(), 40);
    let performance = Message::Performance(Performance {
        incarnation: u64::MAX,
        service_time: Some(ServiceTime(55_000)),
        share: AdmittedShare::Quarter,
    });
    let encoded = wire::encode(&performance).unwrap();
    assert!(wire::decode::<EarlierMessage>(&encoded).is_err());
    assert_eq!(wire::decode::<Message>(&encoded).unwrap(), performance);
    assert_eq!(encoded.len(), 35);
}

/// Guards against queries and claims for many flows that do not fit in a packet or cost as
/// many bytes as one message for each flow.
#[test]
fn many_flows_fit_in_a_packet() {
    let key = longest_record().key;
    let tag = ServiceTag(u32::MAX);
    let flow = QueriedFlow {
        caller: key.caller,
        ack: Some(u32::MAX),
    };
    let callers = Callers(vec![key.caller; flow::MAX_BATCH]);
    let queries = Message::ClaimQueries {
        tag,
        service: key.service,
        flows: QueriedFlows(vec![flow; flow::MAX_BATCH]),
    };
    let claims = Message::Claims {
        service: key.service,
        holds: callers.clone(),
        perhaps: Callers::default(),
        no: callers,
    };
    let single = Message::ClaimQuery {
        tag,
        header: vec![0; 34].into(),
    };
    let sizes = [queries, claims, single].map(|message| {
        let encoded = wire::encode(&message).unwrap();
        assert_eq!(wire::decode::<Message>(&encoded).unwrap(), message);
        encoded.len()
    });
    assert_eq!(sizes, [37 + 11 * flow::MAX_BATCH, 509, 48]);
}

/// Guards against a datagram of another build that ends a process.
#[test]
fn incomplete_flows_are_ignored() {
    let flows = |len: usize| QueriedFlows::from(Bytes::from(vec![1; len])).0.len();
    assert_eq!([0, 10, 11, 32].map(flows), [0, 0, 1, 2]);
    let callers = |len: usize| Callers::from(Bytes::from(vec![1; len])).0.len();
    assert_eq!([5, 6, 13].map(callers), [0, 1, 2]);
}
