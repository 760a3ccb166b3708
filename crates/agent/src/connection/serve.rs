//! The task that serves one connection.

use std::time::{Duration, Instant};

use bytes::Bytes;
use h3::error::Code;
use quinn::{Connection, VarInt};
use tokio::{sync::watch, task::JoinSet, time::sleep_until};

use super::{H3Connection, StreamCompletions};
use crate::request::{RequestContext, handle};

/// Requests that a caller may still start after the first GOAWAY, because it may
/// not have received the frame yet. They are handed off to peers.
const GOAWAY_GRACE_REQUESTS: usize = 100;

/// Time between the first GOAWAY and the last one (RFC 9114, section 5.2):
/// several round trips, so that the caller has received the first one.
const GOAWAY_INTERVAL: Duration = Duration::from_secs(1);

type Server = h3::server::Connection<H3Connection, Bytes>;

/// Serves the requests of a connection until it closes. When the agent drains,
/// requests in progress run to their end and no others are accepted.
pub async fn serve(cx: RequestContext, connection: Connection, mut leaving: watch::Receiver<bool>) {
    let completions = StreamCompletions::default();
    let Ok(mut server) = Server::new(H3Connection::new(&connection, completions.clone())).await
    else {
        return;
    };
    let mut requests = JoinSet::new();
    let mut goaway = GoawayState::NotSent;
    if *leaving.borrow_and_update() {
        goaway.advance(&mut server).await;
    }
    loop {
        tokio::select! {
            accepted = server.accept() => match accepted {
                Ok(Some(resolver)) => {
                    let (cx, completions) = (cx.clone(), completions.clone());
                    let caller = connection.remote_address().ip();
                    requests.spawn_local(async move {
                        if let Err(e) = handle(cx, caller, resolver, completions).await {
                            log::debug!(event = "request_aborted", error:% = e; "request aborted: the caller's stream or connection failed");
                        }
                    });
                }
                // The caller sends no further requests; those in progress continue.
                Ok(None) => {
                    let finish_requests = async { while requests.join_next().await.is_some() {} };
                    tokio::select! {
                        () = finish_requests => {}
                        _ = connection.closed() => {}
                    }
                    break;
                }
                Err(_) => break,
            },
            Some(_) = requests.join_next() => {}
            changed = leaving.changed() => match changed {
                Ok(()) if *leaving.borrow() => goaway.advance(&mut server).await,
                Ok(()) => {}
                Err(_) => break,
            },
            () = sleep_until(goaway.last_due_at().into()), if goaway.is_pending() => {
                goaway.advance(&mut server).await;
            }
        }
        if goaway == GoawayState::Finished && requests.is_empty() {
            break;
        }
    }
    let code = VarInt::from_u64(Code::H3_NO_ERROR.value()).unwrap_or_default();
    connection.close(code, b"");
}

/// Which GOAWAY frames were sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GoawayState {
    NotSent,
    /// The last GOAWAY is due at this instant.
    FirstSent(Instant),
    /// The last GOAWAY was sent.
    Finished,
}

impl GoawayState {
    fn is_pending(self) -> bool {
        matches!(self, GoawayState::FirstSent(_))
    }

    fn last_due_at(self) -> Instant {
        match self {
            GoawayState::FirstSent(last_due_at) => last_due_at,
            GoawayState::NotSent | GoawayState::Finished => Instant::now(),
        }
    }

    /// Sends the next GOAWAY.
    async fn advance(&mut self, server: &mut Server) {
        // Sending fails only if the connection is already closing.
        match self {
            GoawayState::NotSent => {
                let _ = server.shutdown(GOAWAY_GRACE_REQUESTS).await;
                *self = GoawayState::FirstSent(Instant::now() + GOAWAY_INTERVAL);
            }
            GoawayState::FirstSent(_) => {
                let _ = server.shutdown(0).await;
                *self = GoawayState::Finished;
            }
            GoawayState::Finished => {}
        }
    }
}
