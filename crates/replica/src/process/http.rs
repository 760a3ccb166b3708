//! The HTTP interface between processes.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use directory::RosterReply;
use http::{Method, StatusCode};
use net::{BufferedRequest, BufferedResponse, Handler};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use types::RoutingSetNumber;
use wire::CONTENT_TYPE;
use wire::request::{ChangeReply, QueryReply};

use super::{group::GroupCommand, nodes::SharedRoster};
use crate::{
    request::{EncodedChange, ReadTarget},
    version::RouteHistory,
};

/// Accepts a message of a member.
pub(crate) const CONSENSUS_PATH: &str = "/v1/consensus";
/// Proposes a change; served by the leader only.
pub(crate) const CHANGE_PATH: &str = "/v1/change";
/// Reads the routing set; served by the leader only.
pub(crate) const READ_PATH: &str = "/v1/routing-set";
/// Reads the evacuations; served by the leader only.
pub(crate) const EVACUATIONS_PATH: &str = "/v1/evacuations";
/// Returns the delta from a node's routing set to the current one.
pub(crate) const DELTA_PATH: &str = directory::ROUTES_PATH;
/// Returns the roster of this host.
pub(crate) const ROSTER_PATH: &str = directory::ROSTER_PATH;

/// Serves requests of other processes.
#[derive(Clone)]
pub(crate) struct HttpInterface {
    pub group: mpsc::Sender<GroupCommand>,
    /// Updated by the node task, which runs on the same thread.
    pub history: Rc<RefCell<RouteHistory>>,
    /// Updated by the node task too.
    pub roster: Rc<RefCell<SharedRoster>>,
}

impl Handler for HttpInterface {
    async fn handle(&self, req: BufferedRequest) -> BufferedResponse {
        match (&req.method, req.path.as_str()) {
            (&Method::POST, CONSENSUS_PATH) => self.receive_message(&req.body),
            (&Method::POST, CHANGE_PATH) => self.propose_change(req.body).await,
            (&Method::POST, READ_PATH) => self.read(ReadTarget::Routes).await,
            (&Method::POST, EVACUATIONS_PATH) => self.read(ReadTarget::Evacuations).await,
            (&Method::POST, DELTA_PATH) => self.routing_delta(&req.body),
            (&Method::POST, ROSTER_PATH) => self.roster(),
            _ => BufferedResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl HttpInterface {
    fn receive_message(&self, body: &Bytes) -> BufferedResponse {
        let Ok(message) = wire::decode(body) else {
            return BufferedResponse::empty(StatusCode::BAD_REQUEST);
        };
        // The consensus sends it again if the queue is full.
        match self.group.try_send(GroupCommand::Message(message)) {
            Ok(()) => BufferedResponse::empty(StatusCode::NO_CONTENT),
            Err(_) => BufferedResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn propose_change(&self, body: Bytes) -> BufferedResponse {
        let Ok(change) = EncodedChange::decode(body) else {
            return BufferedResponse::empty(StatusCode::BAD_REQUEST);
        };
        let (tx, rx) = oneshot::channel();
        let command = GroupCommand::Change(change, tx);
        if self.group.send(command).await.is_err() {
            return BufferedResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        encode_response(&rx.await.unwrap_or(ChangeReply::Unknown))
    }

    async fn read(&self, target: ReadTarget) -> BufferedResponse {
        let (tx, rx) = oneshot::channel();
        let command = GroupCommand::Read(target, tx);
        if self.group.send(command).await.is_err() {
            return BufferedResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let none = QueryReply::NotLeader { leader: None };
        encode_response(&rx.await.unwrap_or(none))
    }

    fn routing_delta(&self, body: &Bytes) -> BufferedResponse {
        let Ok(have) = wire::decode::<RoutingSetNumber>(body) else {
            return BufferedResponse::empty(StatusCode::BAD_REQUEST);
        };
        match self.history.borrow().delta(have) {
            Some(delta) => encode_response(&delta),
            None => BufferedResponse::empty(StatusCode::NO_CONTENT),
        }
    }

    /// The roster, once this host knows all agents that it has listed.
    fn roster(&self) -> BufferedResponse {
        let shared = self.roster.borrow();
        if !shared.vouched || shared.members.is_empty() {
            return BufferedResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        encode_response(&RosterReply {
            members: shared.members.clone(),
            roster: shared.roster.clone(),
        })
    }
}

fn encode_response<T: Serialize>(value: &T) -> BufferedResponse {
    match wire::encode(value) {
        Ok(body) => BufferedResponse::ok(CONTENT_TYPE, body),
        Err(e) => {
            log::error!(event = "unencodable_answer", error:% = e; "answer cannot be encoded");
            BufferedResponse::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
