//! The task that collects the observations of a run and evaluates them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::mpsc;

use super::ChangeOutcomes;

/// A flow whose last data arrived between `ATTRIBUTION_BEFORE` the start of an
/// unplanned event and `ATTRIBUTION_AFTER` its end counts as broken by it.
const ATTRIBUTION_BEFORE: Duration = Duration::from_millis(500);
const ATTRIBUTION_AFTER: Duration = Duration::from_secs(5);

/// An observation that a task of the run reports.
#[derive(Debug)]
pub enum Observation {
    /// A request was sent.
    Sent,
    /// The complete answer to a request arrived.
    Answered,
    /// The connection for a request could not be opened, so it was not sent.
    NotConnected,
    /// A request was refused as not run, with the id if it was a claim.
    NotRun(Option<Bytes>),
    /// The outcome of a request is unknown.
    Unknown,
    /// The caller detected that the upstream truncated the answer.
    TruncationDetected,
    /// No more requests are started.
    Stopping,
    /// A flow broke before its answer was complete.
    FlowBroken(BrokenFlow),
    /// An answer belongs to another request, or was truncated and looked
    /// complete to the caller.
    WrongAnswer(String),
    /// A planned or unplanned event is over.
    Event(Event),
    /// A process did not exit gracefully after SIGTERM.
    UngracefulExit(String),
}

/// A flow that broke before its answer was complete.
#[derive(Debug)]
pub struct BrokenFlow {
    /// When the caller last received data.
    pub last_received_at: Instant,
    /// Whether the peer closed the connection.
    pub closed_by_peer: bool,
    /// Kind of request and error at the caller.
    pub description: String,
}

/// An event that the run caused.
#[derive(Debug, Clone)]
pub struct Event {
    /// Kind of event and process.
    pub description: String,
    /// Whether the event is planned, so that it must break no flow.
    pub planned: bool,
    /// When the event started.
    pub started_at: Instant,
    /// When the process took part in the site again.
    pub ended_at: Instant,
}

/// Counts of the observations of a run.
#[derive(Debug, Default)]
pub struct Tally {
    sent: u64,
    answered: u64,
    not_connected: u64,
    not_run: u64,
    unknown: u64,
    truncations_detected: u64,
    stopping: bool,
    not_run_claims: BTreeSet<Bytes>,
    broken_flows: Vec<BrokenFlow>,
    wrong_answers: Vec<String>,
    events: Vec<Event>,
    ungraceful_exits: Vec<String>,
    last_answer: Option<Instant>,
    longest_gap: Duration,
}

/// Results of a run: the figures with their names, and whether the guarantees
/// held.
#[derive(Debug)]
pub struct Figures {
    /// Name and value, in the order of the report.
    pub rows: Vec<(&'static str, u64)>,
    /// Description of each violation.
    pub details: Vec<String>,
    /// Whether every guarantee held.
    pub passed: bool,
}

impl Tally {
    /// Collects observations until the last sender is dropped.
    pub async fn run(mut self, mut observations: mpsc::Receiver<Observation>) -> Tally {
        while let Some(observation) = observations.recv().await {
            self.count(observation);
        }
        self
    }

    fn count(&mut self, observation: Observation) {
        match observation {
            Observation::Sent => self.sent += 1,
            Observation::Answered => {
                self.answered += 1;
                let now = Instant::now();
                let gap = self.last_answer.map_or(Duration::ZERO, |last| now - last);
                if !self.stopping {
                    self.longest_gap = self.longest_gap.max(gap);
                }
                self.last_answer = Some(now);
            }
            Observation::NotConnected => self.not_connected += 1,
            Observation::NotRun(claim) => {
                self.not_run += 1;
                self.not_run_claims.extend(claim);
            }
            Observation::Unknown => self.unknown += 1,
            Observation::TruncationDetected => self.truncations_detected += 1,
            Observation::Stopping => self.stopping = true,
            Observation::FlowBroken(broken) => self.broken_flows.push(broken),
            Observation::WrongAnswer(what) => self.wrong_answers.push(what),
            Observation::Event(event) => self.events.push(event),
            Observation::UngracefulExit(what) => self.ungraceful_exits.push(what),
        }
    }

    /// Evaluates the run, given the number of runs of each claim and the outcomes
    /// of the changes.
    #[must_use]
    pub fn evaluate(&self, runs: &BTreeMap<Bytes, u64>, changes: &ChangeOutcomes) -> Figures {
        let count = |n: usize| n as u64;
        let ran_repeatedly = count(runs.values().filter(|runs| **runs > 1).count());
        let not_run_but_ran: Vec<_> = self
            .not_run_claims
            .iter()
            .filter(|id| runs.contains_key(*id))
            .collect();
        let (by_unplanned, by_planned): (Vec<_>, Vec<_>) = self
            .broken_flows
            .iter()
            .partition(|broken| self.is_unplanned(broken));
        let planned = self.events.iter().filter(|event| event.planned).count();
        let mut details: Vec<String> = self.wrong_answers.clone();
        details.extend(
            not_run_but_ran
                .iter()
                .map(|id| format!("said not-run but ran: {id:?}")),
        );
        details.extend(by_planned.iter().map(|broken| self.describe(broken)));
        details.extend(self.ungraceful_exits.clone());
        details.extend(changes.details.clone());
        let passed = ran_repeatedly == 0
            && not_run_but_ran.is_empty()
            && self.wrong_answers.is_empty()
            && changes.lost == 0
            && by_planned.is_empty();
        let gap = u64::try_from(self.longest_gap.as_millis()).unwrap_or(u64::MAX);
        let rows = vec![
            ("requests", self.sent),
            ("answered", self.answered),
            ("refused as not run", self.not_run),
            ("not connected", self.not_connected),
            ("unknown", self.unknown),
            (
                "cut by the upstream and seen as cut",
                self.truncations_detected,
            ),
            ("claims that ran", count(runs.len())),
            ("claims that ran more than once", ran_repeatedly),
            ("claims said not-run that ran", count(not_run_but_ran.len())),
            (
                "answers mixed, or cut and passed as whole",
                count(self.wrong_answers.len()),
            ),
            ("planned events", count(planned)),
            ("unplanned events", count(self.events.len() - planned)),
            ("flows broken by planned events", count(by_planned.len())),
            (
                "flows broken by unplanned events",
                count(by_unplanned.len()),
            ),
            (
                "processes that did not end gracefully",
                count(self.ungraceful_exits.len()),
            ),
            ("changes accepted", changes.accepted),
            ("changes refused or in conflict", changes.refused),
            ("changes without an answer", changes.unknown),
            ("accepted changes lost", changes.lost),
            ("longest time without an answer in ms", gap),
        ];
        Figures {
            rows,
            details,
            passed,
        }
    }

    /// Describes a broken flow and lists the events around it.
    fn describe(
        &self,
        BrokenFlow {
            last_received_at,
            description,
            ..
        }: &BrokenFlow,
    ) -> String {
        let around = |event: &&Event| {
            event.started_at <= *last_received_at + ATTRIBUTION_AFTER
                && *last_received_at <= event.ended_at + ATTRIBUTION_AFTER
        };
        let near = self.events.iter().filter(around);
        let near: Vec<_> = near.map(|event| event.description.as_str()).collect();
        format!("broken: {description}; near: {}", near.join(", "))
    }

    /// Whether an unplanned event can have broken the flow. This excludes flows
    /// that the peer closed, because a process that is killed or paused closes
    /// no connection.
    fn is_unplanned(&self, broken: &BrokenFlow) -> bool {
        let at = broken.last_received_at;
        let mut unplanned = self.events.iter().filter(|event| !event.planned);
        !broken.closed_by_peer
            && unplanned.any(|event| {
                event.started_at <= at + ATTRIBUTION_BEFORE
                    && at <= event.ended_at + ATTRIBUTION_AFTER
            })
    }
}
