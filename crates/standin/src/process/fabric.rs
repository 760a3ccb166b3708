//! A network fabric that sends each datagram to a random balancer.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{net::UdpSocket, sync::mpsc};
use wire::{Endpoints, Prefix};

use crate::{Error, Result};

/// Size of a receive buffer: the largest UDP payload and a prefix.
const BUFFER_BYTES: usize = (64 << 10) + wire::MAX_PREFIX_LEN;

/// Capacity of the command channel.
const MAX_QUEUED_COMMANDS: usize = 16;

#[derive(Debug)]
enum Command {
    SetBalancers(BTreeSet<SocketAddr>),
    SetLossRate(f64),
}

/// Sends commands to the task of a [`Fabric`]. The task ends when the last handle
/// is dropped.
#[derive(Debug, Clone)]
pub struct FabricHandle {
    tx: mpsc::Sender<Command>,
    /// Address of the service, to which callers send.
    pub service: SocketAddr,
}

impl FabricHandle {
    /// Replaces the set of balancers that get datagrams.
    pub async fn set_balancers(&self, balancers: BTreeSet<SocketAddr>) {
        let _ = self.tx.send(Command::SetBalancers(balancers)).await;
    }

    /// Sets the fraction of datagrams that are dropped in each direction, from 0
    /// to 1.
    pub async fn set_loss_rate(&self, loss_rate: f64) {
        let _ = self.tx.send(Command::SetLossRate(loss_rate)).await;
    }
}

/// A network fabric that sends each datagram to a random balancer.
#[derive(Debug)]
pub struct Fabric {
    /// Bound to the address of the service; exchanges packets with callers.
    callers_socket: UdpSocket,
    service: SocketAddr,
    /// Exchanges prefixed datagrams with the balancers.
    balancers_socket: UdpSocket,
    balancers: Vec<SocketAddr>,
    loss_rate: f64,
    rng: StdRng,
    commands: mpsc::Receiver<Command>,
}

impl Fabric {
    /// Opens the sockets of a fabric for `service`. [`Fabric::run`] must then be
    /// spawned as a task. `seed` determines the choice of balancers and the
    /// dropped datagrams.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn open(service: SocketAddr, seed: u64) -> Result<(Fabric, FabricHandle)> {
        let bind = |address: SocketAddr| async move {
            let socket = UdpSocket::bind(address).await;
            socket.map_err(|e| Error::Bind(address, e))
        };
        let callers_socket = bind(service).await?;
        let service = callers_socket
            .local_addr()
            .map_err(|e| Error::Bind(service, e))?;
        let balancers_socket = bind((Ipv4Addr::LOCALHOST, 0).into()).await?;
        let (tx, commands) = mpsc::channel(MAX_QUEUED_COMMANDS);
        let fabric = Fabric {
            callers_socket,
            service,
            balancers_socket,
            balancers: Vec::new(),
            loss_rate: 0.0,
            rng: StdRng::seed_from_u64(seed),
            commands,
        };
        Ok((fabric, FabricHandle { tx, service }))
    }

    /// Forwards datagrams until the last handle is dropped.
    pub async fn run(mut self) {
        let mut from_callers = vec![0; BUFFER_BYTES];
        let mut from_balancers = vec![0; BUFFER_BYTES];
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(Command::SetBalancers(set)) => self.balancers = set.into_iter().collect(),
                    Some(Command::SetLossRate(loss_rate)) => self.loss_rate = loss_rate,
                    None => return,
                },
                Ok((len, caller)) = self.callers_socket.recv_from(&mut from_callers) => {
                    self.forward_to_balancer(caller, &from_callers[..len]).await;
                }
                Ok((len, _)) = self.balancers_socket.recv_from(&mut from_balancers) => {
                    self.forward_to_caller(&from_balancers[..len]).await;
                }
            }
        }
    }

    async fn forward_to_balancer(&mut self, caller: SocketAddr, packet: &[u8]) {
        if self.balancers.is_empty() || self.draw_loss() {
            return;
        }
        let balancer = self.balancers[self.rng.random_range(0..self.balancers.len())];
        let mut datagram = Vec::with_capacity(wire::MAX_PREFIX_LEN + packet.len());
        let service = self.service;
        Endpoints { caller, service }.encode(&mut datagram);
        datagram.extend_from_slice(packet);
        // The datagram is lost if the balancer is down, as in a real fabric.
        let _ = self.balancers_socket.send_to(&datagram, balancer).await;
    }

    async fn forward_to_caller(&mut self, datagram: &[u8]) {
        let Ok((Prefix::Proxy(endpoints), packet)) = Prefix::decode(datagram) else {
            return;
        };
        if endpoints.service == self.service && !self.draw_loss() {
            // The datagram is lost if the caller has closed its socket.
            let _ = self.callers_socket.send_to(packet, endpoints.caller).await;
        }
    }

    fn draw_loss(&mut self) -> bool {
        self.loss_rate > 0.0 && self.rng.random_bool(self.loss_rate)
    }
}
