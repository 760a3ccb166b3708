//! Sockets towards the callers.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, SocketAddr},
    task::{Context, Poll, ready},
};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::{io::ReadBuf, net::UdpSocket};
use types::ServiceId;
use wire::{Endpoints, Prefix};

use crate::{Error, Result};

/// Buffer of each socket in bytes, for bursts while the task is busy.
const SOCKET_BUFFER: usize = 4 << 20;

/// Opens a UDP socket with large buffers.
pub(crate) fn bind(address: SocketAddr) -> Result<UdpSocket> {
    open(address).map_err(|e| Error::Bind(address, e))
}

fn open(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    // The kernel may grant less than asked for.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}

/// A datagram of a caller, already with its prefix.
#[derive(Debug)]
pub struct Received<'a> {
    /// Caller and service.
    pub endpoints: Endpoints,
    /// Prefix and packet, as they are sent to an agent.
    pub datagram: &'a [u8],
    /// The packet alone.
    pub packet: &'a [u8],
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
    ) -> Poll<io::Result<wire::Result<Received<'a>>>>;

    /// Sends the answer in `datagram`, which has its prefix, to the caller.
    ///
    /// # Errors
    ///
    /// The socket does not take it, or there is no socket for the service.
    fn try_send(&mut self, endpoints: &Endpoints, datagram: &[u8], packet: &[u8])
    -> io::Result<()>;

    /// Opens and closes sockets so that they match the services.
    fn set_services(&mut self, services: &BTreeMap<ServiceId, SocketAddr>);
}

/// One socket towards a fabric that encapsulates.
#[derive(Debug)]
pub struct FabricIngress {
    socket: UdpSocket,
    /// Where the last datagram came from; answers go there.
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
}

impl Ingress for FabricIngress {
    fn poll_recv<'a>(
        &mut self,
        cx: &mut Context<'_>,
        buf: &'a mut [u8],
    ) -> Poll<io::Result<wire::Result<Received<'a>>>> {
        let mut read = ReadBuf::new(buf);
        let from = ready!(self.socket.poll_recv_from(cx, &mut read))?;
        let len = read.filled().len();
        let datagram = &buf[..len];
        Poll::Ready(Ok(match Prefix::decode(datagram) {
            Ok((Prefix::Proxy(endpoints), packet)) => {
                self.fabric = Some(from);
                Ok(Received {
                    endpoints,
                    datagram,
                    packet,
                })
            }
            Ok(_) => Err(wire::Error::unexpected_prefix()),
            Err(e) => Err(e),
        }))
    }

    fn try_send(&mut self, _: &Endpoints, datagram: &[u8], _: &[u8]) -> io::Result<()> {
        let fabric = self.fabric.ok_or(io::ErrorKind::NotConnected)?;
        self.socket.try_send_to(datagram, fabric).map(drop)
    }

    fn set_services(&mut self, _: &BTreeMap<ServiceId, SocketAddr>) {}
}

/// One socket for each service address.
#[derive(Debug, Default)]
pub struct DirectIngress {
    sockets: BTreeMap<SocketAddr, UdpSocket>,
    /// Address polled last, so that a busy service cannot starve the others.
    last: Option<SocketAddr>,
    /// Prefix of the datagram that is being received.
    prefix: Vec<u8>,
}

impl DirectIngress {
    fn open_missing(&mut self, address: SocketAddr) {
        if self.sockets.contains_key(&address) {
            return;
        }
        match bind(address) {
            Ok(socket) => {
                log::info!(event = "service_opened", address:% = address; "service address opened");
                self.sockets.insert(address, socket);
            }
            Err(e) => {
                log::error!(event = "service_not_opened", address:% = address, error:% = e; "service address cannot be opened");
            }
        }
    }

    /// Polls the sockets in turn, beginning after the one polled last.
    fn poll_any(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<(Endpoints, usize)>> {
        let last = self.last.unwrap_or((IpAddr::from([0, 0, 0, 0]), 0).into());
        let (before, after): (Vec<_>, Vec<_>) = self
            .sockets
            .iter()
            .partition(|(address, _)| **address <= last);
        for (&service, socket) in after.into_iter().chain(before) {
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
    ) -> Poll<io::Result<wire::Result<Received<'a>>>> {
        // The packet is received behind the place of the longest prefix, so
        // that the prefix can be put in front without moving the packet.
        let (endpoints, len) = ready!(self.poll_any(cx, &mut buf[wire::MAX_PREFIX_LEN..]))?;
        self.prefix.clear();
        endpoints.encode(&mut self.prefix);
        let packet_start = wire::MAX_PREFIX_LEN;
        let start = packet_start - self.prefix.len();
        let end = packet_start + len;
        buf[start..packet_start].copy_from_slice(&self.prefix);
        Poll::Ready(Ok(Ok(Received {
            endpoints,
            datagram: &buf[start..end],
            packet: &buf[packet_start..end],
        })))
    }

    fn try_send(&mut self, endpoints: &Endpoints, _: &[u8], packet: &[u8]) -> io::Result<()> {
        let socket = self
            .sockets
            .get(&endpoints.service)
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        socket.try_send_to(packet, endpoints.caller).map(drop)
    }

    fn set_services(&mut self, services: &BTreeMap<ServiceId, SocketAddr>) {
        self.sockets
            .retain(|address, _| services.values().any(|wanted| wanted == address));
        for &address in services.values() {
            self.open_missing(address);
        }
    }
}
