//! Setup of the QUIC endpoint.

use std::{sync::Arc, time::Duration};

use quinn::{
    Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TransportConfig,
    VarInt,
};
use rand::RngCore;
use tokio::sync::watch;
use types::UpstreamId;

use super::{ServiceCertificate, endpoint_socket::EndpointSocket};
use crate::{
    Error, Result,
    connection::{CidConfig, CidGenerator},
};

/// Limits of the connections, and of their bytes, that are queued for the
/// accepting task; they bound the memory in a flood of Initial packets.
const MAX_INCOMING_CONNECTIONS: usize = 4096;
const MAX_INCOMING_BYTES: u64 = 16 << 20;

/// Idle timeout of a connection.
const IDLE_TIMEOUT_MILLIS: u32 = 60_000;

/// Time between keepalive packets, which keep an idle connection open on its path.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// Largest UDP payload towards callers. With the PROXY prefix and an IPv6 header
/// it fits into an Ethernet frame between the hosts.
const MAX_UDP_PAYLOAD_BYTES: u16 = 1400;

/// Concurrent requests of one connection.
const MAX_CONNECTION_REQUESTS: u32 = 1000;

/// Waits until the service and its keys are configured; `None` if the agent is
/// stopped first.
pub(super) async fn first_cid_config(
    mut rx: watch::Receiver<Option<CidConfig>>,
    stop: &mut watch::Receiver<bool>,
) -> Option<watch::Receiver<CidConfig>> {
    let first = tokio::select! {
        config = rx.wait_for(Option::is_some) => config.ok()?.clone()?,
        _ = stop.wait_for(|stop| *stop) => return None,
    };
    let (tx, known) = watch::channel(first);
    actix_rt::spawn(async move {
        while rx.changed().await.is_ok() {
            if let Some(config) = rx.borrow_and_update().clone() {
                tx.send_replace(config);
            }
        }
    });
    Some(known)
}

/// Opens the endpoint on a socket that is backed by the datagram task.
pub(super) fn open_endpoint(
    certificate: ServiceCertificate,
    own_id: UpstreamId,
    cid_config: watch::Receiver<CidConfig>,
    socket: EndpointSocket,
) -> Result<Endpoint> {
    let mut transport = TransportConfig::default();
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(MAX_UDP_PAYLOAD_BYTES);
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(
            IDLE_TIMEOUT_MILLIS,
        ))))
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_CONNECTION_REQUESTS))
        .mtu_discovery_config(Some(mtu));
    let mut server = ServerConfig::with_crypto(Arc::new(certificate.into_crypto()?));
    server
        .transport_config(Arc::new(transport))
        .max_incoming(MAX_INCOMING_CONNECTIONS)
        .incoming_buffer_size_total(MAX_INCOMING_BYTES);

    let mut reset_key = [0; 64];
    rand::rng().fill_bytes(&mut reset_key);
    let reset_key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &reset_key);
    let mut endpoint = EndpointConfig::new(Arc::new(reset_key));
    endpoint.cid_generator(move || Box::new(CidGenerator::new(own_id, cid_config.clone())));
    let runtime = Arc::new(quinn::TokioRuntime);
    Endpoint::new_with_abstract_socket(endpoint, Some(server), Arc::new(socket), runtime)
        .map_err(Error::Endpoint)
}
