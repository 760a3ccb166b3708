//! The task that pursues the operators' requests to replace the routing set.
//!
//! An operator waits about a second and then sends the same request again. A large set
//! takes longer to commit, so this host pursues a request after its operator has gone,
//! and a repeated one waits for the outcome of the one in progress.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::{mpsc, oneshot, watch};
use types::{Answer, RoutingSet};
use wire::request::ChangeReply;

use super::leader::LeaderClient;
use crate::request::{ChangeOutcome, EncodedChange, SetId};

/// Time within which operators get a confirmation, without the time for each rule.
const CONFIRMATION_TIME: Duration = Duration::from_secs(6);

/// Additional time within which operators get a confirmation, for each rule.
const CONFIRMATION_TIME_PER_RULE: Duration = Duration::from_millis(3);

/// Maximum size of all requests that a host pursues, in bytes: two of the maximum size.
/// Further operators get 503 and send their requests again.
const MAX_PURSUED_BYTES: usize = 8 << 20;

/// The operators that wait for a request in progress, and its size.
struct Pursued {
    bytes: usize,
    replies: Vec<oneshot::Sender<ChangeOutcome>>,
}

/// A request of an operator to replace the routing set.
#[derive(Debug)]
pub(crate) struct Submission {
    pub change: EncodedChange,
    /// Number of rules of the set.
    pub rules: usize,
    pub reply: oneshot::Sender<ChangeOutcome>,
    /// Until when the operator waits.
    pub deadline: Instant,
}

/// Pursues submissions until the handles of the host are gone.
pub(crate) async fn run(
    mut submissions: mpsc::Receiver<Submission>,
    leader: LeaderClient,
    routes: watch::Receiver<Option<Arc<RoutingSet>>>,
) {
    // One result for each submission in progress, so that sending never waits for long.
    let (ended_tx, mut ended_rx) = mpsc::channel(1);
    let mut pursued: BTreeMap<SetId, Pursued> = BTreeMap::new();
    loop {
        tokio::select! {
            submission = submissions.recv() => {
                let Some(submission) = submission else { return };
                let Some(id) = submission.change.set else { continue };
                if let Some(pursued) = pursued.get_mut(&id) {
                    pursued.replies.push(submission.reply);
                    continue;
                }
                let bytes = submission.change.bytes.len();
                let others: usize = pursued.values().map(|pursued| pursued.bytes).sum();
                if others + bytes > MAX_PURSUED_BYTES {
                    // The operator may have gone.
                    let _ = submission.reply.send(ChangeOutcome::Unavailable);
                    continue;
                }
                let replies = vec![submission.reply];
                pursued.insert(id, Pursued { bytes, replies });
                let rules = u32::try_from(submission.rules).unwrap_or(u32::MAX);
                let time = CONFIRMATION_TIME + CONFIRMATION_TIME_PER_RULE * rules;
                let until = submission.deadline.max(Instant::now() + time);
                let (leader, routes, ended_tx) = (leader.clone(), routes.clone(), ended_tx.clone());
                let change = submission.change;
                actix_rt::spawn(async move {
                    let outcome = tokio::select! {
                        outcome = pursue(&leader, &change, until) => outcome,
                        () = in_force(routes, id) => ChangeOutcome::Accepted,
                    };
                    // The receiver is only dropped when the process ends.
                    let _ = ended_tx.send((id, outcome)).await;
                });
            }
            Some((id, outcome)) = ended_rx.recv() => {
                let ended = pursued.remove(&id);
                for reply in ended.into_iter().flat_map(|ended| ended.replies) {
                    // The operator may have gone.
                    let _ = reply.send(outcome.clone());
                }
            }
        }
    }
}

/// Sends the request to the leader until the outcome is known or `until` has passed.
async fn pursue(leader: &LeaderClient, change: &EncodedChange, until: Instant) -> ChangeOutcome {
    let mut outcome_unknown = false;
    loop {
        match leader.change(change, until).await {
            ChangeReply::Final(Answer::Accepted(_)) => return ChangeOutcome::Accepted,
            ChangeReply::Final(Answer::Refused(refusal)) => {
                return ChangeOutcome::Refused(refusal);
            }
            // Routing sets have no base revision, so a conflict is not expected.
            ChangeReply::Final(Answer::Conflict(_)) => return ChangeOutcome::Unknown,
            ChangeReply::Unknown => outcome_unknown = true,
            ChangeReply::NotLeader { .. } | ChangeReply::Unavailable => {}
        }
        let delay = leader.retry_delay(change);
        if Instant::now() + delay >= until {
            return if outcome_unknown {
                ChangeOutcome::Unknown
            } else {
                ChangeOutcome::Unavailable
            };
        }
        actix_rt::time::sleep(delay).await;
    }
}

/// Waits until this host has applied the set: a set that is in force is accepted.
async fn in_force(mut routes: watch::Receiver<Option<Arc<RoutingSet>>>, id: SetId) {
    let is_set =
        |set: &Option<Arc<RoutingSet>>| set.as_deref().is_some_and(|set| SetId::of(set) == id);
    if routes.wait_for(is_set).await.is_err() {
        // The group task has ended, and the process ends with it.
        std::future::pending::<()>().await;
    }
}
