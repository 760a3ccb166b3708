//! The HTTP server.

use std::net::TcpListener;

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer, dev::Server, middleware::from_fn, web,
};
use auth::Authorizer;
use bytes::Bytes;
use consensus::Message;
use serde::{Serialize, de::DeserializeOwned};
use tokio::sync::{mpsc, oneshot};
use types::{Change, ChangeRequest};
use wire::{
    SyncRequest,
    request::{ChangeReply, GroupChangeRequest, GroupReply, Hello, Query, QueryReply},
};

use super::{CONSENSUS_PATH, GroupCommand, HELLO_PATH, Settings};
use crate::{Error, Result};

/// Threads that read and write messages; the decisions are in one task.
const WORKERS: usize = 2;

type Tx = web::Data<mpsc::Sender<GroupCommand>>;

/// Starts the server on `listener`.
///
/// # Errors
///
/// The listener cannot be used.
pub fn serve(
    cfg: &Settings,
    listener: TcpListener,
    tx: mpsc::Sender<GroupCommand>,
    authorizer: Authorizer,
) -> Result<Server> {
    let tx = web::Data::new(tx);
    let factory = move || {
        App::new()
            .app_data(tx.clone())
            .app_data(authorizer.clone())
            .wrap(from_fn(auth::authorize_request))
            .app_data(web::PayloadConfig::new(wire::MAX_MESSAGE))
            .route(CONSENSUS_PATH, web::post().to(consensus))
            .route(HELLO_PATH, web::post().to(hello))
            .route("/v1/change", web::post().to(change))
            .route("/v1/query", web::post().to(query))
            .route("/v1/group", web::post().to(group))
            .route("/v1/sync", web::post().to(sync))
    };
    let server = HttpServer::new(factory)
        .workers(WORKERS)
        .on_connect(Authorizer::record_identity)
        .disable_signals()
        .shutdown_timeout(1)
        // A node that closed its connection waits no more.
        .h1_allow_half_closed(false);
    let server = match &cfg.credentials {
        Some(credentials) => server.listen_rustls_0_23(listener, credentials.server_config()),
        None => server.listen(listener),
    };
    Ok(server.map_err(|e| Error::Bind(cfg.listen, e))?.run())
}

async fn consensus(tx: Tx, body: Bytes) -> HttpResponse {
    let Ok(messages) = wire::decode::<Vec<Message>>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    for message in messages {
        if tx.send(GroupCommand::Message(message)).await.is_err() {
            return HttpResponse::ServiceUnavailable().finish();
        }
    }
    reply(&())
}

async fn hello(tx: Tx, body: Bytes) -> HttpResponse {
    ask(&tx, &body, |_: Hello, tx| GroupCommand::Hello(tx), None).await
}

async fn change(tx: Tx, http: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<ChangeRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    // Only the leader itself notes changes of the group.
    if matches!(req.change, Change::NoteGroup { .. }) {
        return HttpResponse::BadRequest().finish();
    }
    // Before the change is proposed: the audit trail has only true authors.
    if let Some(refusal) = auth::deny_unless_author(&http, &req.author) {
        return refusal;
    }
    let lost = Some(ChangeReply::Unknown);
    pass(&tx, |tx| GroupCommand::Change(Box::new(req), tx), lost).await
}

async fn query(tx: Tx, body: Bytes) -> HttpResponse {
    let lost = Some(QueryReply::NotLeader { leader: None });
    ask(
        &tx,
        &body,
        |req: Query, tx| GroupCommand::Query(req, tx),
        lost,
    )
    .await
}

async fn group(tx: Tx, http: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<GroupChangeRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Some(refusal) = auth::deny_unless_author(&http, &req.author) {
        return refusal;
    }
    let lost = Some(GroupReply::Unknown);
    pass(&tx, |tx| GroupCommand::ChangeGroup(req, tx), lost).await
}

async fn sync(tx: Tx, body: Bytes) -> HttpResponse {
    ask(
        &tx,
        &body,
        |req: SyncRequest, tx| GroupCommand::Sync(Box::new(req), tx),
        None,
    )
    .await
}

/// Reads a request and passes it to the group task.
async fn ask<Req: DeserializeOwned, Reply: Serialize>(
    tx: &mpsc::Sender<GroupCommand>,
    body: &[u8],
    command: impl FnOnce(Req, oneshot::Sender<Reply>) -> GroupCommand,
    lost: Option<Reply>,
) -> HttpResponse {
    let Ok(req) = wire::decode::<Req>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    pass(tx, |reply_tx| command(req, reply_tx), lost).await
}

/// Passes a request to the group task. `lost` is the reply if the task ends
/// before it answers.
async fn pass<Reply: Serialize>(
    tx: &mpsc::Sender<GroupCommand>,
    command: impl FnOnce(oneshot::Sender<Reply>) -> GroupCommand,
    lost: Option<Reply>,
) -> HttpResponse {
    let (reply_tx, reply_rx) = oneshot::channel();
    if tx.send(command(reply_tx)).await.is_err() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match (reply_rx.await, lost) {
        (Ok(message), _) | (Err(_), Some(message)) => reply(&message),
        (Err(_), None) => HttpResponse::ServiceUnavailable().finish(),
    }
}

fn reply<T: Serialize>(message: &T) -> HttpResponse {
    match wire::encode(message) {
        Ok(body) => HttpResponse::Ok()
            .content_type(wire::CONTENT_TYPE)
            .body(body),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}
