//! The decisions, enforced in an HTTP server.

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

use super::{Port, Refusal, allow, may_author};
use crate::{Credentials, Names};

/// Refuses what the holder of a certificate may not ask for.
#[derive(Clone)]
pub struct Gate {
    port: Port,
    /// Whether the server has credentials. Without them all is allowed.
    closed: bool,
    refused: IntCounterVec,
}

impl Gate {
    /// Creates the gate of a server and registers its metric.
    ///
    /// # Errors
    ///
    /// The registry already has the metric.
    pub fn new(
        port: Port,
        credentials: Option<&Credentials>,
        registry: &Registry,
    ) -> prometheus::Result<Self> {
        let (name, process) = match port {
            Port::Control => ("limpet_control_forbidden_requests_total", "control"),
            Port::Peer => ("limpet_agent_forbidden_requests_total", "agent"),
        };
        let opts = Opts::new(name, "Requests that were refused by reason of who asked.");
        let refused = IntCounterVec::new(opts, &["reason"])?;
        registry.register(Box::new(refused.clone()))?;
        if credentials.is_none() {
            log::warn!(
                event = "not_authenticated", process;
                "the port is not authenticated; set --tls-ca, --tls-certificate and --tls-key"
            );
        }
        Ok(Gate {
            port,
            closed: credentials.is_some(),
            refused,
        })
    }

    /// Keeps what the certificate of a new connection says. A callback for
    /// `HttpServer::on_connect`.
    pub fn note(connection: &dyn Any, data: &mut Extensions) {
        let Some(stream) = connection.downcast_ref::<TlsStream<TcpStream>>() else {
            return;
        };
        let (_, session) = stream.get_ref();
        let chain = session.peer_certificates().unwrap_or_default();
        if let Some(certificate) = chain.first() {
            data.insert(Names::of(certificate));
        }
    }

    /// Decides about a request by its path.
    fn check(&self, req: &HttpRequest) -> Result<(), Refusal> {
        self.judge(req, |names| allow(self.port, req.path(), names))
    }

    fn judge(
        &self,
        req: &HttpRequest,
        rule: impl FnOnce(&Names) -> Result<(), Refusal>,
    ) -> Result<(), Refusal> {
        if !self.closed {
            return Ok(());
        }
        let names = req.conn_data::<Names>().ok_or(Refusal::NoCertificate)?;
        rule(names)
    }

    fn refuse(&self, req: &HttpRequest, refusal: Refusal) -> HttpResponse {
        self.refused.with_label_values(&[refusal.label()]).inc();
        log::debug!(event = "forbidden", path = req.path(), reason = refusal.label(); "request refused");
        forbidden()
    }
}

/// The answer to a request for a change, if whoever sent it may not make
/// changes in the name of `author`.
#[must_use]
pub fn refuse_author(req: &HttpRequest, author: &OperatorName) -> Option<HttpResponse> {
    let Some(gate) = req.app_data::<Gate>() else {
        return Some(forbidden());
    };
    let checked = gate.judge(req, |names| may_author(author, names));
    checked.err().map(|refusal| gate.refuse(req, refusal))
}

fn forbidden() -> HttpResponse {
    HttpResponse::Forbidden().finish()
}

/// Middleware that lets only allowed requests through to the handlers. The
/// [`Gate`] is among the data of the application; without it nothing is
/// allowed.
///
/// # Errors
///
/// Those of the handlers.
pub async fn enforce<B: MessageBody + 'static>(
    req: ServiceRequest,
    next: Next<B>,
) -> Result<ServiceResponse<BoxBody>, Error> {
    let Some(gate) = req.app_data::<Gate>() else {
        return Ok(req.into_response(forbidden()));
    };
    match gate.check(req.request()) {
        Ok(()) => Ok(next.call(req).await?.map_into_boxed_body()),
        Err(refusal) => {
            let answer = gate.refuse(req.request(), refusal);
            Ok(req.into_response(answer))
        }
    }
}
