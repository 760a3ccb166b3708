//! Transport of messages between members.

use std::net::SocketAddr;

use actix_rt::spawn;
use bytes::Bytes;
use consensus::{Envelope, Transfer};
use http::{Method, StatusCode};
use tokio::{net::UdpSocket, sync::mpsc};

use super::{group::GroupCommand, http::CONSENSUS_PATH};

/// Maximum size of a response to a message, in bytes. It has no body.
const MAX_RESPONSE_BYTES: usize = 1024;

/// Sends and receives the messages between members, until the group task ends.
pub(crate) async fn run(
    socket: UdpSocket,
    mut outgoing: mpsc::Receiver<Envelope>,
    group: mpsc::Sender<GroupCommand>,
) {
    let mut buf = vec![0; 64 * 1024];
    loop {
        tokio::select! {
            envelope = outgoing.recv() => match envelope {
                Some(envelope) => send(&socket, envelope, &group).await,
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

/// Sends a transfer over HTTP in a task of its own, and any other message as a datagram.
async fn send(socket: &UdpSocket, envelope: Envelope, group: &mpsc::Sender<GroupCommand>) {
    let address = envelope.address;
    let Ok(message) = wire::encode(&envelope.message) else {
        log::error!(event = "unencodable_message", to:% = address; "cannot encode message to a member");
        return;
    };
    match envelope.transfer {
        Some(transfer) => {
            let body = Bytes::from(message);
            spawn(send_transfer(address, body, transfer, group.clone()));
        }
        // Errors are ignored: the network may lose datagrams as well.
        None => drop(socket.send_to(&message, address).await),
    }
}

/// Sends a transfer at the rate of the link, as TCP finds it, and reports its end.
async fn send_transfer(
    address: SocketAddr,
    body: Bytes,
    transfer: Transfer,
    group: mpsc::Sender<GroupCommand>,
) {
    let bytes = body.len();
    let sent = net::send_request(
        address,
        Method::POST,
        CONSENSUS_PATH,
        body,
        MAX_RESPONSE_BYTES,
        transfer.deadline,
    );
    let failed = match sent.await {
        Ok((StatusCode::NO_CONTENT, _)) => None,
        Ok((status, _)) => Some(status.to_string()),
        Err(e) => Some(e.to_string()),
    };
    if let Some(error) = &failed {
        log::debug!(event = "transfer_failed", member:% = address, bytes = bytes, error = error.as_str(); "cannot deliver a large message to a member");
    }
    let command = GroupCommand::TransferEnded {
        id: transfer.id,
        delivered: failed.is_none(),
    };
    // The receiver is only dropped when the process ends.
    let _ = group.send(command).await;
}
