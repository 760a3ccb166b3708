//! The race between a request and its hedge.

use std::{cell::Cell, future::Future, pin::pin, time::Instant};

use admit::Progress;
use futures_util::future::{Either, select};
use tokio::time::sleep_until;
use types::ClassName;

use super::AttemptError;
use crate::process::{AdmissionCommand, AdmissionHandle, HedgeReply, PeerSlot};

/// The response that a request gets.
#[derive(Debug, PartialEq, Eq)]
pub enum Winner<T> {
    /// The one of the agent's own upstream.
    Primary(T),
    /// The one of a peer. The request to the own upstream failed or, with `None`,
    /// was cancelled.
    Hedge(T, Option<AttemptError>),
}

/// How a race ended.
#[derive(Debug, PartialEq, Eq)]
pub struct RaceEnd<T> {
    /// The response.
    pub result: Result<Winner<T>, AttemptError>,
    /// Value of the metrics' label; `None` if the hedge was not due.
    pub label: Option<&'static str>,
}

/// A request that is hedged once it is due. The first complete response wins and the
/// other request is cancelled; cancelling the race cancels both.
#[derive(Debug, Clone, Copy)]
pub struct HedgeRace<'a> {
    /// The task that decides on hedges.
    pub admission: &'a AdmissionHandle,
    /// Class of the request.
    pub class: &'a ClassName,
    /// When to ask for a hedge.
    pub due: Instant,
}

/// Why a hedge gave no response.
struct HedgeFailure {
    label: &'static str,
    /// Whether an upstream may have run it.
    may_have_run: bool,
}

impl HedgeFailure {
    fn not_run(label: &'static str) -> Self {
        HedgeFailure {
            label,
            may_have_run: false,
        }
    }

    /// The error of a request of which both copies failed. It was not run only if neither
    /// copy was.
    fn join(&self, primary: AttemptError) -> AttemptError {
        let progress = match primary.progress {
            Progress::NotStarted if self.may_have_run => Progress::Started,
            progress => progress,
        };
        AttemptError {
            progress,
            ..primary
        }
    }
}

impl HedgeRace<'_> {
    /// Runs `primary` and, once due, `hedge` with the slot that a peer has reserved.
    /// `complete` reads the response of a primary that was due for a hedge.
    pub async fn run<T, H>(
        self,
        primary: impl Future<Output = Result<T, AttemptError>>,
        complete: impl AsyncFnOnce(T) -> Result<T, AttemptError>,
        hedge: impl FnOnce(PeerSlot) -> H,
    ) -> RaceEnd<T>
    where
        H: Future<Output = Result<T, AttemptError>>,
    {
        let mut primary = pin!(primary);
        let before_hedge = tokio::select! {
            biased;
            result = &mut primary => Some(result),
            () = sleep_until(self.due.into()) => None,
        };
        if let Some(result) = before_hedge {
            return RaceEnd {
                result: result.map(Winner::Primary),
                label: None,
            };
        }
        let sent = Cell::new(false);
        let first = pin!(async { complete(primary.await?).await });
        let second = pin!(self.hedge(&sent, hedge));
        // The request that is still running is cancelled when it is dropped.
        let (result, label) = match select(first, second).await {
            Either::Left((Ok(response), _)) => {
                let label = if sent.get() { "lost" } else { "not_needed" };
                (Ok(Winner::Primary(response)), label)
            }
            Either::Left((Err(error), second)) => match second.await {
                Ok(response) => (Ok(Winner::Hedge(response, Some(error))), "won"),
                Err(failure) => (Err(failure.join(error)), failure.label),
            },
            Either::Right((Ok(response), _)) => (Ok(Winner::Hedge(response, None)), "won"),
            Either::Right((Err(failure), first)) => {
                let result = first.await.map_err(|error| failure.join(error));
                (result.map(Winner::Primary), failure.label)
            }
        };
        RaceEnd {
            result,
            label: Some(label),
        }
    }

    /// Asks for a slot at a peer and sends the request there.
    async fn hedge<T, H>(
        self,
        sent: &Cell<bool>,
        hedge: impl FnOnce(PeerSlot) -> H,
    ) -> Result<T, HedgeFailure>
    where
        H: Future<Output = Result<T, AttemptError>>,
    {
        let class = self.class.clone();
        let reply = self
            .admission
            .ask(|tx| AdmissionCommand::Hedge(class, tx))
            .await;
        let mut slot = match reply {
            Some(HedgeReply::Send(slot)) => slot,
            Some(HedgeReply::Denied(denial)) => {
                return Err(HedgeFailure::not_run(denial.label()));
            }
            Some(HedgeReply::PeerRefused) | None => {
                return Err(HedgeFailure::not_run("peer_refused"));
            }
        };
        sent.set(true);
        let result = hedge(slot.send()).await;
        if result.is_ok() {
            slot.answered();
        }
        result.map_err(|error| HedgeFailure {
            label: "failed",
            may_have_run: error.progress != Progress::NotStarted,
        })
    }
}
