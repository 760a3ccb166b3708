//! Enforces the authorization rules in an HTTP server.

use std::any::Any;

use actix_tls::accept::rustls_0_23::TlsStream;
use actix_web::{
    Error, HttpRequest, HttpResponse,
    body::{BoxBody, MessageBody},
    dev::{Extensions, ServiceRequest, ServiceResponse},
    middleware::Next,
};
use prometheus::{IntCounterVec, Opts, Registry};
use tokio::net::TcpStream;
use types::OperatorName;

use super::{DenyReason, ServerKind, authorize_author, authorize_path};
use crate::{CertificateIdentity, Credentials};

/// Denies requests that the identity of the client does not allow.
#[derive(Clone)]
pub struct Authorizer {
    server: ServerKind,
    /// Whether the server has credentials. Without them every request is
    /// allowed.
    authenticated: bool,
    denied: IntCounterVec,
}

impl Authorizer {
    /// Creates the authorizer of a server and registers its metric.
    ///
    /// # Errors
    ///
    /// The registry already has the metric.
    pub fn new(
        server: ServerKind,
        credentials: Option<&Credentials>,
        registry: &Registry,
    ) -> prometheus::Result<Self> {
        let (name, process) = match server {
            ServerKind::Control => ("limpet_control_forbidden_requests_total", "control"),
            ServerKind::Peer => ("limpet_agent_forbidden_requests_total", "agent"),
        };
        let opts = Opts::new(name, "Requests that were refused by reason of who asked.");
        let denied = IntCounterVec::new(opts, &["reason"])?;
        registry.register(Box::new(denied.clone()))?;
        if credentials.is_none() {
            log::warn!(
                target: "auth::request::gate",
                event = "not_authenticated", process;
                "clients are not authenticated; set --tls-ca, --tls-certificate and --tls-key"
            );
        }
        Ok(Authorizer {
            server,
            authenticated: credentials.is_some(),
            denied,
        })
    }

    /// Stores the identity of the client with a new connection. A callback for
    /// `HttpServer::on_connect`.
    pub fn record_identity(connection: &dyn Any, data: &mut Extensions) {
        let Some(stream) = connection.downcast_ref::<TlsStream<TcpStream>>() else {
            return;
        };
        let (_, session) = stream.get_ref();
        let chain = session.peer_certificates().unwrap_or_default();
        if let Some(certificate) = chain.first() {
            data.insert(CertificateIdentity::from_certificate(certificate));
        }
    }

    /// Checks whether the client may use the path of the request.
    fn check_path(&self, req: &HttpRequest) -> Result<(), DenyReason> {
        self.check_identity(req, |identity| {
            authorize_path(self.server, req.path(), identity)
        })
    }

    /// Applies `rule` to the identity of the client, if clients are authenticated.
    fn check_identity(
        &self,
        req: &HttpRequest,
        rule: impl FnOnce(&CertificateIdentity) -> Result<(), DenyReason>,
    ) -> Result<(), DenyReason> {
        if !self.authenticated {
            return Ok(());
        }
        let identity = req
            .conn_data::<CertificateIdentity>()
            .ok_or(DenyReason::NoCertificate)?;
        rule(identity)
    }

    /// Counts and logs a denied request; returns the response with status 403.
    fn deny(&self, req: &HttpRequest, reason: DenyReason) -> HttpResponse {
        self.denied.with_label_values(&[reason.label()]).inc();
        log::debug!(target: "auth::request::gate", event = "forbidden", path = req.path(), reason = reason.label(); "request denied");
        forbidden()
    }
}

/// Checks whether the client may make changes as `author`; returns the response
/// with status 403 if not.
#[must_use]
pub fn deny_unless_author(req: &HttpRequest, author: &OperatorName) -> Option<HttpResponse> {
    let Some(authorizer) = req.app_data::<Authorizer>() else {
        return Some(forbidden());
    };
    let result = authorizer.check_identity(req, |identity| authorize_author(author, identity));
    result.err().map(|reason| authorizer.deny(req, reason))
}

fn forbidden() -> HttpResponse {
    HttpResponse::Forbidden().finish()
}

/// Middleware that passes only allowed requests to the handlers. The
/// [`Authorizer`] must be in the application data; without it every request is
/// denied.
///
/// # Errors
///
/// The errors of the handlers.
pub async fn authorize_request<B: MessageBody + 'static>(
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let Some(authorizer) = req.app_data::<Authorizer>() else {
        return Ok(req.into_response(forbidden()));
    };
    match authorizer.check_path(req.request()) {
        Ok(()) => Ok(next.call(req).await?.map_into_boxed_body()),
        Err(reason) => {
            let response = authorizer.deny(req.request(), reason);
            Ok(req.into_response(response))
        }
    }
}
