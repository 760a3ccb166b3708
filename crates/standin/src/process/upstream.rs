//! An HTTP/1.1 server that acts as an upstream.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
};

use actix_web::{App, HttpServer, dev::ServerHandle, web};
use bytes::Bytes;

use super::{Activity, Register, RegisterHandle};
use crate::{Error, Result, request};

/// Handle of a running stand-in upstream.
#[derive(Debug, Clone)]
pub struct UpstreamHandle {
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    register: RegisterHandle,
    server: ServerHandle,
}

impl UpstreamHandle {
    /// Number of runs of each claim.
    pub async fn runs(&self) -> BTreeMap<Bytes, u64> {
        self.register.runs().await
    }

    /// The current request counts; `None` once the task that keeps them has ended.
    pub async fn activity(&self) -> Option<Activity> {
        self.register.activity().await
    }

    /// Sets the slots of class `default` in the load report at `/load`.
    pub fn set_slots(&self, slots: u32) {
        self.register.set_slots(slots);
    }

    /// Stops the server without waiting for requests in progress.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// An HTTP/1.1 server that acts as an upstream.
#[derive(Debug)]
pub struct Upstream;

impl Upstream {
    /// Starts a stand-in upstream whose answers contain `name`.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(name: &str, listen: SocketAddr) -> Result<UpstreamHandle> {
        let bind = |e| Error::Bind(listen, e);
        let listener = TcpListener::bind(listen).map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let (register, handle) = Register::new();
        actix_rt::spawn(register.run());
        let name = request::UpstreamName(Bytes::copy_from_slice(name.as_bytes()));
        let data = handle.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(web::Data::new(data.clone()))
                .app_data(web::Data::new(name.clone()))
                .app_data(web::PayloadConfig::new(64 << 20))
                .route("/claim/{id}", web::post().to(request::claim))
                .route("/feed", web::get().to(request::feed))
                .route("/slow", web::to(request::slow))
                .route("/shed", web::to(request::shed))
                .route("/truncated", web::get().to(request::truncated))
                .route("/upload", web::post().to(request::upload))
                .route("/head", web::to(request::head))
                .route("/early", web::post().to(request::early))
                .route("/empty/{status}", web::to(request::empty))
                .route("/fields", web::to(request::fields))
                .route("/load", web::get().to(request::load))
                .default_service(web::to(request::answer_name))
        })
        .workers(1)
        .disable_signals()
        // Closing the connection cancels its request.
        .h1_allow_half_closed(false)
        .shutdown_timeout(1)
        .listen(listener)
        .map_err(bind)?
        .run();
        let server_handle = server.handle();
        actix_rt::spawn(async move {
            let _ = server.await;
        });
        Ok(UpstreamHandle {
            address,
            register: handle,
            server: server_handle,
        })
    }
}
