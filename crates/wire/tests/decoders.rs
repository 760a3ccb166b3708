//! Decoders reject malformed input, altered ids and other protocol versions.

use arbtest::arbtest;
use types::{CidKey, KeyGeneration, KeySet, UpstreamId};
use wire::{
    CID_LEN, Category, CidCodec, ConnectionId, Endpoints, LongHeaderKind, Prefix, QuicHeader,
    ServiceTag, SyncRequest,
};

/// Number of random cases of each property; the case number is the seed.
const RANDOM_CASES: u64 = 512;

/// Bytes of random input of each case; the low half of an arbtest seed.
const INPUT_BYTES: u64 = 256;

fn key(generation: u8, byte: u8) -> CidKey {
    CidKey {
        generation: KeyGeneration(generation),
        secret: [byte; 16],
    }
}

fn codec() -> CidCodec {
    CidCodec::new(&KeySet {
        current: key(1, 7),
        other: Some(key(0, 3)),
    })
}

/// Guards against a panic on untrusted input.
#[test]
fn random_input_never_panics() {
    for case in 0..RANDOM_CASES {
        arbtest(|u| {
            let input: Vec<u8> = u.arbitrary()?;
            let _ = Prefix::decode(&input);
            let _ = QuicHeader::decode(&input);
            let _ = codec().decode(&input);
            let _ = wire::decode::<SyncRequest>(&input);
            Ok(())
        })
        .seed(case << 32 | INPUT_BYTES);
    }
}

/// Guards against a truncated prefix that is accepted, and against a prefix
/// that is decoded as another kind.
#[test]
fn truncated_prefixes_are_rejected() {
    let cases = [
        ("192.0.2.7:50000", "198.51.100.1:443"),
        ("[2001:db8::7]:50000", "[2001:db8::1]:443"),
    ];
    for (caller, service) in cases {
        let endpoints = Endpoints {
            caller: caller.parse().unwrap(),
            service: service.parse().unwrap(),
        };
        let mut buf = Vec::new();
        endpoints.encode(&mut buf);
        assert!(buf.len() <= wire::MAX_PREFIX_LEN);
        assert_eq!(
            Prefix::decode(&buf).unwrap(),
            (Prefix::Proxy(endpoints), &[][..])
        );
        let mut passed_on = Vec::new();
        endpoints.encode_passed_on(&mut passed_on);
        assert!(passed_on.len() <= wire::MAX_PREFIX_LEN);
        assert_eq!(
            Prefix::decode(&passed_on).unwrap(),
            (Prefix::PassedOn(endpoints), &[][..])
        );
        for end in 0..buf.len() {
            let error = Prefix::decode(&buf[..end]).unwrap_err();
            assert_eq!(error.category(), Category::Malformed, "{end} bytes");
        }
    }
    assert_eq!(
        Prefix::decode(&Prefix::probe()).unwrap(),
        (Prefix::Local, &[][..])
    );
}

/// Guards against connection ids that can be altered or forged without the key.
#[test]
fn altered_connection_ids_are_rejected() {
    let codec = codec();
    let id = ConnectionId {
        upstream: UpstreamId(0x0123_4567_89ab_cdef),
        tag: ServiceTag(9),
        nonce: 77,
    };
    let cid = codec.encode(&id, 0xff);
    assert_eq!(codec.decode(&cid).unwrap(), id);
    for bit in 0..CID_LEN * 8 {
        let mut altered = cid;
        altered[bit / 8] ^= 1 << (bit % 8);
        match codec.decode(&altered) {
            // The six low bits of the first octet are random and not decoded.
            Ok(same) => assert!((0..6).contains(&bit) && same == id, "bit {bit}"),
            Err(e) => assert_eq!(e.category(), Category::UnknownId, "bit {bit}"),
        }
    }
    for len in 0..CID_LEN {
        assert!(codec.decode(&cid[..len]).is_err());
    }
}

/// Guards against a key rotation that breaks established connections.
#[test]
fn ids_of_the_former_key_stay_valid_for_one_rotation() {
    let id = ConnectionId {
        upstream: UpstreamId(5),
        tag: ServiceTag(1),
        nonce: 2,
    };
    let first = CidCodec::new(&KeySet {
        current: key(0, 1),
        other: None,
    });
    let cid = first.encode(&id, 0);
    let cases = [
        (
            KeySet {
                current: key(0, 1),
                other: Some(key(1, 2)),
            },
            true,
        ),
        (
            KeySet {
                current: key(1, 2),
                other: Some(key(0, 1)),
            },
            true,
        ),
        (
            KeySet {
                current: key(1, 2),
                other: Some(key(2, 3)),
            },
            false,
        ),
    ];
    for (keys, valid) in cases {
        assert_eq!(CidCodec::new(&keys).decode(&cid).is_ok(), valid, "{keys:?}");
    }
}

/// Guards against packets that are classified as another kind.
#[test]
fn quic_header_kinds_are_distinguished() {
    let long = |first: u8, version: u32, dcid: &[u8]| {
        let mut packet = vec![first];
        packet.extend_from_slice(&version.to_be_bytes());
        packet.push(u8::try_from(dcid.len()).unwrap());
        packet.extend_from_slice(dcid);
        packet
    };
    let cases = [
        (long(0xc0, 1, &[1; 8]), Some((LongHeaderKind::MayOpen, 8))),
        (long(0xd0, 1, &[1; 20]), Some((LongHeaderKind::MayOpen, 20))),
        (
            long(0xe0, 1, &[1; 17]),
            Some((LongHeaderKind::Handshake, 17)),
        ),
        (
            long(0xe0, 0x6b33_43cf, &[1; 4]),
            Some((LongHeaderKind::MayOpen, 4)),
        ),
        (long(0xc0, 1, &[1; 21]), None),
        (vec![0xc0, 0, 0], None),
    ];
    for (packet, expected) in cases {
        let header = match QuicHeader::decode(&packet) {
            Ok(QuicHeader::Long { kind, dcid }) => Some((kind, dcid.len())),
            _ => None,
        };
        assert_eq!(header, expected, "{packet:?}");
    }
    assert!(QuicHeader::decode(&[0x40; CID_LEN]).is_err());
    assert!(matches!(
        QuicHeader::decode(&[0x40; CID_LEN + 1]),
        Ok(QuicHeader::Short { dcid }) if dcid.len() == CID_LEN
    ));
}

/// Guards against decoding a message of another protocol version.
#[test]
fn messages_of_other_versions_are_rejected() {
    let mut message = wire::encode(&"text").unwrap();
    assert_eq!(wire::decode::<String>(&message).unwrap(), "text");
    message[0] += 1;
    let error = wire::decode::<String>(&message).unwrap_err();
    assert_eq!(error.category(), Category::Version);
}
