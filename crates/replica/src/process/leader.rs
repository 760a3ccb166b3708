//! Requests to the leader, from any member.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use tokio::{
    sync::{mpsc, oneshot},
    time::timeout_at,
};
use types::BytesPerSecond;
use wire::request::{ChangeReply, QueryReply};

use super::{
    group::GroupCommand,
    http::{CHANGE_PATH, EVACUATIONS_PATH, READ_PATH},
};
use crate::request::{EncodedChange, ReadTarget};

/// Timeout of one attempt, after which there may be another leader. Above the
/// usual duration of a commit on a slow disk.
const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

/// How often a change passes the links of the slowest host on its way to the leader and
/// from there to the members of a group of eight, with a spare one.
const LINK_PASSES: u32 = 10;

/// Delay before a change or read is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(50);

/// A change that is sent again and again uses at most one part in this many of the link.
const RETRY_LINK_SHARE: u32 = 4;

/// Maximum size of a reply between members, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Sends requests to the leader: to the group task of this host, and from there over HTTP
/// if another host is the leader.
#[derive(Debug, Clone)]
pub(crate) struct LeaderClient {
    pub group: mpsc::Sender<GroupCommand>,
    pub link_rate: BytesPerSecond,
}

impl LeaderClient {
    /// Delay before a change is sent again: a small share of the link for large ones.
    pub fn retry_delay(&self, change: &EncodedChange) -> Duration {
        RETRY_DELAY + self.link_rate.transmission_time(change.bytes.len()) * RETRY_LINK_SHARE
    }

    /// Requests a change.
    pub async fn change(&self, change: &EncodedChange, until: Instant) -> ChangeReply {
        let time = self.link_rate.transmission_time(change.bytes.len());
        let timeout = LEADER_TIMEOUT + time * LINK_PASSES;
        let deadline = until.min(Instant::now() + timeout);
        let (tx, rx) = oneshot::channel();
        let command = GroupCommand::Change(change.clone(), tx);
        if self.group.send(command).await.is_err() {
            return ChangeReply::Unavailable;
        }
        let reply = timeout_at(deadline.into(), rx).await;
        match reply.map(|reply| reply.unwrap_or(ChangeReply::Unknown)) {
            Ok(ChangeReply::NotLeader {
                leader: Some(leader),
            }) => {
                let reply = call_member(leader, CHANGE_PATH, change.bytes.clone(), deadline).await;
                reply.unwrap_or(ChangeReply::Unknown)
            }
            Ok(reply) => reply,
            Err(_) => ChangeReply::Unknown,
        }
    }

    /// Reads a part of the configuration. Returns `None` if the leader does not answer.
    pub async fn read(&self, target: ReadTarget, until: Instant) -> Option<QueryReply> {
        let deadline = until.min(Instant::now() + LEADER_TIMEOUT);
        let (tx, rx) = oneshot::channel();
        let command = GroupCommand::Read(target, tx);
        self.group.send(command).await.ok()?;
        let path = match target {
            ReadTarget::Routes => READ_PATH,
            ReadTarget::Evacuations => EVACUATIONS_PATH,
        };
        match timeout_at(deadline.into(), rx).await.ok()?.ok()? {
            QueryReply::NotLeader { leader } => {
                let nothing = Bytes::from(wire::encode(&()).ok()?);
                call_member(leader?, path, nothing, deadline).await
            }
            reply => Some(reply),
        }
    }
}

/// Sends a request to another member. Returns `None` if it fails.
async fn call_member<A: DeserializeOwned>(
    member: SocketAddr,
    path: &str,
    body: Bytes,
    deadline: Instant,
) -> Option<A> {
    let answer =
        net::send_request(member, Method::POST, path, body, MAX_REPLY_BYTES, deadline).await;
    let failed = match answer {
        Ok((StatusCode::OK, body)) => match wire::decode(&body) {
            Ok(answer) => return Some(answer),
            Err(e) => e.to_string(),
        },
        Ok((status, _)) => status.to_string(),
        Err(e) => e.to_string(),
    };
    log::info!(event = "leader_unreachable", leader:% = member, path = path, error = failed.as_str(); "the leader did not answer");
    None
}
