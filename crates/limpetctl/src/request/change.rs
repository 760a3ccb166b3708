//! Changes of the configuration and their outcomes.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use serde::Serialize;
use types::{Answer, Change, ChangeId, ChangeRequest, OperatorName, Refusal, Revision};
use wire::request::{ChangeReply, NodeReport};

use super::{
    Context,
    resend::{ChangeIdentity, command_args},
};
use crate::{
    error::{Error, Result},
    process::{ChangeFlags, Exit, Report, exit_with_usage_error, print_stderr},
    version::{NodeView, format_nodes},
};

/// Interval between queries whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A change that a command submits.
pub struct Submission<'a> {
    pub change: Change,
    pub flags: &'a ChangeFlags,
    pub base: Revision,
    /// Arguments of the command, for the command line that resends it.
    pub command_args: Vec<String>,
}

/// Whether a revision is in force on the nodes.
pub enum Rollout {
    /// In force on every live node.
    InForce,
    /// Not in force on these nodes by the deadline.
    Lagging(Vec<NodeReport>),
    /// No control host reported it by the deadline.
    Unconfirmed,
}

/// The result of a change with its id and base.
#[derive(Debug, Serialize)]
pub struct ChangeView {
    pub change_id: String,
    pub base: u64,
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// Outcome of a change.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// Made at `revision`.
    Accepted {
        revision: u64,
        /// Whether every live node has it in force; absent without `--wait`.
        #[serde(skip_serializing_if = "Option::is_none")]
        in_force: Option<bool>,
        #[serde(skip_serializing_if = "Vec::is_empty")]
        lagging: Vec<NodeView>,
    },
    /// Not made.
    Refused { reason: String },
    /// Not made, as another change of the object was made first.
    Conflict { winner: u64, author: String },
    /// Not made, as no control host could accept it.
    Unavailable,
    /// May or may not take effect.
    Unknown {
        reason: String,
        /// The command that resends the change; absent if only the audit trail
        /// holds the outcome.
        #[serde(skip_serializing_if = "Option::is_none")]
        resend: Option<String>,
    },
}

impl Outcome {
    fn exit(&self) -> Exit {
        match self {
            Outcome::Accepted {
                in_force: Some(false),
                ..
            } => Exit::Pending,
            Outcome::Accepted { .. } => Exit::Done,
            Outcome::Refused { .. } => Exit::Refused,
            Outcome::Conflict { .. } => Exit::Conflict,
            Outcome::Unavailable => Exit::Failed,
            Outcome::Unknown { .. } => Exit::Unknown,
        }
    }
}

impl Report for ChangeView {
    fn text(&self) -> String {
        match &self.outcome {
            Outcome::Accepted {
                revision,
                in_force: Some(true),
                ..
            } => format!("accepted at revision {revision}, in force on every live node"),
            Outcome::Accepted { revision, .. } => format!("accepted at revision {revision}"),
            Outcome::Refused { reason } => format!("refused, the change was not made: {reason}"),
            Outcome::Conflict { winner, author } => format!(
                "conflict, the change was not made: {author} made revision {winner} first; look \
                 at it, then try again without --base"
            ),
            Outcome::Unavailable => "unavailable, the change was not made: no control host could \
                take it; check --control and that a majority of the group runs, then \
                try again"
                .to_owned(),
            Outcome::Unknown { reason, resend } => {
                let resend = resend.as_deref().map(|line| format!("\nresend by: {line}"));
                format!(
                    "outcome unknown, change id {}: {reason}{}",
                    self.change_id,
                    resend.unwrap_or_default()
                )
            }
        }
    }
}

impl Submission<'_> {
    fn identity(&self) -> ChangeIdentity {
        ChangeIdentity {
            id: self.flags.change_id.unwrap_or_else(ChangeId::generate),
            base: self.base,
        }
    }
}

impl Context<'_> {
    /// The base in the flags, or the revision that `read` returns.
    pub(super) async fn resolve_base(
        &self,
        flags: &ChangeFlags,
        read: impl Future<Output = Result<Option<Revision>>>,
    ) -> Result<Revision> {
        match flags.base {
            Some(base) => Ok(base),
            None => Ok(read.await?.unwrap_or_default()),
        }
    }

    /// Submits a change, waits until it is in force with `--wait`, and shows the
    /// outcome.
    pub(super) async fn submit_and_show(&self, submission: Submission<'_>) -> Exit {
        let view = self.submit(&submission).await;
        self.wait_and_show(&submission, view).await
    }

    /// Waits for an accepted change with `--wait`, and shows the outcome.
    pub(super) async fn wait_and_show(
        &self,
        submission: &Submission<'_>,
        mut view: ChangeView,
    ) -> Exit {
        if let Outcome::Accepted {
            revision,
            in_force,
            lagging,
        } = &mut view.outcome
            && submission.flags.wait
        {
            let revision = Revision(*revision);
            print_stderr(format_args!(
                "accepted at revision {revision}; waiting until it is in force"
            ));
            let rollout = self.wait_until_in_force(revision).await;
            *in_force = Some(matches!(rollout, Rollout::InForce));
            *lagging = report_lagging(revision, &rollout);
        }
        self.show_change(&view)
    }

    /// Shows the outcome of a change; in the table format, every outcome but an
    /// acceptance is an error message.
    pub(super) fn show_change(&self, view: &ChangeView) -> Exit {
        let exit = view.outcome.exit();
        if matches!(view.outcome, Outcome::Accepted { .. }) {
            return self.show_outcome(view, exit);
        }
        print_stderr(format_args!("limpetctl: {}", view.text()));
        if let Err(e) = self.out.write_failure(view) {
            print_stderr(format_args!("limpetctl: {e}"));
        }
        exit
    }

    /// The operator who submits a change.
    pub(super) fn author(&self) -> OperatorName {
        let Some(author) = self.global.operator.clone() else {
            exit_with_usage_error(
                clap::error::ErrorKind::MissingRequiredArgument,
                "--operator <NAME> is needed for this command, for example --operator alice",
            );
        };
        author
    }

    /// Sends a change, with retries, until it has an outcome.
    pub(super) async fn submit(&self, submission: &Submission<'_>) -> ChangeView {
        let author = self.author();
        let identity = submission.identity();
        let req = ChangeRequest {
            id: identity.id,
            author,
            base: identity.base,
            change: submission.change.clone(),
        };
        // Printed before the change is sent, so that it can be resent even if
        // this process is killed before the answer arrives.
        print_stderr(format_args!("change id {}, base {}", req.id, req.base));
        // An earlier run may have sent the id that the operator gives.
        let reply = if submission.flags.change_id.is_some() {
            self.operator.resend(&req, self.deadline).await
        } else {
            self.operator.change(&req, self.deadline).await
        };
        ChangeView {
            change_id: identity.id.to_string(),
            base: identity.base.0,
            outcome: self.outcome_of_reply(submission, identity, reply),
        }
    }

    fn outcome_of_reply(
        &self,
        submission: &Submission<'_>,
        identity: ChangeIdentity,
        reply: ChangeReply,
    ) -> Outcome {
        let audit = command_args!["audit", "--limit", 10_000];
        match reply {
            ChangeReply::Final(Answer::Accepted(revision)) => Outcome::Accepted {
                revision: revision.0,
                in_force: None,
                lagging: Vec::new(),
            },
            ChangeReply::Final(Answer::Conflict(conflict)) => Outcome::Conflict {
                winner: conflict.winner.0,
                author: conflict.author.to_string(),
            },
            // These refusals do not tell the outcome of an earlier request with
            // the id.
            ChangeReply::Final(Answer::Refused(
                refusal @ (Refusal::IdReused(_) | Refusal::IdExpired(_)),
            )) if submission.flags.change_id.is_some() => Outcome::Unknown {
                reason: format!(
                    "{refusal}; the answer to the first request with this id is in the audit \
                     trail: {}",
                    self.command_line(&audit)
                ),
                resend: None,
            },
            ChangeReply::Final(Answer::Refused(refusal)) => Outcome::Refused {
                reason: refusal.to_string(),
            },
            ChangeReply::NotLeader { .. } | ChangeReply::Unavailable => Outcome::Unavailable,
            ChangeReply::Unknown => Outcome::Unknown {
                reason: "a control host may have received the change, but its answer was lost"
                    .into(),
                resend: Some(self.retry_command_line(submission, identity)),
            },
        }
    }

    /// The command line that retries a change whose outcome is unknown.
    fn retry_command_line(&self, submission: &Submission<'_>, identity: ChangeIdentity) -> String {
        match submission.change {
            // A key cannot be resent: it is random and never stored by this
            // program. The next run queries whether it was added.
            Change::AddKey { .. } => self.command_line(&submission.command_args),
            _ => self.resend_command_line(&submission.command_args, submission.flags, identity),
        }
    }

    /// Waits until a revision is in force on every live node.
    pub(super) async fn wait_until_in_force(&self, revision: Revision) -> Rollout {
        let mut last = Rollout::Unconfirmed;
        loop {
            match self.lagging(revision).await {
                Ok(nodes) if nodes.is_empty() => return Rollout::InForce,
                Ok(nodes) => last = Rollout::Lagging(nodes),
                // The message of `Error::Query` would wrongly say that nothing was
                // changed.
                Err(Error::Query(e)) => print_stderr(format_args!("limpetctl: {e}")),
                Err(e) => print_stderr(format_args!("limpetctl: {e}")),
            }
            if Instant::now() + POLL_INTERVAL >= self.deadline {
                return last;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Reports the nodes that lag as a message; returns them for the JSON output.
pub fn report_lagging(revision: Revision, rollout: &Rollout) -> Vec<NodeView> {
    match rollout {
        Rollout::InForce => Vec::new(),
        Rollout::Lagging(nodes) => {
            print_stderr(format_args!(
                "limpetctl: revision {revision} is accepted, but not yet in force on {}; \
                 `limpetctl status` shows when it is",
                format_nodes(nodes)
            ));
            nodes.iter().map(NodeView::lagging).collect()
        }
        Rollout::Unconfirmed => {
            print_stderr(format_args!(
                "limpetctl: revision {revision} is accepted, but no control host reported by \
                 the deadline where it is in force; `limpetctl status` shows it"
            ));
            Vec::new()
        }
    }
}
