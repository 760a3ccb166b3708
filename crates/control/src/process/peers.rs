//! The tasks that send messages to the other members.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use client::HttpClient;
use consensus::{Envelope, Message, MessageBody};
use tokio::{sync::mpsc, task::JoinHandle};

use super::CONSENSUS_PATH;

/// Messages that may wait for a member. The consensus repeats what is lost.
const QUEUE: usize = 1024;

/// Messages in one request.
const BATCH: usize = 64;

/// Time for a member to take messages. Below an election timeout, so that a
/// member that is cut off does not hold back newer messages for long.
const SEND: Duration = Duration::from_millis(300);

/// Time for a member to take a snapshot. The consensus sends a snapshot again
/// before that; the copies are dropped while one is under way.
const SEND_SNAPSHOT: Duration = Duration::from_secs(30);

/// The way to one member.
struct Peer {
    messages: Lane,
    /// Snapshots are large: they go beside the heartbeats, which would come
    /// too late behind one.
    snapshots: Lane,
}

/// A queue and the task that empties it.
struct Lane {
    tx: mpsc::Sender<Message>,
    task: JoinHandle<()>,
}

impl Lane {
    fn start(http: &HttpClient, address: SocketAddr, queue: usize, limit: Duration) -> Self {
        let (tx, rx) = mpsc::channel(queue);
        let task = actix_rt::spawn(deliver(http.clone(), address, rx, limit));
        Lane { tx, task }
    }
}

impl Drop for Lane {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends messages to the other members, each in a task of its own.
pub struct Peers {
    http: HttpClient,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Creates the sender.
    #[must_use]
    pub fn new(http: HttpClient) -> Self {
        Peers {
            http,
            peers: BTreeMap::new(),
        }
    }

    /// Sends a message, or drops it when the member does not keep up.
    pub fn send(&mut self, envelope: Envelope) {
        let Envelope { address, message } = envelope;
        let peer = self.peers.entry(address).or_insert_with(|| Peer {
            messages: Lane::start(&self.http, address, QUEUE, SEND),
            snapshots: Lane::start(&self.http, address, 1, SEND_SNAPSHOT),
        });
        let lane = match message.body {
            MessageBody::InstallSnapshot { .. } => &peer.snapshots,
            _ => &peer.messages,
        };
        let _ = lane.tx.try_send(message);
    }
}

async fn deliver(
    http: HttpClient,
    address: SocketAddr,
    mut rx: mpsc::Receiver<Message>,
    limit: Duration,
) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, BATCH).await > 0 {
        let deadline = Instant::now() + limit;
        let sent: client::Result<()> = http.post(address, CONSENSUS_PATH, &batch, deadline).await;
        if let Err(e) = sent {
            log::debug!(event = "member_unreachable", member:% = address, error:% = e; "messages lost");
        }
        batch.clear();
    }
}
