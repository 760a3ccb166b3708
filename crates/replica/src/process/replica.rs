//! The handle for front ends of a control host.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout_at,
};
use types::{Answer, Change, ChangeId, ChangeRequest, OperatorName, Revision, RoutingSet};
use wire::request::{ChangeReply, QueryReply};

use super::{
    group::{GroupCommand, MembershipStatus},
    http::{CHANGE_PATH, EVACUATIONS_PATH, READ_PATH},
    metrics::Metrics,
};
use crate::{
    request::{ChangeOutcome, ReadOutcome, ReadTarget, UnservedServicesRequest},
    version::Placement,
};

/// Delay before a change or read is retried.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Timeout of one attempt, after which there may be another leader. Above the
/// usual duration of a commit on a slow disk.
pub(super) const LEADER_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum size of a reply between members, in bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// A handle to a control host for operators' front ends. Clones refer to the same
/// host.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    pub(crate) group: mpsc::Sender<GroupCommand>,
    pub(crate) membership_status: watch::Receiver<MembershipStatus>,
    pub(crate) placement: watch::Receiver<Placement>,
    pub(crate) unserved_services: mpsc::Sender<UnservedServicesRequest>,
    pub(crate) metrics: Metrics,
}

impl ReplicaHandle {
    /// Replaces the routing set. Works on any member; the request is forwarded to
    /// the leader. Idempotent: sets are ordered by their numbers, so the same set
    /// may be sent again after a lost reply.
    pub async fn replace_routes(
        &self,
        author: OperatorName,
        set: RoutingSet,
        deadline: Instant,
    ) -> ChangeOutcome {
        let timer = self.metrics.change_seconds.start_timer();
        let change = Change::ReplaceRoutes(Box::new(set));
        let mut outcome_unknown = false;
        let outcome = loop {
            let req = ChangeRequest {
                // Each attempt has its own id; the set number makes retries
                // idempotent.
                id: ChangeId::generate(),
                author: author.clone(),
                base: Revision(0),
                change: change.clone(),
            };
            match self
                .try_change(req, deadline.min(Instant::now() + LEADER_TIMEOUT))
                .await
            {
                ChangeReply::Final(Answer::Accepted(_)) => break ChangeOutcome::Accepted,
                ChangeReply::Final(Answer::Refused(refusal)) => {
                    break ChangeOutcome::Refused(refusal);
                }
                // Routing sets have no base revision, so a conflict is not
                // expected.
                ChangeReply::Final(Answer::Conflict(_)) => break ChangeOutcome::Unknown,
                ChangeReply::Unknown => outcome_unknown = true,
                ChangeReply::NotLeader { .. } | ChangeReply::Unavailable => {}
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                break if outcome_unknown {
                    ChangeOutcome::Unknown
                } else {
                    ChangeOutcome::Unavailable
                };
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        };
        timer.observe_duration();
        outcome
    }

    /// Addresses of the other members in this member's view of the group, learners
    /// included.
    #[must_use]
    pub fn other_members(&self) -> Vec<SocketAddr> {
        self.membership_status.borrow().other_members.clone()
    }

    /// Number of voters in this member's view of the group.
    #[must_use]
    pub fn voter_count(&self) -> i64 {
        self.metrics.voters.get()
    }

    pub(super) async fn try_change(&self, req: ChangeRequest, deadline: Instant) -> ChangeReply {
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
                let reply = call_member(leader, CHANGE_PATH, &req, deadline).await;
                reply.unwrap_or(ChangeReply::Unknown)
            }
            Ok(reply) => reply,
            Err(_) => ChangeReply::Unknown,
        }
    }

    /// Reads the current routing set, confirmed by a quorum after this call began.
    pub async fn read_routes(&self, deadline: Instant) -> ReadOutcome {
        loop {
            match self
                .try_read(
                    ReadTarget::Routes,
                    deadline.min(Instant::now() + LEADER_TIMEOUT),
                )
                .await
            {
                Some(QueryReply::Routes(set)) => return ReadOutcome::Confirmed(set),
                _ if Instant::now() + RETRY_DELAY >= deadline => return ReadOutcome::Unavailable,
                _ => actix_rt::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    pub(super) async fn try_read(
        &self,
        target: ReadTarget,
        deadline: Instant,
    ) -> Option<QueryReply> {
        let (tx, rx) = oneshot::channel();
        let command = GroupCommand::Read(target, tx);
        self.group.send(command).await.ok()?;
        let path = match target {
            ReadTarget::Routes => READ_PATH,
            ReadTarget::Evacuations => EVACUATIONS_PATH,
        };
        match timeout_at(deadline.into(), rx).await.ok()?.ok()? {
            QueryReply::NotLeader { leader } => call_member(leader?, path, &(), deadline).await,
            reply => Some(reply),
        }
    }
}

/// Sends a request to another member. Returns `None` if it fails.
async fn call_member<Q: Serialize, A: DeserializeOwned>(
    member: SocketAddr,
    path: &str,
    request: &Q,
    deadline: Instant,
) -> Option<A> {
    let body = Bytes::from(wire::encode(request).ok()?);
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
