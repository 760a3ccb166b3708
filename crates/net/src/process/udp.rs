//! UDP sockets with the lifetime of the process.

use std::{io, net::SocketAddr};

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::UdpSocket;

/// Size of the send and receive buffers of a socket. They hold bursts that arrive
/// while its task is busy.
const SOCKET_BUFFER_BYTES: usize = 4 << 20;

/// Binds a UDP socket with large buffers. Must be called within a Tokio runtime.
///
/// # Errors
///
/// The socket cannot be created, or the address cannot be bound.
pub fn bind_udp(address: SocketAddr) -> io::Result<UdpSocket> {
    let domain = Domain::for_address(address);
    let socket = Socket::new(domain, Type::DGRAM, Some(Protocol::UDP))?;
    // The kernel may grant less than requested.
    let _ = socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES);
    let _ = socket.set_send_buffer_size(SOCKET_BUFFER_BYTES);
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    UdpSocket::from_std(socket.into())
}
