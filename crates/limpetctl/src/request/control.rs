//! Members of the control group.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use client::GroupChangeOutcome;
use serde::Serialize;
use types::MemberId;
use wire::request::{
    GroupChangeRequest, GroupRefusal, GroupReport, GroupRequest, Hello, HelloReply,
};

use super::{Context, resend::command_args};
use crate::{
    error::{Error, Result},
    process::{ControlCommand, Exit, Report, print_stderr},
    version::GroupView,
};

/// Interval between queries of the group.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a command stopped before the group had the requested members.
#[derive(Debug, thiserror::Error)]
enum StopReason {
    #[error(transparent)]
    Refused(#[from] GroupRefusal),
    #[error("the host at {0} was part of a group before; stop it, empty its data folder, start it")]
    NotBlank(SocketAddr),
    #[error("the host at {0} is the member that is to be replaced")]
    SameMember(SocketAddr),
    #[error("no control host took the change; check that a majority of the group runs")]
    Unavailable,
    #[error("the answer was lost; the same command checks the group and continues from there")]
    Unknown,
}

/// Outcome of a change of the group.
#[derive(Debug, Serialize)]
struct OutcomeView {
    /// `done`, `refused`, `unavailable`, `incomplete` or `unknown`.
    outcome: &'static str,
    /// The steps that this run completed.
    steps: Vec<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    /// The command that continues.
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<String>,
}

impl Report for OutcomeView {
    fn text(&self) -> String {
        if self.steps.is_empty() {
            return "nothing to do: the group already has the requested members".to_owned();
        }
        self.steps.join("\n")
    }
}

/// Progress of one group change over its attempts.
struct Progress {
    /// Whether the answer to a request was lost.
    answer_lost: bool,
    /// Why the last attempt did not make the change.
    stop: StopReason,
}

impl Default for Progress {
    fn default() -> Self {
        Progress {
            answer_lost: false,
            stop: StopReason::Unavailable,
        }
    }
}

impl Progress {
    /// Records the outcome of an attempt; `true` if the change is in force.
    fn record(&mut self, outcome: GroupChangeOutcome) -> Result<bool, StopReason> {
        match outcome {
            GroupChangeOutcome::Done => return Ok(true),
            GroupChangeOutcome::Unknown => self.answer_lost = true,
            GroupChangeOutcome::Unavailable => self.stop = StopReason::Unavailable,
            GroupChangeOutcome::Refused(refusal) if self.answer_lost || is_transient(refusal) => {
                self.stop = refusal.into();
            }
            GroupChangeOutcome::Refused(refusal) => return Err(refusal.into()),
        }
        Ok(false)
    }

    /// The reason to report when no further attempt is made.
    fn into_stop_reason(self) -> StopReason {
        if self.answer_lost {
            StopReason::Unknown
        } else {
            self.stop
        }
    }
}

/// Runs the steps of one command.
struct StepRunner<'a> {
    cx: &'a Context<'a>,
    /// Steps that this run has completed, for the report.
    completed: Vec<String>,
}

pub async fn run(cx: &Context<'_>, command: &ControlCommand) -> Result<Exit> {
    let mut runner = StepRunner {
        cx,
        completed: Vec::new(),
    };
    let (result, command_args) = match command {
        ControlCommand::List => {
            return cx.show_result(&GroupView::from(&cx.status().await?.group));
        }
        ControlCommand::Add { address } => {
            let result = runner.add(*address, None).await?;
            (result, command_args!["control", "add", address])
        }
        ControlCommand::Remove { member } => {
            let result = runner.run(GroupRequest::Remove(*member)).await;
            (result, command_args!["control", "remove", member])
        }
        ControlCommand::Replace { member, address } => {
            let result = runner.replace(*member, *address).await?;
            (result, command_args!["control", "replace", member, address])
        }
    };
    Ok(runner.report(result, &command_args))
}

impl StepRunner<'_> {
    /// Makes the blank host at `address` a voter.
    async fn add(
        &mut self,
        address: SocketAddr,
        old: Option<MemberId>,
    ) -> Result<Result<(), StopReason>> {
        let post = self
            .cx
            .http
            .post(address, "/v1/hello", &Hello, self.cx.deadline);
        let hello: HelloReply = post.await.map_err(|e| Error::Hello(address, e))?;
        let group = self.cx.status().await?.group;
        if let Err(stop) = check_admissible(&group, &hello, address, old) {
            return Ok(Err(stop));
        }
        if let Err(stop) = self.run(GroupRequest::AddLearner(hello.id, address)).await {
            return Ok(Err(stop));
        }
        Ok(self.run(GroupRequest::Promote(hello.id)).await)
    }

    async fn replace(
        &mut self,
        old: MemberId,
        address: SocketAddr,
    ) -> Result<Result<(), StopReason>> {
        match self.add(address, Some(old)).await? {
            Ok(()) => Ok(self.run(GroupRequest::Remove(old)).await),
            Err(stop) => Ok(Err(stop)),
        }
    }

    /// Requests one change until the group status shows it.
    ///
    /// Group changes have no id: after a lost answer, only the group status tells
    /// whether the change was made, never the refusal of a second attempt.
    async fn run(&mut self, req: GroupRequest) -> Result<(), StopReason> {
        let mut progress = Progress::default();
        loop {
            let Ok(status) = self.cx.status().await else {
                return Err(progress.into_stop_reason());
            };
            if in_force(&req, &status.group) {
                self.completed
                    .extend(progress.answer_lost.then(|| describe_step(&req)));
                return Ok(());
            }
            if can_request(&req, &status.group) {
                let call = GroupChangeRequest {
                    author: self.cx.author(),
                    change: req,
                };
                let outcome = self.cx.operator.change_group(&call, self.cx.deadline);
                if progress.record(outcome.await)? {
                    self.completed.push(describe_step(&req));
                    return Ok(());
                }
            } else {
                progress.stop = GroupRefusal::NotCaughtUp.into();
            }
            if Instant::now() + POLL_INTERVAL >= self.cx.deadline {
                return Err(progress.into_stop_reason());
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn report(self, result: Result<(), StopReason>, command_args: &[String]) -> Exit {
        let Err(stop) = result else {
            return self
                .cx
                .show_outcome(&self.view("done", None, None), Exit::Done);
        };
        let (outcome, exit) = match stop {
            StopReason::Unknown => ("unknown", Exit::Unknown),
            // Some steps are in force, so the command is not refused as a whole.
            _ if !self.completed.is_empty() => ("incomplete", Exit::Pending),
            StopReason::Unavailable => ("unavailable", Exit::Failed),
            _ => ("refused", Exit::Refused),
        };
        for step in &self.completed {
            print_stderr(step);
        }
        let resume = self.cx.command_line(command_args);
        print_stderr(format_args!(
            "limpetctl: {outcome}: {stop}\nrun again by: {resume}"
        ));
        let view = self.view(outcome, Some(stop.to_string()), Some(resume));
        if let Err(e) = self.cx.out.write_failure(&view) {
            print_stderr(format_args!("limpetctl: {e}"));
        }
        exit
    }

    fn view(
        &self,
        outcome: &'static str,
        reason: Option<String>,
        resume: Option<String>,
    ) -> OutcomeView {
        OutcomeView {
            outcome,
            steps: self.completed.clone(),
            reason,
            resume,
        }
    }
}

/// Checks that a host may join the group, or is a member already.
fn check_admissible(
    group: &GroupReport,
    hello: &HelloReply,
    address: SocketAddr,
    old: Option<MemberId>,
) -> Result<(), StopReason> {
    let member = |id| group.voters.contains_key(id) || group.learners.contains_key(id);
    if old == Some(hello.id) {
        return Err(StopReason::SameMember(address));
    }
    if !hello.blank && !member(&hello.id) {
        return Err(StopReason::NotBlank(address));
    }
    // The old member may be absent only if the new one is a voter: an earlier run
    // removes the old member after that.
    match old {
        Some(old) if !member(&old) && !group.voters.contains_key(&hello.id) => {
            Err(GroupRefusal::NoSuchMember.into())
        }
        _ => Ok(()),
    }
}

/// Whether the group already shows the effect of the request.
fn in_force(req: &GroupRequest, group: &GroupReport) -> bool {
    let votes = |id| group.voters.contains_key(id);
    let member = |id| votes(id) || group.learners.contains_key(id);
    match req {
        GroupRequest::AddLearner(id, _) => member(id),
        GroupRequest::Promote(id) => votes(id),
        GroupRequest::Remove(id) => !member(id),
    }
}

/// Whether the group can accept the request now: a learner is promoted only
/// once it has caught up.
fn can_request(req: &GroupRequest, group: &GroupReport) -> bool {
    match req {
        GroupRequest::Promote(id) => group.caught_up.contains(id),
        _ => true,
    }
}

/// Whether a retry may succeed after this refusal.
fn is_transient(refusal: GroupRefusal) -> bool {
    matches!(refusal, GroupRefusal::Busy | GroupRefusal::NotCaughtUp)
}

fn describe_step(req: &GroupRequest) -> String {
    match req {
        GroupRequest::AddLearner(id, address) => format!("added {id} at {address} as a learner"),
        GroupRequest::Promote(id) => format!("made {id} a voter"),
        GroupRequest::Remove(id) => format!("removed {id}"),
    }
}
