//! Requests of operators to the control group.

mod host_round;
mod redirect;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use host_round::HostRound;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout_at};
use types::ChangeRequest;
use wire::request::{ChangeReply, GroupChangeRequest, GroupRefusal, GroupReply};

pub use redirect::Redirect;

use crate::{Category, HttpClient, Result, error::ErrorKind};

/// Timeout of a request to one host, after which the next host is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay between two rounds over the hosts.
const ROUND_DELAY: Duration = Duration::from_millis(100);

/// Outcome of a membership change of the control group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GroupChangeOutcome {
    /// The change is in force.
    Done,
    /// The change was refused and has no effect.
    Refused(GroupRefusal),
    /// No host can have received the change.
    Unavailable,
    /// The change may or may not take effect.
    Unknown,
}

/// Sends operators' requests to the leader of the control group.
#[derive(Clone)]
pub struct OperatorClient {
    http: HttpClient,
    /// The control hosts; never empty.
    control_hosts: Vec<SocketAddr>,
}

impl OperatorClient {
    /// Creates a client for the control group at `control`.
    #[must_use]
    pub fn new(http: HttpClient, control_hosts: Vec<SocketAddr>) -> Self {
        OperatorClient {
            http,
            control_hosts,
        }
    }

    /// Sends a change until there is a final answer or the deadline passes.
    ///
    /// The change keeps its id over all attempts, so it takes effect at most
    /// once. [`ChangeReply::Unavailable`] is returned only when no host can
    /// have received the change, [`ChangeReply::Unknown`] when one may have.
    /// The id must never have been sent before; see [`OperatorClient::resend`].
    pub async fn change(&self, req: &ChangeRequest, deadline: Instant) -> ChangeReply {
        self.send_change(req, deadline, false).await
    }

    /// Sends a change that may have been sent before, by this process or by
    /// an earlier one.
    ///
    /// Without a final answer the outcome is [`ChangeReply::Unknown`], even
    /// if no host can be reached now: the earlier attempt may take effect.
    pub async fn resend(&self, req: &ChangeRequest, deadline: Instant) -> ChangeReply {
        self.send_change(req, deadline, true).await
    }

    async fn send_change(
        &self,
        req: &ChangeRequest,
        deadline: Instant,
        mut sent: bool,
    ) -> ChangeReply {
        let mut hint = None;
        loop {
            let mut round = HostRound::new(hint.take(), &self.control_hosts);
            while let Some(host) = round.next_before(deadline) {
                match self.attempt_change(host, "/v1/change", req, deadline).await {
                    Ok(ChangeReply::Final(answer)) => return ChangeReply::Final(answer),
                    Ok(ChangeReply::NotLeader { leader }) => {
                        round.prefer(leader);
                        hint = leader.or(hint);
                    }
                    Ok(ChangeReply::Unavailable) => {}
                    Ok(ChangeReply::Unknown) => sent = true,
                    Err(e) => sent |= !e.is_not_executed(),
                }
            }
            if !wait_for_next_round(deadline).await {
                return if sent {
                    ChangeReply::Unknown
                } else {
                    ChangeReply::Unavailable
                };
            }
        }
    }

    /// Sends a membership change of the control group to its leader.
    ///
    /// These changes have no id, so one whose reply is lost is not retried:
    /// a retry could be refused although the first attempt took effect. The
    /// caller queries the membership instead.
    pub async fn change_group(
        &self,
        req: &GroupChangeRequest,
        deadline: Instant,
    ) -> GroupChangeOutcome {
        let mut hint = None;
        loop {
            let mut round = HostRound::new(hint.take(), &self.control_hosts);
            while let Some(host) = round.next_before(deadline) {
                match self.attempt_change(host, "/v1/group", req, deadline).await {
                    Ok(GroupReply::Done) => return GroupChangeOutcome::Done,
                    Ok(GroupReply::Refused(refusal)) => {
                        return GroupChangeOutcome::Refused(refusal);
                    }
                    Ok(GroupReply::NotLeader { leader }) => {
                        round.prefer(leader);
                        hint = leader.or(hint);
                    }
                    Err(e) if e.is_not_executed() => {}
                    Ok(GroupReply::Unknown) | Err(_) => return GroupChangeOutcome::Unknown,
                }
            }
            if !wait_for_next_round(deadline).await {
                return GroupChangeOutcome::Unavailable;
            }
        }
    }

    /// Sends a query until a host answers it or the deadline passes.
    ///
    /// The query may reach several hosts, so it must not have side effects.
    ///
    /// # Errors
    ///
    /// No host answered by the deadline, or one denied the request.
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
        let mut last = None;
        loop {
            let mut round = HostRound::new(hint.take(), &self.control_hosts);
            while let Some(host) = round.next_before(deadline) {
                let reply: Result<Reply> = self.attempt(host, path, message, deadline).await;
                match reply {
                    Ok(reply) if !reply.is_declined() => return Ok(reply),
                    Ok(reply) => {
                        round.prefer(reply.leader());
                        hint = reply.leader().or(hint);
                    }
                    // The other hosts apply the same rules.
                    Err(e) if e.category() == Category::Forbidden => return Err(e),
                    Err(e) => last = Some(e),
                }
            }
            if !wait_for_next_round(deadline).await {
                return Err(last.unwrap_or_else(|| ErrorKind::NoLeader.into()));
            }
        }
    }

    /// Sends a change to one host once it accepts connections.
    ///
    /// The HTTP client does not report whether a request that timed out was
    /// sent. A host behind a partition has certainly not received the change, so
    /// the connection is tested first; otherwise the timeout would make the
    /// outcome unknown.
    async fn attempt_change<Message: Serialize, Reply: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        message: &Message,
        deadline: Instant,
    ) -> Result<Reply> {
        let connect_deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        timeout_at(connect_deadline.into(), TcpStream::connect(host))
            .await
            .map_err(|_| ErrorKind::ConnectTimeout(host))?
            .map_err(|e| ErrorKind::Unreachable(host, e))?;
        self.attempt(host, path, message, deadline).await
    }

    async fn attempt<Message: Serialize, Reply: DeserializeOwned>(
        &self,
        host: SocketAddr,
        path: &str,
        message: &Message,
        deadline: Instant,
    ) -> Result<Reply> {
        let deadline = deadline.min(Instant::now() + ATTEMPT_TIMEOUT);
        self.http.post(host, path, message, deadline).await
    }
}

/// Waits before the next round; `false` if the deadline leaves no time for it.
async fn wait_for_next_round(deadline: Instant) -> bool {
    if Instant::now() + ROUND_DELAY >= deadline {
        return false;
    }
    sleep(ROUND_DELAY).await;
    true
}
