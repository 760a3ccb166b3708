//! The task that counts what happened and judges it.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::mpsc;

use super::Outcome;

/// Time around an unplanned event in which a flow that stands still is put
/// down to it.
const BEFORE: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_secs(5);

/// Something that happened.
#[derive(Debug)]
pub enum Note {
    /// A request was sent.
    Sent,
    /// Its whole answer came.
    Answered,
    /// No connection came about, so it was not sent.
    NotConnected,
    /// It was refused as not run; the id if it is a claim.
    NotRun(Option<Bytes>),
    /// Its answer is lost.
    Unknown,
    /// An answer that the upstream broke off did not pass as whole.
    SeenAsCut,
    /// No more requests begin.
    Stopping,
    /// A flow broke.
    Broken(Break),
    /// An answer was not the one to the request, or was cut and passed as
    /// whole.
    Wrong(String),
    /// A planned or an unplanned event is over.
    Event(Event),
    /// A process that was to end gracefully did not.
    NotGraceful(String),
}

/// A flow that broke.
#[derive(Debug)]
pub struct Break {
    /// When it last got something.
    pub at: Instant,
    /// Whether the other side closed the connection.
    pub closed: bool,
    /// What the caller saw.
    pub what: String,
}

/// An event of the schedule.
#[derive(Debug, Clone)]
pub struct Event {
    /// What happened to what.
    pub what: String,
    /// Whether nothing may break by it.
    pub planned: bool,
    /// When it began.
    pub from: Instant,
    /// When everything ran again.
    pub until: Instant,
}

/// Counts notes.
#[derive(Debug, Default)]
pub struct Tally {
    sent: u64,
    answered: u64,
    not_connected: u64,
    not_run: u64,
    unknown: u64,
    seen_as_cut: u64,
    stopping: bool,
    not_run_claims: BTreeSet<Bytes>,
    broken: Vec<Break>,
    wrong: Vec<String>,
    events: Vec<Event>,
    not_graceful: Vec<String>,
    last_answer: Option<Instant>,
    longest_gap: Duration,
}

/// What a run showed: each figure with its name, and whether any breaks a
/// promise.
#[derive(Debug)]
pub struct Figures {
    /// Name and value, in the order of the report.
    pub rows: Vec<(&'static str, u64)>,
    /// Details of what is not as it should be.
    pub details: Vec<String>,
    /// Whether every promise held.
    pub passed: bool,
}

impl Tally {
    /// Counts until the last sender is gone.
    pub async fn run(mut self, mut notes: mpsc::Receiver<Note>) -> Tally {
        while let Some(note) = notes.recv().await {
            self.count(note);
        }
        self
    }

    fn count(&mut self, note: Note) {
        match note {
            Note::Sent => self.sent += 1,
            Note::Answered => {
                self.answered += 1;
                let now = Instant::now();
                let gap = self.last_answer.map_or(Duration::ZERO, |last| now - last);
                if !self.stopping {
                    self.longest_gap = self.longest_gap.max(gap);
                }
                self.last_answer = Some(now);
            }
            Note::NotConnected => self.not_connected += 1,
            Note::NotRun(claim) => {
                self.not_run += 1;
                self.not_run_claims.extend(claim);
            }
            Note::Unknown => self.unknown += 1,
            Note::SeenAsCut => self.seen_as_cut += 1,
            Note::Stopping => self.stopping = true,
            Note::Broken(broken) => self.broken.push(broken),
            Note::Wrong(what) => self.wrong.push(what),
            Note::Event(event) => self.events.push(event),
            Note::NotGraceful(what) => self.not_graceful.push(what),
        }
    }

    /// Judges the run by how often each claim has run and by the changes.
    #[must_use]
    pub fn judge(&self, runs: &BTreeMap<Bytes, u64>, changes: &Outcome) -> Figures {
        let count = |n: usize| n as u64;
        let doubled = count(runs.values().filter(|runs| **runs > 1).count());
        let ran: Vec<_> = self
            .not_run_claims
            .iter()
            .filter(|id| runs.contains_key(*id))
            .collect();
        let (by_unplanned, by_planned): (Vec<_>, Vec<_>) = self
            .broken
            .iter()
            .partition(|broken| self.is_unplanned(broken));
        let planned = self.events.iter().filter(|event| event.planned).count();
        let mut details: Vec<String> = self.wrong.clone();
        details.extend(ran.iter().map(|id| format!("said not-run but ran: {id:?}")));
        details.extend(by_planned.iter().map(|broken| self.describe(broken)));
        details.extend(self.not_graceful.clone());
        details.extend(changes.details.clone());
        let passed = doubled == 0
            && ran.is_empty()
            && self.wrong.is_empty()
            && changes.lost == 0
            && by_planned.is_empty();
        let gap = u64::try_from(self.longest_gap.as_millis()).unwrap_or(u64::MAX);
        let rows = vec![
            ("requests", self.sent),
            ("answered", self.answered),
            ("refused as not run", self.not_run),
            ("not connected", self.not_connected),
            ("unknown", self.unknown),
            ("cut by the upstream and seen as cut", self.seen_as_cut),
            ("claims that ran", count(runs.len())),
            ("claims that ran more than once", doubled),
            ("claims said not-run that ran", count(ran.len())),
            (
                "answers mixed, or cut and passed as whole",
                count(self.wrong.len()),
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
                count(self.not_graceful.len()),
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

    /// What broke, and the events around it.
    fn describe(&self, Break { at, what, .. }: &Break) -> String {
        let around = |event: &&Event| event.from <= *at + AFTER && *at <= event.until + AFTER;
        let near = self.events.iter().filter(around);
        let near: Vec<_> = near.map(|event| event.what.as_str()).collect();
        format!("broken: {what}; near: {}", near.join(", "))
    }

    /// Whether a flow may have broken by an unplanned event. A process that is
    /// killed or frozen closes no connection.
    fn is_unplanned(&self, broken: &Break) -> bool {
        let at = broken.at;
        let mut unplanned = self.events.iter().filter(|event| !event.planned);
        !broken.closed
            && unplanned.any(|event| event.from <= at + BEFORE && at <= event.until + AFTER)
    }
}
