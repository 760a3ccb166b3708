//! The HTTP server for requests and messages of peers.

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
use auth::{Authorizer, Credentials};
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream::unfold};
use http::{Method, Request, StatusCode, header};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use serde::Serialize;
use tokio::sync::watch;
use types::{ReservationId, ServiceId, ServiceState, UpstreamId};
use wire::{
    ClaimHeader, OfferRequest, ReserveReply, ReserveRequest,
    request::{BeginRequest, EndRequest},
};

use super::{
    AdmissionCommand, AdmissionHandle, IdempotencyCommand, IdempotencyHandle,
    keys::{BEGIN_PATH, END_PATH},
};
use crate::{
    Error, Result,
    request::{
        ConnectionTask, EndToEndHeaders, ForwardTarget, ForwardedRequest, ForwardedResponse,
        RequestContext, RequestGuard, RequestIdGenerator, ResponseBody, deadline_of,
        outcome_of_error, outcome_of_status, status_of_error,
    },
};

/// Path on which a peer requests a reservation.
pub const RESERVE_PATH: &str = "/v1/reserve";

/// Path on which a peer releases a reservation.
pub const RELEASE_PATH: &str = "/v1/release";

/// Path on which a peer offers a slot.
pub const OFFER_PATH: &str = "/v1/offer";

/// Status and outcome field for a request without a valid reservation.
const INVALID_RESERVATION: (StatusCode, &str) =
    (StatusCode::SERVICE_UNAVAILABLE, ClaimHeader::NOT_RUN);

/// Time for requests in progress to complete when the server stops.
const DRAIN_TIMEOUT_SECS: u64 = 3600;

/// State that the handlers share; each worker has a copy.
#[derive(Clone)]
pub struct PeerContext {
    admission: AdmissionHandle,
    idempotency: IdempotencyHandle,
    request_ids: RequestIdGenerator,
    own_id: UpstreamId,
    upstream_address: SocketAddr,
    service: watch::Receiver<Option<ServiceState>>,
    credentials: Option<Credentials>,
}

impl PeerContext {
    /// Creates a context that uses the same tasks as callers' requests.
    #[must_use]
    pub fn new(own_id: UpstreamId, cx: &RequestContext) -> Self {
        PeerContext {
            admission: cx.admission.clone(),
            idempotency: cx.idempotency.clone(),
            request_ids: cx.request_ids.clone(),
            own_id,
            upstream_address: cx.upstream_address,
            service: cx.service.clone(),
            credentials: cx.credentials.clone(),
        }
    }
}

/// Starts the server on `listener`.
///
/// # Errors
///
/// Fails if the listener cannot be used.
pub fn serve(listener: TcpListener, cx: PeerContext, authorizer: Authorizer) -> Result<Server> {
    let address = listener.local_addr();
    let upstream_address = cx.upstream_address;
    let credentials = cx.credentials.clone();
    let factory = move || {
        App::new()
            .app_data(web::Data::new(cx.clone()))
            .app_data(authorizer.clone())
            .wrap(from_fn(auth::authorize_request))
            .service(message_resource(RESERVE_PATH).route(web::post().to(reserve)))
            .service(message_resource(OFFER_PATH).route(web::post().to(offer)))
            .service(message_resource(BEGIN_PATH).route(web::post().to(begin)))
            .service(message_resource(END_PATH).route(web::post().to(end)))
            .service(message_resource(RELEASE_PATH).route(web::post().to(release)))
            .default_service(web::to(run_handed_off))
    };
    let server = HttpServer::new(factory)
        .workers(1)
        .on_connect(Authorizer::record_identity)
        .disable_signals()
        .tcp_nodelay(true)
        // A peer cancels a request by closing its connection.
        .h1_allow_half_closed(false)
        .shutdown_timeout(DRAIN_TIMEOUT_SECS);
    let server = match credentials {
        Some(credentials) => server.listen_rustls_0_23(listener, credentials.server_config()),
        None => server.listen(listener),
    };
    let server = server.map_err(|e| Error::Bind(address.unwrap_or(upstream_address), e))?;
    Ok(server.run())
}

/// Resource for messages of agents at `path`. A handed-off request of a caller
/// may have the same path, but has a reservation field, which callers cannot
/// set.
fn message_resource(path: &str) -> Resource {
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
    encode_reply(&reply)
}

async fn release(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(id) = wire::decode::<ReservationId>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    cx.admission.send(AdmissionCommand::Release(id));
    encode_reply(&())
}

async fn begin(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<BeginRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    encode_reply(&cx.idempotency.begin(req).await)
}

async fn end(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(req) = wire::decode::<EndRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    cx.idempotency.send(IdempotencyCommand::End(req));
    encode_reply(&())
}

async fn offer(cx: web::Data<PeerContext>, body: Bytes) -> HttpResponse {
    let Ok(offer) = wire::decode::<OfferRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    cx.admission.send(AdmissionCommand::Offer(offer));
    encode_reply(&())
}

fn encode_reply<T: Serialize>(reply: &T) -> HttpResponse {
    match wire::encode(reply) {
        Ok(body) => HttpResponse::Ok()
            .content_type(wire::CONTENT_TYPE)
            .body(body),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Runs a request that a peer handed off, using its reservation.
async fn run_handed_off(
    cx: web::Data<PeerContext>,
    req: HttpRequest,
    payload: web::Payload,
) -> HttpResponse {
    let Some(reservation) = claimed_reservation(&cx, &req) else {
        return outcome_response(cx.own_id, INVALID_RESERVATION);
    };
    let id = cx.request_ids.next();
    let mut request_guard = RequestGuard::new(id, cx.admission.clone());
    let claim = cx
        .admission
        .ask(|tx| AdmissionCommand::Claim(reservation, id, tx))
        .await;
    if claim != Some(ClaimAnswer::Run) {
        return outcome_response(cx.own_id, INVALID_RESERVATION);
    }
    let Some(forwarded_request) = forwarded_request(&cx, &req, payload) else {
        return outcome_response(cx.own_id, INVALID_RESERVATION);
    };
    let result = forwarded_request.send().await;
    cx.admission.report_attempt(&result);
    match result {
        Ok(forwarded) => stream_response(cx.own_id, forwarded, request_guard),
        Err(attempt_error) => {
            request_guard.set_outcome(outcome_of_error(attempt_error));
            outcome_response(cx.own_id, status_of_error(attempt_error))
        }
    }
}

/// The reservation in a request, if the request is for this upstream and this
/// service.
fn claimed_reservation(cx: &PeerContext, req: &HttpRequest) -> Option<ReservationId> {
    let field = |name: &str| req.headers().get(name)?.to_str().ok();
    let upstream: UpstreamId = field(ClaimHeader::UPSTREAM)?.parse().ok()?;
    let service: ServiceId = field(ClaimHeader::SERVICE)?.parse().ok()?;
    let own_service = cx.service.borrow().as_ref().map(|state| state.service.id);
    (upstream == cx.own_id && Some(service) == own_service).then_some(())?;
    field(ClaimHeader::RESERVATION)?.parse().ok()
}

/// Converts a handed-off request for the upstream. `None` if its method or URI
/// is invalid.
fn forwarded_request(
    cx: &PeerContext,
    req: &HttpRequest,
    payload: web::Payload,
) -> Option<ForwardedRequest<StreamBody<impl Stream<Item = io::Result<Frame<Bytes>>> + use<>>>> {
    let chunks = payload.map(|chunk| chunk.map(Frame::data).map_err(io::Error::other));
    let mut request = Request::new(StreamBody::new(chunks));
    *request.method_mut() = Method::from_bytes(req.method().as_str().as_bytes()).ok()?;
    *request.uri_mut() = req.uri().to_string().parse().ok()?;
    let fields = req.headers().iter();
    let headers =
        EndToEndHeaders::from_fields(fields.map(|(name, value)| (name.as_str(), value.as_bytes())));
    let remaining = req.headers().get(ClaimHeader::TIMEOUT_MS);
    Some(ForwardedRequest {
        target: ForwardTarget::Upstream(cx.upstream_address),
        deadline: deadline_of(Instant::now(), remaining.map(HeaderValue::as_bytes)),
        request,
        headers,
    })
}

/// Streams a response to the peer. The slot is released when the body ends or
/// the peer disconnects.
fn stream_response(
    own_id: UpstreamId,
    forwarded: ForwardedResponse,
    request_guard: RequestGuard,
) -> HttpResponse {
    let (parts, body, connection) = forwarded.into_parts();
    let status = parts.status.as_u16();
    let mut response = HttpResponse::build(ActixStatus::from_u16(status).unwrap_or_default());
    response.insert_header((ClaimHeader::UPSTREAM, own_id.to_string()));
    let headers = EndToEndHeaders::from_headers(&parts.headers).headers;
    for (name, value) in &headers {
        if name != header::CONTENT_LENGTH {
            response.append_header((name.as_str(), value.as_bytes()));
        }
    }
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let outcome = outcome_of_status(parts.status);
    let stream = unfold((body, connection, request_guard), move |state| {
        next_chunk(state, outcome)
    });
    let stream = Box::pin(stream);
    match length {
        Some(length) => response.body(SizedStream::new(length, stream)),
        None => response.body(BodyStream::new(stream)),
    }
}

/// State of a response stream. The fields are in drop order: the slot is released
/// after the connection to the upstream is closed.
type ResponseState = (ResponseBody, ConnectionTask, RequestGuard);

async fn next_chunk(
    (mut body, connection, mut request_guard): ResponseState,
    outcome: RequestOutcome,
) -> Option<(hyper::Result<Bytes>, ResponseState)> {
    loop {
        let chunk = match body.frame().await {
            None => {
                request_guard.set_outcome(outcome);
                return None;
            }
            Some(Err(e)) => {
                request_guard.set_outcome(RequestOutcome::Failed);
                Err(e)
            }
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => Ok(data),
                // Trailers are not forwarded.
                Err(_) => continue,
            },
        };
        return Some((chunk, (body, connection, request_guard)));
    }
}

/// Response to a request that has no response of the upstream.
fn outcome_response(
    own_id: UpstreamId,
    (status, value): (StatusCode, &'static str),
) -> HttpResponse {
    let status = ActixStatus::from_u16(status.as_u16()).unwrap_or_default();
    HttpResponse::build(status)
        .insert_header((ClaimHeader::UPSTREAM, own_id.to_string()))
        .insert_header((ClaimHeader::OUTCOME, value))
        .finish()
}
