//! The handle for front ends of a control host.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout_at,
};
use types::{Change, ChangeId, ChangeRequest, OperatorName, Refusal, Revision, RoutingSet};
use wire::request::QueryReply;

use super::{
    group::MembershipStatus,
    leader::{LeaderClient, RETRY_DELAY},
    metrics::Metrics,
    submissions::Submission,
};
use crate::{
    request::{ChangeOutcome, EncodedChange, ReadOutcome, ReadTarget, UnservedServicesRequest},
    version::Placement,
};

/// A handle to a control host for operators' front ends. Clones refer to the same
/// host.
#[derive(Debug, Clone)]
pub struct ReplicaHandle {
    pub(crate) leader: LeaderClient,
    pub(crate) submissions: mpsc::Sender<Submission>,
    /// Limit on an encoded request, below that on the command in the log.
    pub(crate) max_request_bytes: usize,
    pub(crate) membership_status: watch::Receiver<MembershipStatus>,
    pub(crate) placement: watch::Receiver<Placement>,
    pub(crate) unserved_services: mpsc::Sender<UnservedServicesRequest>,
    pub(crate) metrics: Metrics,
}

impl ReplicaHandle {
    /// Replaces the routing set. Works on any member; the request is forwarded to
    /// the leader. Idempotent: sets are ordered by their numbers, so the same set
    /// may be sent again after a lost reply. The host pursues the request for some time
    /// after `deadline`, and a repeated one joins it.
    pub async fn replace_routes(
        &self,
        author: OperatorName,
        set: RoutingSet,
        deadline: Instant,
    ) -> ChangeOutcome {
        if let Err(refusal) = set.check() {
            return ChangeOutcome::Refused(refusal);
        }
        let rules = set.rules.len();
        let request = ChangeRequest {
            id: ChangeId::generate(),
            author,
            base: Revision(0),
            change: Change::ReplaceRoutes(Arc::new(set)),
        };
        let change = match EncodedChange::encode(&request) {
            Ok(change) => change,
            Err(e) => {
                log::error!(event = "unencodable_change", error:% = e; "cannot encode a routing set");
                return ChangeOutcome::Unavailable;
            }
        };
        drop(request);
        let (bytes, limit) = (change.bytes.len(), self.max_request_bytes);
        if bytes > limit {
            return ChangeOutcome::Refused(Refusal::TooLarge { bytes, limit });
        }
        let timer = self.metrics.change_seconds.start_timer();
        let (reply, outcome) = oneshot::channel();
        let submission = Submission {
            change,
            rules,
            reply,
            deadline,
        };
        if self.submissions.send(submission).await.is_err() {
            return ChangeOutcome::Unavailable;
        }
        let outcome = timeout_at(deadline.into(), outcome).await;
        timer.observe_duration();
        match outcome {
            Ok(outcome) => outcome.unwrap_or(ChangeOutcome::Unknown),
            Err(_) => ChangeOutcome::Unknown,
        }
    }

    /// Addresses of the other members in this member's view of the group, learners
    /// included.
    #[must_use]
    pub fn other_members(&self) -> Vec<SocketAddr> {
        self.membership_status.borrow().other_members.clone()
    }

    /// Whether this member votes in its view of the group, and no change of voters is under
    /// way.
    #[must_use]
    pub fn votes(&self) -> bool {
        self.membership_status.borrow().votes
    }

    /// Number of voters in this member's view of the group.
    #[must_use]
    pub fn voter_count(&self) -> i64 {
        self.metrics.voters.get()
    }

    /// Reads the current routing set, confirmed by a quorum after this call began.
    pub async fn read_routes(&self, deadline: Instant) -> ReadOutcome {
        loop {
            match self.leader.read(ReadTarget::Routes, deadline).await {
                Some(QueryReply::Routes(set)) => return ReadOutcome::Confirmed(set),
                _ if Instant::now() + RETRY_DELAY >= deadline => return ReadOutcome::Unavailable,
                _ => actix_rt::time::sleep(RETRY_DELAY).await,
            }
        }
    }
}
