//! Sockets towards the callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::Bound,
    task::{Context, Poll, ready},
};

use tokio::{io::ReadBuf, net::UdpSocket};
use wire::{Endpoints, Prefix};

use crate::{Error, Result};

/// The least address, which no service has.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Opens a UDP socket with large buffers.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<UdpSocket> {
    net::bind_udp(address).map_err(|e| Error::Bind(address, e))
}

/// What came from the side of the callers.
#[derive(Debug)]
pub enum IngressDatagram<'a> {
    /// A datagram of a caller, already with its prefix.
    Packet {
        /// Who handed it over: the fabric or the caller.
        from: SocketAddr,
        /// Caller and service.
        endpoints: Endpoints,
        /// Prefix and packet, as they are sent to an agent.
        datagram: &'a [u8],
        /// The packet alone.
        packet: &'a [u8],
    },
    /// A probe of the fabric.
    Probe {
        /// Who asks.
        from: SocketAddr,
        /// The probe, to be sent back.
        datagram: &'a [u8],
    },
}

/// Where datagrams of callers come from and answers go to.
pub trait Ingress {
    /// Receives one datagram into `buf`.
    ///
    /// # Errors
    ///
    /// The inner result is an error if the datagram cannot be read.
    fn poll_recv<'a>(
        &mut self,
        cx: &mut Context<'_>,
        buf: &'a mut [u8],
    ) -> Poll<io::Result<wire::Result<IngressDatagram<'a>>>>;

    /// Notes that a datagram handed over by `from` was forwarded.
    fn record_forwarded(&mut self, from: SocketAddr);

    /// Sends the answer in `datagram`, which has its prefix, to the caller.
    ///
    /// # Errors
    ///
    /// The socket does not take it, or there is no socket for the service.
    fn try_send_answer(
        &mut self,
        endpoints: &Endpoints,
        datagram: &[u8],
        packet: &[u8],
    ) -> io::Result<()>;

    /// Sends a probe of the fabric back.
    ///
    /// # Errors
    ///
    /// The socket does not take it.
    fn try_echo_probe(&mut self, from: SocketAddr, datagram: &[u8]) -> io::Result<()>;

    /// Whether answers can leave.
    fn can_send_answers(&self) -> bool;

    /// Opens and closes sockets so that they match the addresses of the
    /// services.
    fn set_service_addresses(&mut self, addresses: BTreeSet<SocketAddr>);

    /// Tries again to open what could not be opened.
    fn retry(&mut self);
}

/// One socket towards a fabric that encapsulates.
///
/// Whoever can send to it is taken for the fabric, so it must be reachable from
/// the fabric only. Answers go to the sender of the last datagram that was
/// forwarded; all senders must belong to one fabric, each of which takes any
/// answer.
#[derive(Debug)]
pub struct FabricIngress {
    socket: UdpSocket,
    /// Who handed over the last datagram that was forwarded; answers go there.
    fabric: Option<SocketAddr>,
}

impl FabricIngress {
    /// Opens the socket.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(address: SocketAddr) -> Result<Self> {
        let socket = bind(address)?;
        Ok(FabricIngress {
            socket,
            fabric: None,
        })
    }

    /// Address of the socket.
    ///
    /// # Errors
    ///
    /// The socket has none.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }
}

impl Ingress for FabricIngress {
    fn poll_recv<'a>(
        &mut self,
        cx: &mut Context<'_>,
        buf: &'a mut [u8],
    ) -> Poll<io::Result<wire::Result<IngressDatagram<'a>>>> {
        let mut read = ReadBuf::new(buf);
        let from = ready!(self.socket.poll_recv_from(cx, &mut read))?;
        let len = read.filled().len();
        let datagram = &buf[..len];
        Poll::Ready(Ok(match Prefix::decode(datagram) {
            Ok((Prefix::Proxy(endpoints), packet)) => Ok(IngressDatagram::Packet {
                from,
                endpoints,
                datagram,
                packet,
            }),
            Ok((Prefix::Local, _)) => Ok(IngressDatagram::Probe { from, datagram }),
            Ok((Prefix::PassedOn(_), _)) => Err(wire::Error::unexpected_prefix()),
            Err(e) => Err(e),
        }))
    }

    fn record_forwarded(&mut self, from: SocketAddr) {
        self.fabric = Some(from);
    }

    fn try_send_answer(&mut self, _: &Endpoints, datagram: &[u8], _: &[u8]) -> io::Result<()> {
        let fabric = self.fabric.ok_or(io::ErrorKind::NotConnected)?;
        self.socket.try_send_to(datagram, fabric).map(drop)
    }

    fn try_echo_probe(&mut self, from: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        self.socket.try_send_to(datagram, from).map(drop)
    }

    fn can_send_answers(&self) -> bool {
        self.fabric.is_some()
    }

    fn set_service_addresses(&mut self, _: BTreeSet<SocketAddr>) {}

    fn retry(&mut self) {}
}

/// One socket for each service address.
#[derive(Debug, Default)]
pub struct DirectIngress {
    /// Opens only services at this address; all if unset.
    only: Option<IpAddr>,
    sockets: BTreeMap<SocketAddr, UdpSocket>,
    /// Addresses that could not be opened yet.
    missing: BTreeSet<SocketAddr>,
    /// Those of `missing` whose failure was logged.
    logged: BTreeSet<SocketAddr>,
    /// Address polled last, so that a busy service cannot starve the others.
    last: Option<SocketAddr>,
    /// Prefix of the datagram that is being received.
    prefix: Vec<u8>,
}

impl DirectIngress {
    /// Opens services at `only`, or all if it is unset.
    #[must_use]
    pub fn new(only: Option<IpAddr>) -> Self {
        DirectIngress {
            only,
            ..DirectIngress::default()
        }
    }

    /// Polls the sockets in turn, beginning after the one polled last.
    fn poll_any(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<(Endpoints, usize)>> {
        let last = self.last.unwrap_or(NO_ADDRESS);
        let after = (Bound::Excluded(last), Bound::Unbounded);
        let before = (Bound::Unbounded, Bound::Included(last));
        let in_turn = self
            .sockets
            .range::<SocketAddr, _>(after)
            .chain(self.sockets.range::<SocketAddr, _>(before));
        for (&service, socket) in in_turn {
            let mut read = ReadBuf::new(buf);
            if let Poll::Ready(result) = socket.poll_recv_from(cx, &mut read) {
                self.last = Some(service);
                let caller = result?;
                return Poll::Ready(Ok((Endpoints { caller, service }, read.filled().len())));
            }
        }
        Poll::Pending
    }
}

impl Ingress for DirectIngress {
    fn poll_recv<'a>(
        &mut self,
        cx: &mut Context<'_>,
        buf: &'a mut [u8],
    ) -> Poll<io::Result<wire::Result<IngressDatagram<'a>>>> {
        // The packet is received behind the place of the longest prefix, so
        // that the prefix can be put in front without moving the packet.
        let (endpoints, len) = ready!(self.poll_any(cx, &mut buf[wire::MAX_PREFIX_LEN..]))?;
        self.prefix.clear();
        endpoints.encode(&mut self.prefix);
        let packet_start = wire::MAX_PREFIX_LEN;
        let start = packet_start - self.prefix.len();
        let end = packet_start + len;
        buf[start..packet_start].copy_from_slice(&self.prefix);
        Poll::Ready(Ok(Ok(IngressDatagram::Packet {
            from: endpoints.caller,
            endpoints,
            datagram: &buf[start..end],
            packet: &buf[packet_start..end],
        })))
    }

    fn record_forwarded(&mut self, _: SocketAddr) {}

    fn try_send_answer(
        &mut self,
        endpoints: &Endpoints,
        _: &[u8],
        packet: &[u8],
    ) -> io::Result<()> {
        let socket = self
            .sockets
            .get(&endpoints.service)
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        socket.try_send_to(packet, endpoints.caller).map(drop)
    }

    /// Callers send no probes.
    fn try_echo_probe(&mut self, _: SocketAddr, _: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn can_send_answers(&self) -> bool {
        !self.sockets.is_empty()
    }

    fn set_service_addresses(&mut self, mut addresses: BTreeSet<SocketAddr>) {
        addresses.retain(|address| self.only.is_none_or(|ip| ip == address.ip()));
        self.sockets
            .retain(|address, _| addresses.contains(address));
        addresses.retain(|address| !self.sockets.contains_key(address));
        self.logged.retain(|address| addresses.contains(address));
        self.missing = addresses;
        self.retry();
    }

    fn retry(&mut self) {
        for address in std::mem::take(&mut self.missing) {
            match bind(address) {
                Ok(socket) => {
                    log::info!(event = "service_opened", address:% = address; "service address opened");
                    self.sockets.insert(address, socket);
                    self.logged.remove(&address);
                }
                Err(e) => {
                    self.missing.insert(address);
                    if self.logged.insert(address) {
                        log::error!(event = "service_not_opened", address:% = address, error:% = e; "service address cannot be opened; trying again");
                    }
                }
            }
        }
    }
}
