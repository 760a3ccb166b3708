//! The server that peers hand requests off to.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    time::Instant,
};

use actix_web::{
    App, HttpRequest, HttpResponse, HttpServer, Resource,
    body::{BodyStream, SizedStream},
    dev::Server,
    guard::fn_guard,
    http::{StatusCode as ActixStatus, header::HeaderValue},
    middleware::from_fn,
    web,
};
use admit::{ClaimAnswer, RequestOutcome};
use auth::{Credentials, Gate};
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream::unfold};
use http::{Method, Request, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::sync::watch;
use types::{ReservationId, ServiceId, ServiceState, UpstreamId};
use wire::{
    ClaimHeader, OfferRequest, ReserveReply, ReserveRequest,
    request::{BeginRequest, EndRequest},
};

use super::{
    AdmissionCommand, AdmissionHandle, KeysCommand, KeysHandle,
    keys::{BEGIN_PATH, END_PATH},
};
use crate::{
    Error, Result,
    request::{
        Answer, Call, Connection, Head, RequestContext, RequestIds, Slot, Target, deadline_of,
        ended, outcome_of, status_of,
    },
};

/// Path of reservations.
pub const RESERVE_PATH: &str = "/v1/reserve";

/// Path on which a reservation is returned.
pub const RELEASE_PATH: &str = "/v1/release";

/// Path of offers of a slot.
pub const OFFER_PATH: &str = "/v1/offer";

/// Answer to a request without a valid reservation.
const NOT_CLAIMED: (StatusCode, &str) = (StatusCode::SERVICE_UNAVAILABLE, ClaimHeader::NOT_RUN);

/// Time for requests in progress when the server stops.
const STOP_TIMEOUT_SECS: u64 = 3600;

/// What the handlers share; each worker has a copy.
#[derive(Clone)]
pub struct PeerContext {
    admission: AdmissionHandle,
    keys: KeysHandle,
    ids: RequestIds,
    own: UpstreamId,
    upstream: SocketAddr,
    service: watch::Receiver<Option<ServiceState>>,
    credentials: Option<Credentials>,
}

impl PeerContext {
    /// The same tasks that callers' requests use.
    #[must_use]
    pub fn new(own: UpstreamId, cx: &RequestContext) -> Self {
        PeerContext {
            admission: cx.admission.clone(),
            keys: cx.keys.clone(),
            ids: cx.ids.clone(),
            own,
            upstream: cx.upstream,
            service: cx.service.clone(),
            credentials: cx.credentials.clone(),
        }
    }
}

/// Starts the server on `listener`.
///
/// # Errors
///
/// The listener cannot be used.
pub fn serve(listener: TcpListener, cx: PeerContext, gate: Gate) -> Result<Server> {
    let address = listener.local_addr();
    let upstream = cx.upstream;
    let credentials = cx.credentials.clone();
    let factory = move || {
        App::new()
            .app_data(web::Data::new(cx.clone()))
            .app_data(gate.clone())
            .wrap(from_fn(auth::enforce))
            .service(message_at(RESERVE_PATH).route(web::post().to(reserve)))
            .service(message_at(OFFER_PATH).route(web::post().to(offer)))
            .service(message_at(BEGIN_PATH).route(web::post().to(begin)))
            .service(message_at(END_PATH).route(web::post().to(end)))
            .service(message_at(RELEASE_PATH).route(web::post().to(release)))
            .default_service(web::to(run_claimed))
    };
    let server = HttpServer::new(factory)
        .workers(1)
        .on_connect(Gate::note)
        .disable_signals()
        .tcp_nodelay(true)
        // A peer that closes its connection has cancelled the request.
        .h1_allow_half_closed(false)
        .shutdown_timeout(STOP_TIMEOUT_SECS);
    let server = match credentials {
        Some(credentials) => server.listen_rustls_0_23(listener, credentials.server()),
        None => server.listen(listener),
    };
    let server = server.map_err(|e| Error::Bind(address.unwrap_or(upstream), e))?;
    Ok(server.run())
}

/// The messages of agents at a path. A caller's request may have the same path,
/// but is told apart by its claim, a field that callers cannot set.
fn message_at(path: &str) -> Resource {
    web::resource(path).guard(fn_guard(|cx| {
        !cx.head().headers().contains_key(ClaimHeader::RESERVATION)
    }))
}

async fn reserve(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<ReserveRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let reply = cx
        .admission
        .ask(|tx| AdmissionCommand::Reserve(req, tx))
        .await
        .unwrap_or(ReserveReply::Misdirected);
    message(&reply)
}

async fn release(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(id) = wire::decode::<ReservationId>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    cx.admission.send(AdmissionCommand::Release(id));
    message(&())
}

async fn begin(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<BeginRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    message(&cx.keys.begin(req).await)
}

async fn end(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<EndRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    cx.keys.send(KeysCommand::End(req));
    message(&())
}

async fn offer(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(offer) = wire::decode::<OfferRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    cx.admission.send(AdmissionCommand::Offer(offer));
    message(&())
}

fn message<T: Serialize>(reply: &T) -> HttpResponse {
    match wire::encode(reply) {
        Ok(body) => HttpResponse::Ok()
            .content_type(wire::CONTENT_TYPE)
            .body(body),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Runs a request of a peer against its reservation.
async fn run_claimed(
    cx: web::Data<PeerContext>,
    req: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let Some(reservation) = claimed(&cx, &req) else {
        return outcome(cx.own, NOT_CLAIMED);
    };
    let id = cx.ids.next();
    let mut slot = Slot::new(id, cx.admission.clone());
    let claim = cx
        .admission
        .ask(|tx| AdmissionCommand::Claim(reservation, id, tx))
        .await;
    if claim != Some(ClaimAnswer::Run) {
        return outcome(cx.own, NOT_CLAIMED);
    }
    let Some(call) = call(&cx, &req, payload) else {
        return outcome(cx.own, NOT_CLAIMED);
    };
    let result = call.send().await;
    cx.admission.note_attempt(&result);
    match result {
        Ok(answer) => stream_answer(cx.own, answer, slot),
        Err(failed) => {
            slot.set(outcome_of(failed));
            outcome(cx.own, status_of(failed))
        }
    }
}

/// The reservation that a request claims, if it is meant for this upstream and
/// this service.
fn claimed(cx: &PeerContext, req: &HttpRequest) -> Option<ReservationId> {
    let field = |name: &str| req.headers().get(name)?.to_str().ok();
    let upstream: UpstreamId = field(ClaimHeader::UPSTREAM)?.parse().ok()?;
    let service: ServiceId = field(ClaimHeader::SERVICE)?.parse().ok()?;
    let own_service = cx.service.borrow().as_ref().map(|state| state.service.id);
    (upstream == cx.own && Some(service) == own_service).then_some(())?;
    field(ClaimHeader::RESERVATION)?.parse().ok()
}

/// The same request for the upstream. `None` if it cannot be represented.
fn call(
    cx: &PeerContext,
    req: &HttpRequest,
    payload: web::Payload,
) -> Option<Call<StreamBody<impl Stream<Item = io::Result<Frame<Bytes>>> + use<>>>> {
    let parts = payload.map(|part| part.map(Frame::data).map_err(io::Error::other));
    let mut request = Request::new(StreamBody::new(parts));
    *request.method_mut() = Method::from_bytes(req.method().as_str().as_bytes()).ok()?;
    *request.uri_mut() = req.uri().to_string().parse().ok()?;
    let fields = req.headers().iter();
    let head = Head::copy(fields.map(|(name, value)| (name.as_str(), value.as_bytes())));
    let remaining = req.headers().get(ClaimHeader::TIMEOUT_MS);
    Some(Call {
        target: Target::Upstream(cx.upstream),
        deadline: deadline_of(Instant::now(), remaining.map(HeaderValue::as_bytes)),
        request,
        head,
    })
}

/// Passes an answer on to the peer. The slot is given back when the body ends
/// or the peer goes away.
fn stream_answer(own: UpstreamId, answer: Answer, slot: Slot) -> HttpResponse {
    let (parts, body, connection) = answer.into_parts();
    let status = parts.status.as_u16();
    let mut response = HttpResponse::build(ActixStatus::from_u16(status).unwrap_or_default());
    response.insert_header((ClaimHeader::UPSTREAM, own.to_string()));
    let head = Head::of(&parts.headers).headers;
    for (name, value) in &head {
        if name != header::CONTENT_LENGTH {
            response.append_header((name.as_str(), value.as_bytes()));
        }
    }
    let length = head.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let outcome = ended(parts.status);
    let stream = unfold((body, connection, slot), move |state| {
        next_part(state, outcome)
    });
    let stream = Box::pin(stream);
    match length {
        Some(length) => response.body(SizedStream::new(length, stream)),
        None => response.body(BodyStream::new(stream)),
    }
}

/// In the order in which they are dropped: the slot is given back once the
/// connection to the upstream is closed.
type AnswerState = (Incoming, Connection, Slot);

async fn next_part(
    (mut body, connection, mut slot): AnswerState,
    outcome: RequestOutcome,
) -> Option<(hyper::Result<Bytes>, AnswerState)> {
    loop {
        let part = match body.frame().await {
            None => {
                slot.set(outcome);
                return None;
            }
            Some(Err(e)) => {
                slot.set(RequestOutcome::Failed);
                Err(e)
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => Ok(data),
                // Trailers are not passed on.
                Err(_) => continue,
            },
        };
        return Some((part, (body, connection, slot)));
    }
}

/// The answer to a request without an answer of the upstream.
fn outcome(own: UpstreamId, (status, value): (StatusCode, &'static str)) -> HttpResponse {
    let status = ActixStatus::from_u16(status.as_u16()).unwrap_or_default();
    HttpResponse::build(status)
        .insert_header((ClaimHeader::UPSTREAM, own.to_string()))
        .insert_header((ClaimHeader::OUTCOME, value))
        .finish()
}
