//! Encodings of members.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::{DataCentre, HostName, Share, UpstreamMember, UpstreamState};

/// A member as processes from before evacuations were stated read and write it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierMember {
    host: HostName,
    data_centre: DataCentre,
    data_address: SocketAddr,
    peer_address: SocketAddr,
    state: UpstreamState,
    share: Share,
    previous_share: Share,
}

/// Guards against a membership that processes of earlier versions cannot read, or that
/// loses the evacuation on the way to those that can.
#[test]
fn members_are_read_by_earlier_processes() {
    let earlier = EarlierMember {
        host: "app-1".parse().unwrap(),
        data_centre: "east".parse().unwrap(),
        data_address: "10.0.0.1:1".parse().unwrap(),
        peer_address: "10.0.0.1:2".parse().unwrap(),
        state: UpstreamState::Leaving,
        share: Share(0),
        previous_share: Share(7),
    };
    let as_before = rmp_serde::to_vec(&earlier).unwrap();
    let mut member: UpstreamMember = rmp_serde::from_slice(&as_before).unwrap();
    assert!(!member.evacuated);
    assert_eq!(rmp_serde::to_vec(&member).unwrap(), as_before);

    member.evacuated = true;
    let encoded = rmp_serde::to_vec(&(&member, 7)).unwrap();
    let read: (EarlierMember, u32) = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(read, (earlier, 7));
    let read: (UpstreamMember, u32) = rmp_serde::from_slice(&encoded).unwrap();
    assert_eq!(read, (member, 7));
}
