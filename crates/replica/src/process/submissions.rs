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

use super::{leader::LeaderClient, replica::RETRY_DELAY};
use crate::request::{ChangeOutcome, EncodedChange, SetId};

/// Time within which operators get a confirmation, without the time for each rule.
const CONFIRMATION_TIME: Duration = Duration::from_secs(6);

/// Additional time within which operators get a confirmation, for each rule.
const CONFIRMATION_TIME_PER_RULE: Duration = Duration::from_millis(3);

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
    let (ended_tx, mut ended) = mpsc::channel(1);
    let mut waiting: BTreeMap<SetId, Vec<oneshot::Sender<ChangeOutcome>>> = BTreeMap::new();
    loop {
        tokio::select! {
            submission = submissions.recv() => {
                let Some(submission) = submission else { return };
                let Some(id) = submission.change.set else { continue };
                if let Some(replies) = waiting.get_mut(&id) {
                    replies.push(submission.reply);
                    continue;
                }
                waiting.insert(id, vec![submission.reply]);
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
            Some((id, outcome)) = ended.recv() => {
                for reply in waiting.remove(&id).into_iter().flatten() {
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
        if Instant::now() + RETRY_DELAY >= until {
            return if outcome_unknown {
                ChangeOutcome::Unknown
            } else {
                ChangeOutcome::Unavailable
            };
        }
        actix_rt::time::sleep(RETRY_DELAY).await;
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
