//! Sockets on the caller side.

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

/// The lowest socket address, which no service uses.
const LOWEST_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Binds a UDP socket with large buffers.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind(address: SocketAddr) -> Result<UdpSocket> {
    net::bind_udp(address).map_err(|e| Error::Bind(address, e))
}

/// Datagram received on the caller side.
#[derive(Debug)]
pub enum IngressDatagram<'a> {
    /// A datagram of a caller, including its prefix.
    Packet {
        /// Sender of the UDP datagram: the fabric or the caller.
        from: SocketAddr,
        /// Addresses of the caller and the service.
        endpoints: Endpoints,
        /// Prefix and packet, as they are sent to an agent.
        datagram: &'a [u8],
        /// The packet without the prefix.
        packet: &'a [u8],
    },
    /// A health probe of the fabric.
    Probe {
        /// Sender of the probe.
        from: SocketAddr,
        /// The probe, which is echoed.
        datagram: &'a [u8],
    },
}

/// Source of datagrams of callers, through which answers are sent.
pub trait Ingress {
    /// Receives one datagram into `buf`.
    ///
    /// # Errors
    ///
    /// The outer error is that of the receive call; the inner result is an error
    /// if the datagram cannot be decoded.
    fn poll_recv<'a>(
        &mut self,
        cx: &mut Context<'_>,
        buf: &'a mut [u8],
    ) -> Poll<io::Result<wire::Result<IngressDatagram<'a>>>>;

    /// Records that a datagram received from `from` was forwarded.
    fn record_forwarded(&mut self, from: SocketAddr);

    /// Sends an answer to the caller; `datagram` is the prefix and `packet`.
    ///
    /// # Errors
    ///
    /// The send call failed, or there is no socket for the service.
    fn try_send_answer(
        &mut self,
        endpoints: &Endpoints,
        datagram: &[u8],
        packet: &[u8],
    ) -> io::Result<()>;

    /// Echoes a probe of the fabric.
    ///
    /// # Errors
    ///
    /// The send call failed.
    fn try_echo_probe(&mut self, from: SocketAddr, datagram: &[u8]) -> io::Result<()>;

    /// Whether answers can be sent to callers.
    fn can_send_answers(&self) -> bool;

    /// Opens and closes sockets to match the addresses of the services.
    fn set_service_addresses(&mut self, addresses: BTreeSet<SocketAddr>);

    /// Retries to bind the addresses that could not be bound.
    fn retry_bind(&mut self);
}

/// Ingress with one socket, for a fabric that encapsulates datagrams.
///
/// Every sender to the socket is treated as the fabric, so the socket must be
/// reachable from the fabric only. Answers are sent to the sender of the last
/// forwarded datagram; all senders must belong to one fabric, in which each
/// accepts answers to any caller.
#[derive(Debug)]
pub struct FabricIngress {
    socket: UdpSocket,
    /// Sender of the last forwarded datagram, to which answers are sent.
    last_fabric_sender: Option<SocketAddr>,
}

impl FabricIngress {
    /// Binds the socket to `address`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn open(address: SocketAddr) -> Result<Self> {
        let socket = bind(address)?;
        Ok(FabricIngress {
            socket,
            last_fabric_sender: None,
        })
    }

    /// Address of the socket.
    ///
    /// # Errors
    ///
    /// The address of the socket cannot be read.
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
        self.last_fabric_sender = Some(from);
    }

    fn try_send_answer(&mut self, _: &Endpoints, datagram: &[u8], _: &[u8]) -> io::Result<()> {
        let fabric = self.last_fabric_sender.ok_or(io::ErrorKind::NotConnected)?;
        self.socket.try_send_to(datagram, fabric).map(drop)
    }

    fn try_echo_probe(&mut self, from: SocketAddr, datagram: &[u8]) -> io::Result<()> {
        self.socket.try_send_to(datagram, from).map(drop)
    }

    fn can_send_answers(&self) -> bool {
        self.last_fabric_sender.is_some()
    }

    fn set_service_addresses(&mut self, _: BTreeSet<SocketAddr>) {}

    fn retry_bind(&mut self) {}
}

/// Ingress with one socket for each service address.
#[derive(Debug, Default)]
pub struct DirectIngress {
    /// IP address whose services are opened; `None` opens all services.
    bind_ip: Option<IpAddr>,
    sockets: BTreeMap<SocketAddr, UdpSocket>,
    /// Service addresses that are not bound yet.
    unbound: BTreeSet<SocketAddr>,
    /// Addresses in `unbound` whose bind failure was logged.
    logged_failures: BTreeSet<SocketAddr>,
    /// Address whose socket was read last; polling resumes after it, so that a
    /// busy service cannot starve the others.
    last_polled: Option<SocketAddr>,
    /// Buffer for the encoded prefix of the datagram that is being received.
    prefix_buf: Vec<u8>,
}

impl DirectIngress {
    /// Creates an ingress without sockets. It opens the services at `bind_ip`, or
    /// all services if it is `None`.
    #[must_use]
    pub fn new(bind_ip: Option<IpAddr>) -> Self {
        DirectIngress {
            bind_ip,
            ..DirectIngress::default()
        }
    }

    /// Polls the sockets in round-robin order, starting after the one read last.
    fn poll_round_robin(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<(Endpoints, usize)>> {
        let last = self.last_polled.unwrap_or(LOWEST_ADDRESS);
        let after = (Bound::Excluded(last), Bound::Unbounded);
        let before = (Bound::Unbounded, Bound::Included(last));
        let round_robin = self
            .sockets
            .range::<SocketAddr, _>(after)
            .chain(self.sockets.range::<SocketAddr, _>(before));
        for (&service, socket) in round_robin {
            let mut read = ReadBuf::new(buf);
            if let Poll::Ready(result) = socket.poll_recv_from(cx, &mut read) {
                self.last_polled = Some(service);
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
        // The packet is received at an offset of the longest prefix, so that the
        // prefix can be written in front of it without moving the packet.
        let (endpoints, len) = ready!(self.poll_round_robin(cx, &mut buf[wire::MAX_PREFIX_LEN..]))?;
        self.prefix_buf.clear();
        endpoints.encode(&mut self.prefix_buf);
        let packet_start = wire::MAX_PREFIX_LEN;
        let start = packet_start - self.prefix_buf.len();
        let end = packet_start + len;
        buf[start..packet_start].copy_from_slice(&self.prefix_buf);
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

    /// Always fails: callers send no probes.
    fn try_echo_probe(&mut self, _: SocketAddr, _: &[u8]) -> io::Result<()> {
        Err(io::ErrorKind::Unsupported.into())
    }

    fn can_send_answers(&self) -> bool {
        !self.sockets.is_empty()
    }

    fn set_service_addresses(&mut self, mut addresses: BTreeSet<SocketAddr>) {
        addresses.retain(|address| self.bind_ip.is_none_or(|ip| ip == address.ip()));
        self.sockets
            .retain(|address, _| addresses.contains(address));
        addresses.retain(|address| !self.sockets.contains_key(address));
        self.logged_failures
            .retain(|address| addresses.contains(address));
        self.unbound = addresses;
        self.retry_bind();
    }

    fn retry_bind(&mut self) {
        for address in std::mem::take(&mut self.unbound) {
            match bind(address) {
                Ok(socket) => {
                    log::info!(event = "service_opened", address:% = address; "service address bound");
                    self.sockets.insert(address, socket);
                    self.logged_failures.remove(&address);
                }
                Err(e) => {
                    self.unbound.insert(address);
                    if self.logged_failures.insert(address) {
                        log::error!(event = "service_not_opened", address:% = address, error:% = e; "failed to bind the service address; retrying");
                    }
                }
            }
        }
    }
}
