//! Sockets that live as long as the process.

use std::{io, net::SocketAddr};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Buffer of each socket in bytes, for bursts while its task is busy.
const SOCKET_BUFFER: usize = 4 << 20;

/// Opens a UDP socket with large buffers. Must be called within a runtime.
///
/// # Errors
///
/// The address cannot be bound.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant less than asked for.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
