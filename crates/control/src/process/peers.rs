//! The tasks that send consensus messages to the other members.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use client::HttpClient;
use consensus::{Envelope, Message, MessageBody};
use tokio::{sync::mpsc, task::JoinHandle};

use super::CONSENSUS_PATH;

/// Capacity of a member's message queue. Messages that do not fit are dropped;
/// the consensus retransmits them.
const MESSAGE_QUEUE_CAPACITY: usize = 1024;

/// Maximum number of messages in one HTTP request.
const MAX_BATCH_MESSAGES: usize = 64;

/// Timeout of a request with messages. It is shorter than an election timeout, so
/// that a partitioned member does not delay newer messages for long.
const MESSAGE_SEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout of a request with a snapshot. The consensus resends a snapshot before
/// this timeout; the copies are dropped while a transfer is in progress.
const SNAPSHOT_SEND_TIMEOUT: Duration = Duration::from_secs(30);

/// The send queues of one member.
struct Peer {
    messages: SendQueue,
    /// Snapshots have a queue of their own: they are large, and heartbeats
    /// queued behind one would arrive too late.
    snapshots: SendQueue,
}

/// A queue and the task that sends its messages.
struct SendQueue {
    tx: mpsc::Sender<Message>,
    task: JoinHandle<()>,
}

impl SendQueue {
    fn start(http: &HttpClient, address: SocketAddr, capacity: usize, timeout: Duration) -> Self {
        let (tx, rx) = mpsc::channel(capacity);
        let task = actix_rt::spawn(send_batches(http.clone(), address, rx, timeout));
        SendQueue { tx, task }
    }
}

impl Drop for SendQueue {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends messages to the other members, in separate tasks for each member.
pub struct Peers {
    http: HttpClient,
    peers: BTreeMap<SocketAddr, Peer>,
}

impl Peers {
    /// Creates the sender; the tasks of a member start with its first message.
    #[must_use]
    pub fn new(http: HttpClient) -> Self {
        Peers {
            http,
            peers: BTreeMap::new(),
        }
    }

    /// Queues a message for its member, or drops it if the queue is full.
    pub fn send(&mut self, envelope: Envelope) {
        let Envelope { address, message } = envelope;
        let peer = self.peers.entry(address).or_insert_with(|| Peer {
            messages: SendQueue::start(
                &self.http,
                address,
                MESSAGE_QUEUE_CAPACITY,
                MESSAGE_SEND_TIMEOUT,
            ),
            snapshots: SendQueue::start(&self.http, address, 1, SNAPSHOT_SEND_TIMEOUT),
        });
        let queue = match message.body {
            MessageBody::InstallSnapshot { .. } => &peer.snapshots,
            _ => &peer.messages,
        };
        let _ = queue.tx.try_send(message);
    }
}

/// Sends the messages of a queue in batches until the queue is closed.
async fn send_batches(
    http: HttpClient,
    address: SocketAddr,
    mut rx: mpsc::Receiver<Message>,
    timeout: Duration,
) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let deadline = Instant::now() + timeout;
        let sent: client::Result<()> = http.post(address, CONSENSUS_PATH, &batch, deadline).await;
        if let Err(e) = sent {
            log::debug!(event = "member_unreachable", member:% = address, error:% = e; "sending consensus messages failed; dropped the batch");
        }
        batch.clear();
    }
}
