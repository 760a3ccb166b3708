//! The messages between members.

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

/// Longest message that goes as one datagram, in bytes: less than the smallest
/// usual packet. Longer ones, with large entries or a snapshot, go over HTTP.
const DATAGRAM: usize = 1200;

/// Time for a member to take a long message. Below an election timeout: a
/// newer one replaces it.
const SEND: Duration = Duration::from_millis(600);

/// Long messages on their way to a member. Others are dropped and repeated by
/// the consensus.
const LONG_MESSAGES: usize = 2;

/// Sends and receives the messages between members, until the group task ends.
pub(crate) async fn run(
    socket: UdpSocket,
    mut outgoing: mpsc::Receiver<Envelope>,
    group: mpsc::Sender<GroupCommand>,
) {
    let mut lanes: BTreeMap<SocketAddr, Arc<Semaphore>> = BTreeMap::new();
    let mut buf = vec![0; 64 * 1024];
    loop {
        tokio::select! {
            envelope = outgoing.recv() => match envelope {
                Some(envelope) => send(&socket, &mut lanes, &envelope).await,
                None => return,
            },
            received = socket.recv_from(&mut buf) => {
                let Ok((len, _)) = received else { continue };
                let Ok(message) = wire::decode(&buf[..len]) else {
                    log::debug!(event = "bad_message", len = len; "datagram is no message of a member");
                    continue;
                };
                // A full queue loses the message; the consensus repeats it.
                let _ = group.try_send(GroupCommand::Message(message));
            }
        }
    }
}

async fn send(
    socket: &UdpSocket,
    lanes: &mut BTreeMap<SocketAddr, Arc<Semaphore>>,
    envelope: &Envelope,
) {
    let address = envelope.address;
    let Ok(message) = wire::encode(&envelope.message) else {
        log::error!(event = "unencodable_message", to:% = address; "message cannot be encoded");
        return;
    };
    if message.len() <= DATAGRAM {
        // A datagram may be lost anyway.
        let _ = socket.send_to(&message, address).await;
        return;
    }
    let lane = lanes
        .entry(address)
        .or_insert_with(|| Arc::new(Semaphore::new(LONG_MESSAGES)));
    let Ok(permit) = lane.clone().try_acquire_owned() else {
        return;
    };
    spawn(async move {
        let deadline = Instant::now() + SEND;
        let body = Bytes::from(message);
        let sent =
            net::send_request(address, Method::POST, CONSENSUS_PATH, body, 1024, deadline).await;
        if let Err(e) = sent {
            log::debug!(event = "member_unreachable", member:% = address, error:% = e; "message lost");
        }
        drop(permit);
    });
}
