//! HTTP server for `/metrics`.

use std::net::SocketAddr;

use actix_web::{App, HttpResponse, HttpServer, web};
use prometheus::{Registry, TextEncoder};

use crate::error::{Error, Result};

/// Starts the metrics server, which runs until the process exits.
///
/// # Errors
///
/// The address cannot be bound.
pub fn serve(address: SocketAddr, registry: Registry) -> Result<()> {
    let registry = web::Data::new(registry);
    let server = HttpServer::new(move || {
        App::new()
            .app_data(registry.clone())
            .route("/metrics", web::get().to(metrics))
    })
    .workers(1)
    .disable_signals()
    .bind(address)
    .map_err(|e| Error::MetricsListen(address, e))?
    .run();
    actix_rt::spawn(async move {
        let _ = server.await;
    });
    Ok(())
}

async fn metrics(registry: web::Data<Registry>) -> HttpResponse {
    let encoder = TextEncoder::new();
    match encoder.encode_to_string(&registry.gather()) {
        Ok(text) => HttpResponse::Ok()
            .content_type(prometheus::TEXT_FORMAT)
            .body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}
