//! A fabric that hands each datagram to a random balancer.

use std::{
    collections::BTreeSet,
    net::{Ipv4Addr, SocketAddr},
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::{net::UdpSocket, sync::mpsc};
use wire::{Endpoints, Prefix};

use crate::{Error, Result};

/// Room for the largest UDP payload and a prefix.
const BUFFER: usize = (64 << 10) + wire::MAX_PREFIX_LEN;

/// Commands that may wait for the task.
const COMMANDS: usize = 16;

#[derive(Debug)]
enum Command {
    Balancers(BTreeSet<SocketAddr>),
    Loss(f64),
}

/// Steers the fabric's task. The task ends with its last handle.
#[derive(Debug, Clone)]
pub struct FabricHandle {
    tx: mpsc::Sender<Command>,
    /// Address that callers send to.
    pub service: SocketAddr,
}

impl FabricHandle {
    /// Replaces the balancers that datagrams are handed to.
    pub async fn set_balancers(&self, balancers: BTreeSet<SocketAddr>) {
        let _ = self.tx.send(Command::Balancers(balancers)).await;
    }

    /// Drops this share of the datagrams in either direction.
    pub async fn set_loss(&self, loss: f64) {
        let _ = self.tx.send(Command::Loss(loss)).await;
    }
}

/// A fabric that hands each datagram to a random balancer.
#[derive(Debug)]
pub struct Fabric {
    /// Socket at the address of the service.
    callers: UdpSocket,
    service: SocketAddr,
    /// Socket towards the balancers.
    balancers_socket: UdpSocket,
    balancers: Vec<SocketAddr>,
    loss: f64,
    rng: StdRng,
    commands: mpsc::Receiver<Command>,
}

impl Fabric {
    /// Opens the fabric in front of `service`; its task is [`Fabric::run`].
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub async fn open(service: SocketAddr, seed: u64) -> Result<(Fabric, FabricHandle)> {
        let bind = |address: SocketAddr| async move {
            let socket = UdpSocket::bind(address).await;
            socket.map_err(|e| Error::Bind(address, e))
        };
        let callers = bind(service).await?;
        let service = callers.local_addr().map_err(|e| Error::Bind(service, e))?;
        let balancers_socket = bind((Ipv4Addr::LOCALHOST, 0).into()).await?;
        let (tx, commands) = mpsc::channel(COMMANDS);
        let fabric = Fabric {
            callers,
            service,
            balancers_socket,
            balancers: Vec::new(),
            loss: 0.0,
            rng: StdRng::seed_from_u64(seed),
            commands,
        };
        Ok((fabric, FabricHandle { tx, service }))
    }

    /// Hands datagrams on until the last handle is gone.
    pub async fn run(mut self) {
        let mut from_callers = vec![0; BUFFER];
        let mut from_balancers = vec![0; BUFFER];
        loop {
            tokio::select! {
                command = self.commands.recv() => match command {
                    Some(Command::Balancers(set)) => self.balancers = set.into_iter().collect(),
                    Some(Command::Loss(loss)) => self.loss = loss,
                    None => return,
                },
                Ok((len, caller)) = self.callers.recv_from(&mut from_callers) => {
                    self.hand_in(caller, &from_callers[..len]).await;
                }
                Ok((len, _)) = self.balancers_socket.recv_from(&mut from_balancers) => {
                    self.hand_out(&from_balancers[..len]).await;
                }
            }
        }
    }

    async fn hand_in(&mut self, caller: SocketAddr, packet: &[u8]) {
        if self.balancers.is_empty() || self.is_lost() {
            return;
        }
        let balancer = self.balancers[self.rng.random_range(0..self.balancers.len())];
        let mut datagram = Vec::with_capacity(wire::MAX_PREFIX_LEN + packet.len());
        let service = self.service;
        Endpoints { caller, service }.encode(&mut datagram);
        datagram.extend_from_slice(packet);
        // A balancer that is gone loses the datagram, as in a real fabric.
        let _ = self.balancers_socket.send_to(&datagram, balancer).await;
    }

    async fn hand_out(&mut self, datagram: &[u8]) {
        let Ok((Prefix::Proxy(endpoints), packet)) = Prefix::decode(datagram) else {
            return;
        };
        if endpoints.service == self.service && !self.is_lost() {
            // A caller that is gone loses the datagram.
            let _ = self.callers.send_to(packet, endpoints.caller).await;
        }
    }

    fn is_lost(&mut self) -> bool {
        self.loss > 0.0 && self.rng.random_bool(self.loss)
    }
}
