//! Exchanges of operators.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use serde::{Serialize, de::DeserializeOwned};
use types::ChangeRequest;
use wire::request::ChangeReply;

use crate::{Category, Http, Result};

/// Time for one host to answer, before the next is tried.
const ATTEMPT: Duration = Duration::from_secs(2);

/// Pause between two rounds over the hosts.
const PAUSE: Duration = Duration::from_millis(100);

/// A reply that may point to the leader.
pub trait Redirect {
    /// Whether the host declined to answer, so that another should be asked.
    fn declined(&self) -> bool;

    /// The leader that the host named.
    fn leader(&self) -> Option<SocketAddr>;
}

/// Sends operators' requests to the leader of the control group.
#[derive(Clone)]
pub struct Operator {
    http: Http,
    /// The control hosts; never empty.
    control: Vec<SocketAddr>,
}

impl Operator {
    /// Creates a client for the control group at `control`.
    #[must_use]
    pub fn new(http: Http, control: Vec<SocketAddr>) -> Self {
        Operator { http, control }
    }

    /// Sends a change until it has a final answer or the deadline passes.
    ///
    /// The change keeps its id over all attempts, so it takes effect at most
    /// once. [`ChangeReply::Unavailable`] is returned only when no host can
    /// have received the change, [`ChangeReply::Unknown`] when one may have.
    pub async fn change(&self, req: &ChangeRequest, deadline: Instant) -> ChangeReply {
        let mut sent = false;
        let mut hint = None;
        loop {
            for host in self.candidates(hint.take()) {
                match self.attempt(host, "/v1/change", req, deadline).await {
                    Ok(ChangeReply::Final(answer)) => return ChangeReply::Final(answer),
                    Ok(ChangeReply::NotLeader { leader }) => hint = leader,
                    Ok(ChangeReply::Unavailable) => {}
                    Ok(ChangeReply::Unknown) => sent = true,
                    Err(e) => sent |= e.category() != Category::NotSent,
                }
                if hint.is_some() {
                    break;
                }
            }
            if Instant::now() + PAUSE >= deadline {
                return if sent {
                    ChangeReply::Unknown
                } else {
                    ChangeReply::Unavailable
                };
            }
            sleep(PAUSE).await;
        }
    }

    /// Sends a query until a host answers it or the deadline passes.
    ///
    /// # Errors
    ///
    /// No host answered by the deadline.
    pub async fn query<Message, Reply>(
        &self,
        path: &str,
        message: &Message,
        deadline: Instant,
    ) -> Result<Reply>
    where
        Message: Serialize,
        Reply: DeserializeOwned + Redirect,
    {
        let mut hint = None;
        loop {
            let mut last = None;
            for host in self.candidates(hint.take()) {
                let reply: Result<Reply> = self.attempt(host, path, message, deadline).await;
                match reply {
                    Ok(reply) if !reply.declined() => return Ok(reply),
                    Ok(reply) => hint = reply.leader(),
                    Err(e) => last = Some(e),
                }
                if hint.is_some() {
                    break;
                }
            }
            if Instant::now() + PAUSE >= deadline {
                return match last {
                    Some(e) => Err(e),
                    None => Err(crate::error::ErrorKind::NoLeader.into()),
                };
            }
            sleep(PAUSE).await;
        }
    }

    fn candidates(&self, hint: Option<SocketAddr>) -> impl Iterator<Item = SocketAddr> {
        hint.into_iter().chain(self.control.clone())
    }

    async fn attempt<Message: Serialize, Reply: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        message: &Message,
        deadline: Instant,
    ) -> Result<Reply> {
        let deadline = deadline.min(Instant::now() + ATTEMPT);
        self.http.post(host, path, message, deadline).await
    }
}

impl Redirect for wire::request::QueryReply {
    fn declined(&self) -> bool {
        matches!(self, Self::NotLeader { .. } | Self::Unsettled)
    }

    fn leader(&self) -> Option<SocketAddr> {
        match self {
            Self::NotLeader { leader } => *leader,
            _ => None,
        }
    }
}
