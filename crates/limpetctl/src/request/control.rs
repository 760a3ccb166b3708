//! Members of the control group.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use client::GroupOutcome;
use serde::Serialize;
use types::MemberId;
use wire::request::{
    GroupChangeRequest, GroupRefusal, GroupReport, GroupRequest, Hello, HelloReply,
};

use super::{Context, resend::words};
use crate::{
    error::{Error, Result},
    process::{ControlCommand, Exit, Report, message},
    version::GroupView,
};

/// Pause between two looks at the group.
const POLL: Duration = Duration::from_millis(200);

/// Why a command ended before the group was as asked.
#[derive(Debug, thiserror::Error)]
enum Stop {
    #[error(transparent)]
    Refused(#[from] GroupRefusal),
    #[error("the host at {0} was part of a group before; stop it, empty its data folder, start it")]
    NotBlank(SocketAddr),
    #[error("the host at {0} is the member that is to be replaced")]
    Same(SocketAddr),
    #[error("no control host took the change; check that a majority of the group runs")]
    Unavailable,
    #[error("the answer is lost; the same command sees what became of it and goes on from there")]
    Unknown,
}

/// Outcome of a change of the group.
#[derive(Debug, Serialize)]
struct OutcomeView {
    /// `done`, `refused`, `unavailable`, `incomplete` or `unknown`.
    outcome: &'static str,
    /// The steps that are in force.
    steps: Vec<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<String>,
    /// The command that goes on.
    #[serde(skip_serializing_if = "Option::is_none")]
    resume: Option<String>,
}

impl Report for OutcomeView {
    fn text(&self) -> String {
        if self.steps.is_empty() {
            return "nothing to do: the group is already as asked".to_owned();
        }
        self.steps.join("\n")
    }
}

/// How far one change of the group has come.
struct Course {
    /// Whether a request was sent whose answer is lost.
    sent: bool,
    /// Why the change was not made so far.
    stop: Stop,
}

impl Default for Course {
    fn default() -> Self {
        Course {
            sent: false,
            stop: Stop::Unavailable,
        }
    }
}

impl Course {
    /// Notes the outcome of an attempt; `true` if the change is in force.
    fn note(&mut self, outcome: GroupOutcome) -> Result<bool, Stop> {
        match outcome {
            GroupOutcome::Done => return Ok(true),
            GroupOutcome::Unknown => self.sent = true,
            GroupOutcome::Unavailable => self.stop = Stop::Unavailable,
            GroupOutcome::Refused(refusal) if self.sent || passes(refusal) => {
                self.stop = refusal.into();
            }
            GroupOutcome::Refused(refusal) => return Err(refusal.into()),
        }
        Ok(false)
    }

    /// Why the change ends here.
    fn end(self) -> Stop {
        if self.sent { Stop::Unknown } else { self.stop }
    }
}

/// The steps of one command.
struct Steps<'a> {
    cx: &'a Context<'a>,
    /// Steps that this run has made, for the report.
    made: Vec<String>,
}

pub async fn run(cx: &Context<'_>, command: &ControlCommand) -> Result<Exit> {
    let mut steps = Steps {
        cx,
        made: Vec::new(),
    };
    let (ended, words) = match command {
        ControlCommand::List => {
            return cx.show(&GroupView::from(&cx.status().await?.group));
        }
        ControlCommand::Add { address } => {
            let ended = steps.add(*address, None).await?;
            (ended, words!["control", "add", address])
        }
        ControlCommand::Remove { member } => {
            let ended = steps.run(GroupRequest::Remove(*member)).await;
            (ended, words!["control", "remove", member])
        }
        ControlCommand::Replace { member, address } => {
            let ended = steps.replace(*member, *address).await?;
            (ended, words!["control", "replace", member, address])
        }
    };
    Ok(steps.report(ended, &words))
}

impl Steps<'_> {
    /// Makes the blank host at `address` a voter.
    async fn add(
        &mut self,
        address: SocketAddr,
        old: Option<MemberId>,
    ) -> Result<Result<(), Stop>> {
        let post = self
            .cx
            .http
            .post(address, "/v1/hello", &Hello, self.cx.deadline);
        let hello: HelloReply = post.await.map_err(|e| Error::Hello(address, e))?;
        let group = self.cx.status().await?.group;
        if let Err(stop) = admissible(&group, &hello, address, old) {
            return Ok(Err(stop));
        }
        if let Err(stop) = self.run(GroupRequest::AddLearner(hello.id, address)).await {
            return Ok(Err(stop));
        }
        Ok(self.run(GroupRequest::Promote(hello.id)).await)
    }

    async fn replace(&mut self, old: MemberId, address: SocketAddr) -> Result<Result<(), Stop>> {
        match self.add(address, Some(old)).await? {
            Ok(()) => Ok(self.run(GroupRequest::Remove(old)).await),
            Err(stop) => Ok(Err(stop)),
        }
    }

    /// Asks for one change until the group shows it.
    ///
    /// Group changes have no id: after a lost answer only the group itself
    /// tells what became of the change, never the refusal of a second attempt.
    async fn run(&mut self, req: GroupRequest) -> Result<(), Stop> {
        let mut course = Course::default();
        loop {
            let Ok(status) = self.cx.status().await else {
                return Err(course.end());
            };
            if in_force(&req, &status.group) {
                self.made.extend(course.sent.then(|| describe(&req)));
                return Ok(());
            }
            if ready(&req, &status.group) {
                let call = GroupChangeRequest {
                    author: self.cx.author(),
                    change: req,
                };
                let outcome = self.cx.operator.change_group(&call, self.cx.deadline);
                if course.note(outcome.await)? {
                    self.made.push(describe(&req));
                    return Ok(());
                }
            } else {
                course.stop = GroupRefusal::NotCaughtUp.into();
            }
            if Instant::now() + POLL >= self.cx.deadline {
                return Err(course.end());
            }
            sleep(POLL).await;
        }
    }

    fn report(self, ended: Result<(), Stop>, words: &[String]) -> Exit {
        let Err(stop) = ended else {
            return self.cx.outcome(&self.view("done", None, None), Exit::Done);
        };
        let (outcome, exit) = match stop {
            Stop::Unknown => ("unknown", Exit::Unknown),
            // Some of the steps are in force, so this is no plain refusal.
            _ if !self.made.is_empty() => ("incomplete", Exit::Pending),
            Stop::Unavailable => ("unavailable", Exit::Failed),
            _ => ("refused", Exit::Refused),
        };
        for step in &self.made {
            message(step);
        }
        let resume = self.cx.command_line(words);
        message(format_args!(
            "limpetctl: {outcome}: {stop}\nrun again by: {resume}"
        ));
        let view = self.view(outcome, Some(stop.to_string()), Some(resume));
        if let Err(e) = self.cx.out.failure(&view) {
            message(format_args!("limpetctl: {e}"));
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
            steps: self.made.clone(),
            reason,
            resume,
        }
    }
}

/// Checks that a host may join, or has joined already.
fn admissible(
    group: &GroupReport,
    hello: &HelloReply,
    address: SocketAddr,
    old: Option<MemberId>,
) -> Result<(), Stop> {
    let member = |id| group.voters.contains_key(id) || group.learners.contains_key(id);
    if old == Some(hello.id) {
        return Err(Stop::Same(address));
    }
    if !hello.blank && !member(&hello.id) {
        return Err(Stop::NotBlank(address));
    }
    // An earlier run removes the old member only after the new one votes.
    match old {
        Some(old) if !member(&old) && !group.voters.contains_key(&hello.id) => {
            Err(GroupRefusal::NoSuchMember.into())
        }
        _ => Ok(()),
    }
}

/// Whether the group already is as the request asks.
fn in_force(req: &GroupRequest, group: &GroupReport) -> bool {
    let votes = |id| group.voters.contains_key(id);
    let member = |id| votes(id) || group.learners.contains_key(id);
    match req {
        GroupRequest::AddLearner(id, _) => member(id),
        GroupRequest::Promote(id) => votes(id),
        GroupRequest::Remove(id) => !member(id),
    }
}

/// Whether the request can be made now.
fn ready(req: &GroupRequest, group: &GroupReport) -> bool {
    match req {
        GroupRequest::Promote(id) => group.caught_up.contains(id),
        _ => true,
    }
}

/// Whether a refusal ends by itself.
fn passes(refusal: GroupRefusal) -> bool {
    matches!(refusal, GroupRefusal::Busy | GroupRefusal::NotCaughtUp)
}

fn describe(req: &GroupRequest) -> String {
    match req {
        GroupRequest::AddLearner(id, address) => format!("added {id} at {address} as a learner"),
        GroupRequest::Promote(id) => format!("made {id} a voter"),
        GroupRequest::Remove(id) => format!("removed {id}"),
    }
}
