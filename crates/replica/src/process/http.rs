//! The HTTP interface between processes.

use std::{cell::RefCell, rc::Rc};

use bytes::Bytes;
use http::{Method, StatusCode};
use net::{BufferedRequest, BufferedResponse, Handler};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use types::SetNumber;
use wire::CONTENT_TYPE;
use wire::request::{ChangeReply, QueryReply};

use super::group::GroupCommand;
use crate::version::RouteHistory;

/// Takes a message of a member.
pub(crate) const CONSENSUS_PATH: &str = "/v1/consensus";
/// Takes a change; only the leader does.
pub(crate) const CHANGE_PATH: &str = "/v1/change";
/// Reads the routing set; only the leader does.
pub(crate) const READ_PATH: &str = "/v1/routing-set";
/// Gives a node what it lacks of the routing set.
pub(crate) const DELTA_PATH: &str = directory::ROUTES_PATH;

/// Answers other processes.
#[derive(Clone)]
pub(crate) struct Interface {
    pub group: mpsc::Sender<GroupCommand>,
    /// Written by the task of the nodes, which shares the thread.
    pub history: Rc<RefCell<RouteHistory>>,
}

impl Handler for Interface {
    async fn handle(&self, req: BufferedRequest) -> BufferedResponse {
        match (&req.method, req.path.as_str()) {
            (&Method::POST, CONSENSUS_PATH) => self.message(&req.body),
            (&Method::POST, CHANGE_PATH) => self.change(&req.body).await,
            (&Method::POST, READ_PATH) => self.read().await,
            (&Method::POST, DELTA_PATH) => self.delta(&req.body),
            _ => BufferedResponse::empty(StatusCode::NOT_FOUND),
        }
    }
}

impl Interface {
    fn message(&self, body: &Bytes) -> BufferedResponse {
        let Ok(message) = wire::decode(body) else {
            return BufferedResponse::empty(StatusCode::BAD_REQUEST);
        };
        // A full queue loses the message; the consensus repeats it.
        let _ = self.group.try_send(GroupCommand::Message(message));
        BufferedResponse::empty(StatusCode::NO_CONTENT)
    }

    async fn change(&self, body: &Bytes) -> BufferedResponse {
        let Ok(req) = wire::decode(body) else {
            return BufferedResponse::empty(StatusCode::BAD_REQUEST);
        };
        let (tx, rx) = oneshot::channel();
        let command = GroupCommand::Change(Box::new(req), tx);
        if self.group.send(command).await.is_err() {
            return BufferedResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        encoded(&rx.await.unwrap_or(ChangeReply::Unknown))
    }

    async fn read(&self) -> BufferedResponse {
        let (tx, rx) = oneshot::channel();
        if self.group.send(GroupCommand::Read(tx)).await.is_err() {
            return BufferedResponse::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let none = QueryReply::NotLeader { leader: None };
        encoded(&rx.await.unwrap_or(none))
    }

    fn delta(&self, body: &Bytes) -> BufferedResponse {
        let Ok(have) = wire::decode::<SetNumber>(body) else {
            return BufferedResponse::empty(StatusCode::BAD_REQUEST);
        };
        match self.history.borrow().delta(have) {
            Some(delta) => encoded(&delta),
            None => BufferedResponse::empty(StatusCode::NO_CONTENT),
        }
    }
}

fn encoded<T: Serialize>(value: &T) -> BufferedResponse {
    match wire::encode(value) {
        Ok(body) => BufferedResponse::ok(CONTENT_TYPE, body),
        Err(e) => {
            log::error!(event = "unencodable_answer", error:% = e; "answer cannot be encoded");
            BufferedResponse::empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}
