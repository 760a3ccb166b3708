//! Hedging of one request.

use std::{
    cell::Cell,
    future::Future,
    pin::{Pin, pin},
};

use admit::{Failure, Progress};
use futures_util::future::{Either, select};
use hedge::Repeatable;
use http_body::Body;
use tokio::time::sleep_until;

use super::{AttemptError, ForwardTarget, ForwardedResponse, handle::CallerRequest};
use crate::process::{AdmissionCommand, HedgeReply, HedgeTimer, PeerSlot};

/// Largest part of a response body that is read before the response counts as
/// complete. It bounds the memory of a hedged request.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// The response that a request gets.
pub(super) enum Winner {
    /// The one of the agent's own upstream.
    Primary(ForwardedResponse),
    /// The one of a peer. The request to the own upstream failed or, with `None`,
    /// was cancelled.
    Hedge(ForwardedResponse, Option<AttemptError>),
}

impl CallerRequest {
    /// Whether the request may run at two upstreams at once. Idempotent methods that
    /// change something are excluded: the losing copy could run after a later
    /// request of the caller and undo it.
    pub(super) fn repeatable(&self) -> Repeatable {
        if self.method.is_safe() && self.body.is_end_stream() {
            Repeatable::Yes
        } else {
            Repeatable::No
        }
    }

    /// Sends the request to the own upstream and, once the timer is due, possibly
    /// to a peer. The first complete response wins and the other request is
    /// cancelled.
    pub(super) async fn forward_or_hedge(
        &self,
        hedge: Option<HedgeTimer>,
    ) -> Result<Winner, AttemptError> {
        let mut primary = pin!(self.forward_to_upstream());
        let due = hedge.and_then(|timer| timer.due);
        let before_hedge = match due {
            None => Some(primary.as_mut().await),
            Some(due) => tokio::select! {
                biased;
                result = &mut primary => Some(result),
                () = sleep_until(due.into()) => None,
            },
        };
        let result = match before_hedge {
            Some(result) => result.map(Winner::Primary),
            None => self.race(primary).await,
        };
        if hedge.is_some() && result.is_ok() {
            let waited = self.started_at.elapsed();
            let answered = AdmissionCommand::Answered(self.class.clone(), waited);
            self.cx.admission.send(answered);
        }
        result
    }

    async fn race(
        &self,
        primary: Pin<&mut impl Future<Output = Result<ForwardedResponse, AttemptError>>>,
    ) -> Result<Winner, AttemptError> {
        let sent = Cell::new(false);
        let first = pin!(async { read_ahead(primary.await?).await });
        let second = pin!(self.send_hedge(&sent));
        // The request that is still running is cancelled when it is dropped.
        match select(first, second).await {
            Either::Left((Ok(forwarded), _)) => {
                self.count_hedge(if sent.get() { "lost" } else { "not_needed" });
                Ok(Winner::Primary(forwarded))
            }
            Either::Left((Err(attempt_error), second)) => match second.await {
                Ok(forwarded) => {
                    self.count_hedge("won");
                    Ok(Winner::Hedge(forwarded, Some(attempt_error)))
                }
                Err(result) => {
                    self.count_hedge(result);
                    Err(attempt_error)
                }
            },
            Either::Right((Ok(forwarded), _)) => {
                self.count_hedge("won");
                Ok(Winner::Hedge(forwarded, None))
            }
            Either::Right((Err(result), first)) => {
                self.count_hedge(result);
                first.await.map(Winner::Primary)
            }
        }
    }

    /// Sends the request to a peer that reserves a slot for it. Fails with the
    /// metrics' label.
    async fn send_hedge(&self, sent: &Cell<bool>) -> Result<ForwardedResponse, &'static str> {
        let class = self.class.clone();
        let reply = self
            .cx
            .admission
            .ask(|tx| AdmissionCommand::Hedge(class, tx));
        let slot = match reply.await {
            Some(HedgeReply::Send(slot)) => slot,
            Some(HedgeReply::Denied(denial)) => return Err(denial.label()),
            Some(HedgeReply::PeerRefused) | None => return Err("peer_refused"),
        };
        let PeerSlot {
            upstream,
            peer,
            reservation,
        } = slot;
        log::debug!(event = "hedge_sent", class:% = self.class, upstream:% = upstream; "request sent to a second upstream");
        sent.set(true);
        let target = ForwardTarget::Peer {
            peer,
            upstream,
            service: self.service,
            reservation,
        };
        let forwarded = self
            .forwarded_request(target)
            .send_to_peer(self.cx.credentials.as_ref())
            .await
            .map_err(|_| "failed")?;
        // An error of the second upstream must not replace the response that the
        // first one may still give.
        if forwarded.response.status().is_server_error() {
            return Err("failed");
        }
        read_ahead(forwarded).await.map_err(|_| "failed")
    }

    fn count_hedge(&self, result: &'static str) {
        self.cx.metrics.count_hedge(self.class.as_str(), result);
    }
}

async fn read_ahead(mut forwarded: ForwardedResponse) -> Result<ForwardedResponse, AttemptError> {
    let body = forwarded.response.body_mut();
    match body.read_ahead(MAX_READ_AHEAD_BYTES).await {
        Ok(()) => Ok(forwarded),
        Err(_) => Err(AttemptError {
            progress: Progress::Started,
            failure: Failure::Broken,
        }),
    }
}
