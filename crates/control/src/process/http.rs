//! The HTTP server of a control host.

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

/// Threads that decode requests and encode replies. The state is owned by the
/// group task.
const HTTP_WORKERS: usize = 2;

type GroupTx = web::Data<mpsc::Sender<GroupCommand>>;

/// Starts the server on `listener`.
///
/// # Errors
///
/// [`Error::Bind`] if the listener cannot be used.
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
            .app_data(web::PayloadConfig::new(wire::MAX_MESSAGE_LEN))
            .route(CONSENSUS_PATH, web::post().to(consensus))
            .route(HELLO_PATH, web::post().to(hello))
            .route("/v1/change", web::post().to(change))
            .route("/v1/query", web::post().to(query))
            .route("/v1/group", web::post().to(group))
            .route("/v1/sync", web::post().to(sync))
    };
    let server = HttpServer::new(factory)
        .workers(HTTP_WORKERS)
        .on_connect(Authorizer::record_identity)
        .disable_signals()
        .shutdown_timeout(1)
        // A closed connection cancels the held sync request of its node.
        .h1_allow_half_closed(false);
    let server = match &cfg.credentials {
        Some(credentials) => server.listen_rustls_0_23(listener, credentials.server_config()),
        None => server.listen(listener),
    };
    Ok(server.map_err(|e| Error::Bind(cfg.listen, e))?.run())
}

async fn consensus(tx: GroupTx, body: Bytes) -> HttpResponse {
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

async fn hello(tx: GroupTx, body: Bytes) -> HttpResponse {
    decode_and_forward(&tx, &body, |_: Hello, tx| GroupCommand::Hello(tx), None).await
}

async fn change(tx: GroupTx, http: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<ChangeRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    // Only the leader itself proposes records of membership changes.
    if matches!(req.change, Change::NoteGroup { .. }) {
        return HttpResponse::BadRequest().finish();
    }
    // Checked before the change is proposed, so that the audit trail contains
    // only authenticated authors.
    if let Some(refusal) = auth::deny_unless_author(&http, &req.author) {
        return refusal;
    }
    let fallback = Some(ChangeReply::Unknown);
    forward(&tx, |tx| GroupCommand::Change(Box::new(req), tx), fallback).await
}

async fn query(tx: GroupTx, body: Bytes) -> HttpResponse {
    let fallback = Some(QueryReply::NotLeader { leader: None });
    decode_and_forward(
        &tx,
        &body,
        |req: Query, tx| GroupCommand::Query(req, tx),
        fallback,
    )
    .await
}

async fn group(tx: GroupTx, http: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<GroupChangeRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    if let Some(refusal) = auth::deny_unless_author(&http, &req.author) {
        return refusal;
    }
    let fallback = Some(GroupReply::Unknown);
    forward(&tx, |tx| GroupCommand::ChangeGroup(req, tx), fallback).await
}

async fn sync(tx: GroupTx, body: Bytes) -> HttpResponse {
    decode_and_forward(
        &tx,
        &body,
        |req: SyncRequest, tx| GroupCommand::Sync(Box::new(req), tx),
        None,
    )
    .await
}

/// Decodes a request and forwards it to the group task. `fallback` as for
/// [`forward`].
async fn decode_and_forward<Req: DeserializeOwned, Reply: Serialize>(
    tx: &mpsc::Sender<GroupCommand>,
    body: &[u8],
    command: impl FnOnce(Req, oneshot::Sender<Reply>) -> GroupCommand,
    fallback: Option<Reply>,
) -> HttpResponse {
    let Ok(req) = wire::decode::<Req>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    forward(tx, |reply_tx| command(req, reply_tx), fallback).await
}

/// Forwards a request to the group task and encodes the reply. `fallback` is the
/// reply if the task ends before it answers; without one the status is 503.
async fn forward<Reply: Serialize>(
    tx: &mpsc::Sender<GroupCommand>,
    command: impl FnOnce(oneshot::Sender<Reply>) -> GroupCommand,
    fallback: Option<Reply>,
) -> HttpResponse {
    let (reply_tx, reply_rx) = oneshot::channel();
    if tx.send(command(reply_tx)).await.is_err() {
        return HttpResponse::ServiceUnavailable().finish();
    }
    match (reply_rx.await, fallback) {
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
