//! Changes of the configuration and their outcomes.

use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use serde::Serialize;
use types::{Answer, Change, ChangeId, ChangeRequest, OperatorName, Refusal, Revision};
use wire::request::{ChangeReply, NodeReport};

use super::{
    Context,
    resend::{Identity, words},
};
use crate::{
    error::{Error, Result},
    process::{ChangeFlags, Exit, Report, message, usage},
    version::{NodeView, lagging_hosts},
};

/// Pause between two questions whether a change is in force.
const POLL: Duration = Duration::from_millis(200);

/// A change to be sent.
pub struct Ask<'a> {
    pub change: Change,
    pub flags: &'a ChangeFlags,
    pub base: Revision,
    /// The command's own words and flags, for the line that resends it.
    pub words: Vec<String>,
}

/// How far a revision has come.
pub enum Spread {
    /// In force on every live node.
    InForce,
    /// Not in force on these by the deadline.
    Lagging(Vec<NodeReport>),
    /// No control host said so by the deadline.
    NotLearned,
}

/// Outcome of a change.
#[derive(Debug, Serialize)]
pub struct ChangeView {
    pub change_id: String,
    pub base: u64,
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// What became of a change.
#[derive(Debug, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Outcome {
    /// Part of the configuration from `revision` on.
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
    /// Another change came first.
    Conflict { winner: u64, author: String },
    /// Not made, as no control host could take it.
    Unavailable,
    /// May or may not take effect.
    Unknown {
        reason: String,
        /// The command that sends the change again; absent if only the audit
        /// trail can tell.
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
                 at it, then ask again without --base"
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

impl Ask<'_> {
    fn identity(&self) -> Identity {
        Identity {
            id: self.flags.change_id.unwrap_or_else(ChangeId::generate),
            base: self.base,
        }
    }
}

impl Context<'_> {
    /// The base that the flags give, or the one that `read` finds.
    pub(super) async fn base(
        &self,
        flags: &ChangeFlags,
        read: impl Future<Output = Result<Option<Revision>>>,
    ) -> Result<Revision> {
        match flags.base {
            Some(base) => Ok(base),
            None => Ok(read.await?.unwrap_or_default()),
        }
    }

    /// Sends a change, waits until it is in force if asked, and shows the
    /// outcome.
    pub(super) async fn change(&self, ask: Ask<'_>) -> Exit {
        let view = self.send(&ask).await;
        self.finish(&ask, view).await
    }

    /// Waits for an accepted change if asked, and shows the outcome.
    pub(super) async fn finish(&self, ask: &Ask<'_>, mut view: ChangeView) -> Exit {
        if let Outcome::Accepted {
            revision,
            in_force,
            lagging,
        } = &mut view.outcome
            && ask.flags.wait
        {
            let revision = Revision(*revision);
            message(format_args!(
                "accepted at revision {revision}; waiting until it is in force"
            ));
            let spread = self.spread(revision).await;
            *in_force = Some(matches!(spread, Spread::InForce));
            *lagging = explain(revision, &spread);
        }
        self.show_change(&view)
    }

    /// Shows the outcome of a change; people get all but an acceptance as an
    /// error message.
    pub(super) fn show_change(&self, view: &ChangeView) -> Exit {
        let exit = view.outcome.exit();
        if matches!(view.outcome, Outcome::Accepted { .. }) {
            return self.outcome(view, exit);
        }
        message(format_args!("limpetctl: {}", view.text()));
        if let Err(e) = self.out.failure(view) {
            message(format_args!("limpetctl: {e}"));
        }
        exit
    }

    /// Who asks for a change.
    pub(super) fn author(&self) -> OperatorName {
        let Some(author) = self.global.operator.clone() else {
            usage(
                clap::error::ErrorKind::MissingRequiredArgument,
                "--operator <NAME> is needed for this command, for example --operator alice",
            );
        };
        author
    }

    /// Sends a change until it has an outcome.
    pub(super) async fn send(&self, ask: &Ask<'_>) -> ChangeView {
        let author = self.author();
        let identity = ask.identity();
        let req = ChangeRequest {
            id: identity.id,
            author,
            base: identity.base,
            change: ask.change.clone(),
        };
        // Written before anything is sent, so that the change can be sent
        // again even if this process is killed before the answer comes.
        message(format_args!("change id {}, base {}", req.id, req.base));
        // An id that the operator gives may have been sent by an earlier run.
        let reply = if ask.flags.change_id.is_some() {
            self.operator.resend(&req, self.deadline).await
        } else {
            self.operator.change(&req, self.deadline).await
        };
        ChangeView {
            change_id: identity.id.to_string(),
            base: identity.base.0,
            outcome: self.judge(ask, identity, reply),
        }
    }

    fn judge(&self, ask: &Ask<'_>, identity: Identity, reply: ChangeReply) -> Outcome {
        let audit = words!["audit", "--limit", 10_000];
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
            // These say nothing of an earlier request with the id.
            ChangeReply::Final(Answer::Refused(
                refusal @ (Refusal::IdReused(_) | Refusal::IdExpired(_)),
            )) if ask.flags.change_id.is_some() => Outcome::Unknown {
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
                reason: "a control host may have received the change, its answer is lost".into(),
                resend: Some(self.again(ask, identity)),
            },
        }
    }

    /// The command line that takes up a change whose outcome is unknown.
    fn again(&self, ask: &Ask<'_>, identity: Identity) -> String {
        match ask.change {
            // A key cannot be sent again: it is random and never written
            // down. The next run sees whether it was added.
            Change::AddKey { .. } => self.command_line(&ask.words),
            _ => self.resend_line(&ask.words, ask.flags, identity),
        }
    }

    /// Waits until a revision is in force on every live node.
    pub(super) async fn spread(&self, revision: Revision) -> Spread {
        let mut last = Spread::NotLearned;
        loop {
            match self.lagging(revision).await {
                Ok(nodes) if nodes.is_empty() => return Spread::InForce,
                Ok(nodes) => last = Spread::Lagging(nodes),
                // Its message would say that nothing was changed.
                Err(Error::Query(e)) => message(format_args!("limpetctl: {e}")),
                Err(e) => message(format_args!("limpetctl: {e}")),
            }
            if Instant::now() + POLL >= self.deadline {
                return last;
            }
            sleep(POLL).await;
        }
    }
}

/// Tells people who lags; returns the same for scripts.
pub fn explain(revision: Revision, spread: &Spread) -> Vec<NodeView> {
    match spread {
        Spread::InForce => Vec::new(),
        Spread::Lagging(nodes) => {
            message(format_args!(
                "limpetctl: revision {revision} is accepted, but not yet in force on {}; \
                 `limpetctl status` shows when it is",
                lagging_hosts(nodes)
            ));
            nodes.iter().map(NodeView::lagging).collect()
        }
        Spread::NotLearned => {
            message(format_args!(
                "limpetctl: revision {revision} is accepted, but no control host said by the \
                 deadline where it is in force; `limpetctl status` shows it"
            ));
            Vec::new()
        }
    }
}
