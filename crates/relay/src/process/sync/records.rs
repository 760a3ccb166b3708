//! Records of the node that control hosts keep.

use std::{cmp::Reverse, net::SocketAddrV4, time::Instant};

use directory::{ControlMessage, Node, NodeRecord, NodeRole, RecordQuery, RecordReply};
use tokio::sync::mpsc;
use twox_hash::XxHash64;

use super::{ControlSync, ControlUpdate};

/// Control hosts that keep the records of a node: two, because one of them may lose its
/// disk or be away when the next process starts.
const RECORD_HOSTS: usize = 2;

/// The next record to keep; never returns if the node has none.
pub(super) async fn next(records: &mut Option<mpsc::Receiver<NodeRecord>>) -> NodeRecord {
    let next = match records {
        Some(receiver) => receiver.recv().await,
        None => None,
    };
    match next {
        Some(record) => record,
        None => std::future::pending().await,
    }
}

impl ControlSync {
    /// Control hosts with a disk, those in the own data centre first, then by a
    /// rendezvous hash that spreads the records.
    fn record_hosts(&self) -> Vec<SocketAddrV4> {
        let owner = self.cfg.node.address;
        let nodes = self.view.nodes();
        let hosts = nodes.filter(|node| matches!(node.role, NodeRole::Control { .. }));
        let mut hosts: Vec<&Node> = hosts.collect();
        hosts.sort_by_key(|host| {
            let is_remote = host.data_centre != self.cfg.node.data_centre;
            (is_remote, Reverse(rendezvous(owner, host.address)))
        });
        hosts.into_iter().map(|host| host.address).collect()
    }

    pub(super) async fn send_record(&self, record: NodeRecord) {
        let message = ControlMessage::Keep(record);
        for host in self.record_hosts().into_iter().take(RECORD_HOSTS) {
            self.send_to_host(host, &message).await;
        }
    }

    /// Requests the records that have not arrived yet. The hosts of other data centres
    /// are asked only if there is none in the own one.
    pub(super) async fn advance_record_fetch(&mut self, now: Instant) {
        let is_local = |host: &SocketAddrV4| {
            let nodes = self.view.nodes();
            let local = nodes.filter(|node| node.data_centre == self.cfg.node.data_centre);
            local
                .map(|node| node.address)
                .any(|address| address == *host)
        };
        let hosts = self.record_hosts();
        let local: Vec<SocketAddrV4> = hosts.iter().copied().filter(is_local).collect();
        let asked = if local.is_empty() { hosts } else { local };
        let Some(fetch) = &mut self.record_fetch else {
            return;
        };
        if fetch.has_ended(now) {
            self.record_fetch = None;
            // The receiver is only dropped when the process ends.
            let _ = self.updates.send(ControlUpdate::RecordsFetched).await;
            return;
        }
        for (host, received) in fetch.due(asked, now) {
            let query = RecordQuery {
                owner: self.cfg.node.address,
                incarnation: self.cfg.node.incarnation,
                reply_to: self.cfg.reply_to,
                received,
            };
            self.send_to_host(host, &ControlMessage::RecordQuery(query))
                .await;
        }
    }

    pub(super) async fn handle_record_reply(&mut self, reply: RecordReply, from: SocketAddrV4) {
        let Some(fetch) = &mut self.record_fetch else {
            return;
        };
        match reply {
            RecordReply::Kept(record) => {
                if fetch.handle_record(from, &record) {
                    // The receiver is only dropped when the process ends.
                    let _ = self.updates.send(ControlUpdate::Record(record)).await;
                }
            }
            RecordReply::NoMore => fetch.handle_no_more(from),
        }
    }

    async fn send_to_host(&self, host: SocketAddrV4, message: &ControlMessage) {
        match wire::encode(message) {
            // The network may lose the datagram too, so a failed send is ignored.
            Ok(datagram) => drop(self.socket.send_to(&datagram, host).await),
            Err(e) => {
                log::error!(event = "unencodable_message", error:% = e; "cannot encode a message to a control host");
            }
        }
    }
}

fn rendezvous(owner: SocketAddrV4, host: SocketAddrV4) -> u64 {
    let mut bytes = [0; 12];
    bytes[..4].copy_from_slice(&owner.ip().octets());
    bytes[4..6].copy_from_slice(&owner.port().to_be_bytes());
    bytes[6..10].copy_from_slice(&host.ip().octets());
    bytes[10..].copy_from_slice(&host.port().to_be_bytes());
    XxHash64::oneshot(0, &bytes)
}
