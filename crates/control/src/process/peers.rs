//! The tasks that send consensus messages to the other members.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use client::HttpClient;
use consensus::{Envelope, Message, Transfer, TransferId};
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

/// Capacity of the queue of ended transfers; a member has one transfer at a time.
const ENDED_QUEUE_CAPACITY: usize = 64;

/// The send queues of one member.
struct Peer {
    messages: SendQueue<Message>,
    /// Transfers have a queue of their own: they are large, and heartbeats
    /// queued behind one would arrive too late.
    transfers: SendQueue<(Message, Transfer)>,
}

/// A queue and the task that sends its messages.
struct SendQueue<T> {
    tx: mpsc::Sender<T>,
    task: JoinHandle<()>,
}

impl<T> Drop for SendQueue<T> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Sends messages to the other members, in separate tasks for each member.
pub struct Peers {
    http: HttpClient,
    by_address: BTreeMap<SocketAddr, Peer>,
    ended_tx: mpsc::Sender<(TransferId, bool)>,
    ended: mpsc::Receiver<(TransferId, bool)>,
}

impl Peers {
    /// Creates the sender; the tasks of a member start with its first message.
    #[must_use]
    pub fn new(http: HttpClient) -> Self {
        let (ended_tx, ended) = mpsc::channel(ENDED_QUEUE_CAPACITY);
        Peers {
            http,
            by_address: BTreeMap::new(),
            ended_tx,
            ended,
        }
    }

    /// Waits for the end of a transfer, and returns whether it was delivered.
    pub async fn transfer_ended(&mut self) -> Option<(TransferId, bool)> {
        self.ended.recv().await
    }

    /// Queues a message for its member, or drops it if the queue is full.
    pub fn send(&mut self, envelope: Envelope) {
        let Envelope {
            address,
            message,
            transfer,
        } = envelope;
        let peer = self
            .by_address
            .entry(address)
            .or_insert_with(|| Peer::start(&self.http, address, &self.ended_tx));
        match transfer {
            None => drop(peer.messages.tx.try_send(message)),
            Some(transfer) => {
                if peer.transfers.tx.try_send((message, transfer)).is_err() {
                    // Without this report, the consensus waits for the deadline.
                    let _ = self.ended_tx.try_send((transfer.id, false));
                }
            }
        }
    }
}

impl Peer {
    fn start(
        http: &HttpClient,
        address: SocketAddr,
        ended: &mpsc::Sender<(TransferId, bool)>,
    ) -> Self {
        let (messages, messages_rx) = mpsc::channel(MESSAGE_QUEUE_CAPACITY);
        let (transfers, transfers_rx) = mpsc::channel(1);
        let send_batches = send_batches(http.clone(), address, messages_rx);
        let send_transfers = send_transfers(http.clone(), address, transfers_rx, ended.clone());
        Peer {
            messages: SendQueue {
                tx: messages,
                task: actix_rt::spawn(send_batches),
            },
            transfers: SendQueue {
                tx: transfers,
                task: actix_rt::spawn(send_transfers),
            },
        }
    }
}

/// Sends the messages of a queue in batches until the queue is closed.
async fn send_batches(http: HttpClient, address: SocketAddr, mut rx: mpsc::Receiver<Message>) {
    let mut batch = Vec::new();
    while rx.recv_many(&mut batch, MAX_BATCH_MESSAGES).await > 0 {
        let deadline = Instant::now() + MESSAGE_SEND_TIMEOUT;
        let sent: client::Result<()> = http.post(address, CONSENSUS_PATH, &batch, deadline).await;
        if let Err(e) = sent {
            log::debug!(event = "member_unreachable", member:% = address, error:% = e; "sending consensus messages failed; dropped the batch");
        }
        batch.clear();
    }
}

/// Sends transfers one after the other until the queue is closed, and reports their ends.
async fn send_transfers(
    http: HttpClient,
    address: SocketAddr,
    mut rx: mpsc::Receiver<(Message, Transfer)>,
    ended: mpsc::Sender<(TransferId, bool)>,
) {
    while let Some((message, transfer)) = rx.recv().await {
        let sent: client::Result<()> = http
            .post(address, CONSENSUS_PATH, &[message], transfer.deadline)
            .await;
        if let Err(e) = &sent {
            log::debug!(event = "transfer_failed", member:% = address, error:% = e; "cannot deliver a large message to a member");
        }
        // The receiver is only dropped when the process ends.
        let _ = ended.send((transfer.id, sent.is_ok())).await;
    }
}
