//! Transport of messages between members.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use actix_rt::spawn;
use bytes::Bytes;
use consensus::Envelope;
use http::Method;
use tokio::{
    net::UdpSocket,
    sync::{Semaphore, mpsc},
};

use super::{group::GroupCommand, http::CONSENSUS_PATH};

/// Maximum size of a message sent as a datagram, in bytes: below the smallest
/// common MTU. Larger ones, with large entries or a snapshot, are sent over HTTP.
const MAX_DATAGRAM_BYTES: usize = 1200;

/// Timeout for sending a message over HTTP. Below an election timeout, because
/// newer messages replace it.
const HTTP_SEND_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum number of concurrent HTTP messages to a member. Further ones are
/// dropped, and the consensus sends them again.
const MAX_INFLIGHT_HTTP_MESSAGES: usize = 2;

/// Sends and receives the messages between members, until the group task ends.
pub(crate) async fn run(
    socket: UdpSocket,
    mut outgoing: mpsc::Receiver<Envelope>,
    group: mpsc::Sender<GroupCommand>,
) {
    let mut http_permits: BTreeMap<SocketAddr, Arc<Semaphore>> = BTreeMap::new();
    let mut buf = vec![0; 64 * 1024];
    loop {
        tokio::select! {
            envelope = outgoing.recv() => match envelope {
                Some(envelope) => send(&socket, &mut http_permits, &envelope).await,
                None => return,
            },
            received = socket.recv_from(&mut buf) => {
                let Ok((len, _)) = received else { continue };
                let Ok(message) = wire::decode(&buf[..len]) else {
                    log::debug!(event = "bad_message", len = len; "cannot decode datagram as a message of a member");
                    continue;
                };
                // Dropped if the queue is full; the consensus sends it again.
                let _ = group.try_send(GroupCommand::Message(message));
            }
        }
    }
}

async fn send(
    socket: &UdpSocket,
    http_permits: &mut BTreeMap<SocketAddr, Arc<Semaphore>>,
    envelope: &Envelope,
) {
    let address = envelope.address;
    let Ok(message) = wire::encode(&envelope.message) else {
        log::error!(event = "unencodable_message", to:% = address; "cannot encode message to a member");
        return;
    };
    if message.len() <= MAX_DATAGRAM_BYTES {
        // Errors are ignored: the network may lose datagrams as well.
        let _ = socket.send_to(&message, address).await;
        return;
    }
    let permits = http_permits
        .entry(address)
        .or_insert_with(|| Arc::new(Semaphore::new(MAX_INFLIGHT_HTTP_MESSAGES)));
    let Ok(permit) = permits.clone().try_acquire_owned() else {
        return;
    };
    spawn(async move {
        let deadline = Instant::now() + HTTP_SEND_TIMEOUT;
        let body = Bytes::from(message);
        let sent =
            net::send_request(address, Method::POST, CONSENSUS_PATH, body, 1024, deadline).await;
        if let Err(e) = sent {
            log::debug!(event = "member_unreachable", member:% = address, error:% = e; "cannot send message over HTTP; message dropped");
        }
        drop(permit);
    });
}
