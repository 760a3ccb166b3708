//! The socket interface of the QUIC endpoint.
//!
//! Datagrams are exchanged with the datagram task, which owns the UDP socket,
//! through channels. quinn's interface takes the socket as a trait object behind
//! an `Arc`.

use std::{
    io::{self, IoSliceMut},
    net::{Ipv4Addr, SocketAddr},
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use quinn::{AsyncUdpSocket, UdpPoller, udp};
use tokio::sync::mpsc;

/// A QUIC packet from or to a caller.
#[derive(Debug, Clone)]
pub struct CallerPacket {
    /// Address of the caller.
    pub caller: SocketAddr,
    /// The QUIC packet.
    pub payload: Bytes,
}

/// Socket of the QUIC endpoint, backed by two channels.
#[derive(Debug)]
pub struct EndpointSocket {
    /// Locked only by the endpoint's own task; quinn's trait takes `&self`.
    rx: Mutex<mpsc::Receiver<CallerPacket>>,
    tx: mpsc::Sender<CallerPacket>,
}

impl EndpointSocket {
    /// Creates the socket from the endpoint's ends of the channels.
    #[must_use]
    pub fn new(rx: mpsc::Receiver<CallerPacket>, tx: mpsc::Sender<CallerPacket>) -> Self {
        EndpointSocket {
            rx: Mutex::new(rx),
            tx,
        }
    }
}

impl AsyncUdpSocket for EndpointSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(AlwaysWritable)
    }

    /// Queues a datagram. If the channel is full it is lost, as with a full
    /// socket buffer, and QUIC's congestion control slows down.
    fn try_send(&self, transmit: &udp::Transmit<'_>) -> io::Result<()> {
        let _ = self.tx.try_send(CallerPacket {
            caller: transmit.destination,
            payload: Bytes::copy_from_slice(transmit.contents),
        });
        Ok(())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [udp::RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut rx = self.rx.lock().unwrap_or_else(PoisonError::into_inner);
        let packet = ready!(rx.poll_recv(cx)).ok_or(io::ErrorKind::BrokenPipe)?;
        let len = packet.payload.len().min(bufs[0].len());
        bufs[0][..len].copy_from_slice(&packet.payload[..len]);
        meta[0] = udp::RecvMeta {
            addr: packet.caller,
            len,
            stride: len,
            ecn: None,
            dst_ip: None,
        };
        Poll::Ready(Ok(1))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok((Ipv4Addr::UNSPECIFIED, 0).into())
    }
}

#[derive(Debug)]
struct AlwaysWritable;

impl UdpPoller for AlwaysWritable {
    fn poll_writable(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
