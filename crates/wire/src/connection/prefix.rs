//! The PROXY protocol v2 prefix of datagrams.

use std::net::SocketAddr;

use ppp::v2::{Addresses, Builder, Command, Header, Protocol, Version};

use crate::{Result, error::ErrorKind};

/// Longest prefix in bytes: the fixed part and a pair of IPv6 addresses.
pub const MAX_PREFIX_LEN: usize = 16 + 36;

/// Length of a prefix without addresses.
const LOCAL_LEN: usize = 16;

/// Caller and service of a datagram, in either direction.
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
        append(Command::Proxy, Protocol::Datagram, addresses, buf);
    }
}

/// Prefix of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prefix {
    /// A health probe between two processes of the system.
    Local,
    /// A datagram of a caller.
    Proxy(Endpoints),
}

impl Prefix {
    /// Splits a datagram into its prefix and its payload.
    ///
    /// # Errors
    ///
    /// The prefix is malformed or has no pair of UDP addresses.
    pub fn decode(datagram: &[u8]) -> Result<(Prefix, &[u8])> {
        let header = Header::try_from(datagram).map_err(ErrorKind::Prefix)?;
        let payload = &datagram[header.len()..];
        let prefix = match header.command {
            Command::Local => Prefix::Local,
            Command::Proxy => Prefix::Proxy(endpoints(&header)?),
        };
        Ok((prefix, payload))
    }

    /// The datagram that probes a process.
    #[must_use]
    pub fn probe() -> Vec<u8> {
        let mut buf = Vec::with_capacity(LOCAL_LEN);
        append(
            Command::Local,
            Protocol::Unspecified,
            Addresses::Unspecified,
            &mut buf,
        );
        buf
    }
}

fn append(command: Command, protocol: Protocol, addresses: Addresses, buf: &mut Vec<u8>) {
    let header = Builder::with_addresses(Version::Two | command, protocol, addresses).build();
    // A header without type-length-value fields always fits its length field.
    buf.extend_from_slice(&header.unwrap_or_default());
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
