//! The PROXY protocol v2 prefix of datagrams.

use std::net::SocketAddr;

use ppp::v2::{Addresses, Builder, Command, Header, Protocol, Version};

use crate::{Result, error::ErrorKind};

/// Longest prefix in bytes: the fixed part, a pair of IPv6 addresses, and the
/// field that marks a datagram as passed on.
pub const MAX_PREFIX_LEN: usize = 16 + 36 + EMPTY_TLV_LEN;

/// Type of the type-length-value field that marks a datagram as passed on by
/// another agent. The PROXY protocol reserves 0xE0 to 0xEF for applications.
const PASSED_ON_TLV_TYPE: u8 = 0xe0;

/// Length in bytes of a type-length-value field without a value.
const EMPTY_TLV_LEN: usize = 3;

/// Length in bytes of a prefix without addresses.
const LOCAL_PREFIX_LEN: usize = 16;

/// Addresses of the caller and the service of a datagram, in either direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Endpoints {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Address that the caller sent to.
    pub service: SocketAddr,
}

impl Endpoints {
    /// Appends the prefix to `buf`.
    pub fn encode(&self, buf: &mut Vec<u8>) {
        let addresses = Addresses::from((self.caller, self.service));
        append_prefix(Command::Proxy, Protocol::Datagram, addresses, None, buf);
    }

    /// Appends the prefix of a datagram that one agent passes on to another.
    pub fn encode_passed_on(&self, buf: &mut Vec<u8>) {
        let addresses = Addresses::from((self.caller, self.service));
        append_prefix(
            Command::Proxy,
            Protocol::Datagram,
            addresses,
            Some(PASSED_ON_TLV_TYPE),
            buf,
        );
    }
}

/// Prefix of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prefix {
    /// A health probe between two processes of the system.
    Local,
    /// A datagram from a caller, or a response to one.
    Proxy(Endpoints),
    /// A datagram from a caller, passed on by another agent.
    PassedOn(Endpoints),
}

impl Prefix {
    /// Splits a datagram into its prefix and its payload.
    ///
    /// # Errors
    ///
    /// Fails if the prefix is malformed or has no pair of UDP addresses.
    pub fn decode(datagram: &[u8]) -> Result<(Prefix, &[u8])> {
        let header = Header::try_from(datagram).map_err(ErrorKind::Prefix)?;
        let payload = &datagram[header.len()..];
        let prefix = match header.command {
            Command::Local => Prefix::Local,
            Command::Proxy if is_passed_on(&header) => Prefix::PassedOn(endpoints(&header)?),
            Command::Proxy => Prefix::Proxy(endpoints(&header)?),
        };
        Ok((prefix, payload))
    }

    /// Encodes a health probe.
    #[must_use]
    pub fn probe() -> Vec<u8> {
        let mut buf = Vec::with_capacity(LOCAL_PREFIX_LEN);
        append_prefix(
            Command::Local,
            Protocol::Unspecified,
            Addresses::Unspecified,
            None,
            &mut buf,
        );
        buf
    }
}

fn append_prefix(
    command: Command,
    protocol: Protocol,
    addresses: Addresses,
    tlv_type: Option<u8>,
    buf: &mut Vec<u8>,
) {
    let builder = Builder::with_addresses(Version::Two | command, protocol, addresses);
    let header = match tlv_type {
        Some(tlv_type) => builder.write_tlv(tlv_type, &[]).and_then(Builder::build),
        None => builder.build(),
    };
    // A header with at most one empty TLV field always fits the length field.
    buf.extend_from_slice(&header.unwrap_or_default());
}

fn is_passed_on(header: &Header<'_>) -> bool {
    header
        .tlvs()
        .any(|field| field.is_ok_and(|field| field.kind == PASSED_ON_TLV_TYPE))
}

fn endpoints(header: &Header<'_>) -> Result<Endpoints> {
    if header.protocol != Protocol::Datagram {
        return Err(ErrorKind::PrefixAddresses.into());
    }
    match header.addresses {
        Addresses::IPv4(ip) => Ok(Endpoints {
            caller: (ip.source_address, ip.source_port).into(),
            service: (ip.destination_address, ip.destination_port).into(),
        }),
        Addresses::IPv6(ip) => Ok(Endpoints {
            caller: (ip.source_address, ip.source_port).into(),
            service: (ip.destination_address, ip.destination_port).into(),
        }),
        _ => Err(ErrorKind::PrefixAddresses.into()),
    }
}
