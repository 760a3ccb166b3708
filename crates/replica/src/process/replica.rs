//! The handle by which a front end uses a control host.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::mpsc, sync::oneshot, time::timeout_at};
use types::{Answer, Change, ChangeId, ChangeRequest, OperatorName, Revision, RoutingSet};
use wire::request::{ChangeReply, QueryReply};

use super::{
    group::GroupCommand,
    http::{CHANGE_PATH, READ_PATH},
    metrics::Metrics,
};
use crate::request::{ChangeOutcome, ReadOutcome};

/// Pause before a change is tried again while no leader is known.
const RETRY: Duration = Duration::from_millis(50);

/// Time for a leader to answer, after which another may have taken its place.
/// Above the time that a commit takes with a slow disk in most cases.
const ANSWER: Duration = Duration::from_millis(700);

/// Bytes of an answer between members at most.
const MAX_ANSWER: usize = 16 << 20;

/// A control host as a front end for operators sees it. Clones share the host.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    pub(crate) group: mpsc::Sender<GroupCommand>,
    pub(crate) metrics: Metrics,
}

impl ReplicaHandle {
    /// Replaces the routing set. Any member can be asked; it goes by way of the
    /// leader. The same set may be given again after a lost answer: sets are
    /// ordered by their numbers.
    pub async fn replace_routes(
        &self,
        author: OperatorName,
        set: RoutingSet,
        deadline: Instant,
    ) -> ChangeOutcome {
        let timer = self.metrics.change_seconds.start_timer();
        let change = Change::ReplaceRoutes(Box::new(set));
        let mut tried = false;
        let outcome = loop {
            let req = ChangeRequest {
                // Each try is a change of its own; the number makes them one.
                id: ChangeId::generate(),
                author: author.clone(),
                base: Revision(0),
                change: change.clone(),
            };
            match self
                .try_change(req, deadline.min(Instant::now() + ANSWER))
                .await
            {
                ChangeReply::Final(Answer::Accepted(_)) => break ChangeOutcome::Accepted,
                ChangeReply::Final(Answer::Refused(refusal)) => {
                    break ChangeOutcome::Refused(refusal);
                }
                // Sets are not based on a revision.
                ChangeReply::Final(Answer::Conflict(_)) => break ChangeOutcome::Unknown,
                ChangeReply::Unknown => tried = true,
                ChangeReply::NotLeader { .. } | ChangeReply::Unavailable => {}
            }
            if Instant::now() + RETRY >= deadline {
                break if tried {
                    ChangeOutcome::Unknown
                } else {
                    ChangeOutcome::Unavailable
                };
            }
            actix_rt::time::sleep(RETRY).await;
        };
        timer.observe_duration();
        outcome
    }

    /// Voters of the group, as far as this member knows.
    #[must_use]
    pub fn voter_count(&self) -> i64 {
        self.metrics.voters.get()
    }

    async fn try_change(&self, req: ChangeRequest, deadline: Instant) -> ChangeReply {
        let (tx, rx) = oneshot::channel();
        let command = GroupCommand::Change(Box::new(req.clone()), tx);
        if self.group.send(command).await.is_err() {
            return ChangeReply::Unavailable;
        }
        let reply = timeout_at(deadline.into(), rx).await;
        match reply.map(|reply| reply.unwrap_or(ChangeReply::Unknown)) {
            Ok(ChangeReply::NotLeader {
                leader: Some(leader),
            }) => {
                let reply = ask(leader, CHANGE_PATH, &req, deadline).await;
                reply.unwrap_or(ChangeReply::Unknown)
            }
            Ok(reply) => reply,
            Err(_) => ChangeReply::Unknown,
        }
    }

    /// The newest routing set, confirmed by a majority after this call began.
    pub async fn read_routes(&self, deadline: Instant) -> ReadOutcome {
        loop {
            match self.try_read(deadline.min(Instant::now() + ANSWER)).await {
                Some(QueryReply::Routes(set)) => return ReadOutcome::Confirmed(set),
                _ if Instant::now() + RETRY >= deadline => return ReadOutcome::Unavailable,
                _ => actix_rt::time::sleep(RETRY).await,
            }
        }
    }

    async fn try_read(&self, deadline: Instant) -> Option<QueryReply> {
        let (tx, rx) = oneshot::channel();
        self.group.send(GroupCommand::Read(tx)).await.ok()?;
        match timeout_at(deadline.into(), rx).await.ok()?.ok()? {
            QueryReply::NotLeader { leader } => ask(leader?, READ_PATH, &(), deadline).await,
            reply => Some(reply),
        }
    }
}

/// Asks another member.
async fn ask<Q: Serialize, A: DeserializeOwned>(
    member: SocketAddr,
    path: &str,
    question: &Q,
    deadline: Instant,
) -> Option<A> {
    let body = Bytes::from(wire::encode(question).ok()?);
    let answer = net::send_request(member, Method::POST, path, body, MAX_ANSWER, deadline).await;
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
