//! Starting and ending an agent.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::{Duration, Instant},
};

use actix_web::dev::ServerHandle;
use client::{Http, NodeReport, SyncSettings, SyncTask};
use prometheus::Registry;
use quinn::{
    Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig, ServerConfig, TransportConfig,
    VarInt,
};
use rand::{Rng, RngCore};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{timeout, timeout_at},
};
use types::{Announcement, Connections, Loads, Role, UpstreamId, UpstreamState};
use wire::Subset;

use super::{
    AdmissionHandle, Choice, Heard, Identity, Metrics, Settings, admission::AdmissionTask,
    datagram::DatagramTask, load::LoadTask, node::NodeTask, peer, port::Port,
};
use crate::{
    Error, Result,
    connection::{AcceptTask, CidGenerator, CidSource},
    request::{RequestContext, RequestIds},
};

/// Datagrams that may wait between endpoint and socket, in each direction.
const PACKETS: usize = 4096;

/// Versions and commands that may wait for a task.
const STEPS: usize = 4;

/// Time after which a silent caller is given up.
const IDLE_MILLIS: u32 = 60_000;

/// Time between packets that keep a quiet feed open on its way.
const KEEP_ALIVE: Duration = Duration::from_secs(10);

/// Largest UDP payload towards callers: with the prefix and an IPv6 header it
/// fits into an Ethernet frame between the hosts.
const MAX_UDP_PAYLOAD: u16 = 1400;

/// First packets that may wait for the task that accepts connections, and the
/// bytes that may wait with them; bounds the memory in a flood.
const MAX_INCOMING: usize = 4096;
const MAX_INCOMING_BYTES: u64 = 16 << 20;

/// Concurrent requests of one connection.
const MAX_STREAMS: u32 = 1000;

/// Buffer of the data socket in bytes.
const SOCKET_BUFFER: usize = 4 << 20;

/// Time for the last announcement and the last packets.
const FAREWELL: Duration = Duration::from_millis(200);

/// Runs an agent. When `stop` changes it leaves: it ends once the last request
/// is done, at the latest after `stay_at_most`.
///
/// # Errors
///
/// A socket cannot be opened, or the certificate cannot be used.
pub async fn run(
    cfg: Settings,
    identity: Identity,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    run_with::<Heard>(cfg, identity, registry, stop).await
}

/// Runs an agent as [`run`] does, with another choice of balancers.
///
/// # Errors
///
/// A socket cannot be opened, or the certificate cannot be used.
pub async fn run_with<C: Choice + 'static>(
    cfg: Settings,
    identity: Identity,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let metrics = Metrics::new(registry)?;
    let own = UpstreamId(rand::rng().random());
    let data = open_data_socket(&cfg)?;
    let listener =
        TcpListener::bind(cfg.peer_listen).map_err(|e| Error::Bind(cfg.peer_listen, e))?;
    let announcement = announcement(&cfg, own, &data, &listener)?;
    log::info!(
        event = "agent_started", upstream:% = own, data:% = announcement.data,
        peer:% = announcement.peer; "agent started"
    );

    let (admission, admission_rx) = AdmissionHandle::channel();
    let ids = RequestIds::default();
    let (datagram_tx, datagram_rx) = mpsc::channel(STEPS);
    let (in_tx, in_rx) = mpsc::channel(PACKETS);
    let (out_tx, out_rx) = mpsc::channel(PACKETS);
    let (step_tx, step_rx) = mpsc::channel(STEPS);
    let (service_tx, service_rx) = watch::channel(None);
    let peers = peer::serve(
        listener,
        admission.clone(),
        ids.clone(),
        own,
        cfg.upstream,
        service_rx.clone(),
    )?;
    let peers_handle = peers.handle();
    let (cid_tx, cid_rx) = watch::channel(None);
    let (leaving_tx, leaving_rx) = watch::channel(false);
    let (report_tx, report_rx) = watch::channel(NodeReport {
        upstream: Some(announcement.clone()),
        balancer: None,
    });

    let http = Http::default();
    let node = NodeTask {
        cfg: cfg.clone(),
        announcement,
        steps: step_rx,
        report: report_tx,
        admission: admission.clone(),
        datagrams: datagram_tx,
        service: service_tx,
        cids: cid_tx,
        leaving: leaving_tx,
        stop: stop.clone(),
        ready_since: None,
    };
    let admission_task =
        AdmissionTask::new(&cfg, own, http.clone(), admission.clone(), admission_rx);
    let datagram_task =
        DatagramTask::<C>::new(own, data, datagram_rx, in_tx, out_rx, metrics.clone());
    let sync_task = SyncTask::new(sync_settings(&cfg), http, report_rx, step_tx);
    let tasks = [
        actix_rt::spawn(sync_task.run()),
        actix_rt::spawn(node.run()),
        actix_rt::spawn(admission_task.run()),
        actix_rt::spawn(datagram_task.run()),
        actix_rt::spawn(async move {
            let _ = peers.await;
        }),
    ];

    let load_task = cfg.load_path.as_ref().map(|path| {
        let task = LoadTask::new(cfg.upstream, &path.to_string(), admission.clone());
        actix_rt::spawn(task.run())
    });

    let cx = RequestContext {
        admission,
        ids,
        upstream: cfg.upstream,
        service: service_rx,
        metrics,
    };
    let port = Port::new(in_rx, out_tx);
    let mut stopping = stop.clone();
    let result = match first_cid_source(cid_rx, &mut stopping).await {
        Some(cids) => {
            let endpoint = open_endpoint(identity, own, cids, port)?;
            let accept = AcceptTask::new(endpoint.clone(), cx, leaving_rx, stop);
            let accept = actix_rt::spawn(accept.run());
            stay(&cfg, stopping, accept, &peers_handle).await;
            endpoint.close(VarInt::from_u32(0), b"");
            Ok(())
        }
        None => Ok(()),
    };
    actix_rt::time::sleep(FAREWELL).await;
    // A graceful stop that is under way would hold this one up until requests
    // of peers have ended, which may be after the end of the stay.
    let _ = timeout(FAREWELL, peers_handle.stop(false)).await;
    for task in tasks.into_iter().chain(load_task) {
        task.abort();
    }
    log::info!(event = "agent_stopped"; "agent stopped");
    result
}

fn sync_settings(cfg: &Settings) -> SyncSettings {
    SyncSettings {
        subset: Subset::Named([cfg.service.clone()].into()),
        ..SyncSettings::new(
            cfg.host.clone(),
            Role::Agent,
            cfg.data_centre.clone(),
            cfg.control.clone(),
        )
    }
}

fn open_data_socket(cfg: &Settings) -> Result<UdpSocket> {
    let open = |address: SocketAddr| -> io::Result<UdpSocket> {
        let socket = Socket::new(
            Domain::for_address(address),
            Type::DGRAM,
            Some(Protocol::UDP),
        )?;
        // The kernel may grant less than asked for.
        let _ = socket.set_recv_buffer_size(SOCKET_BUFFER);
        let _ = socket.set_send_buffer_size(SOCKET_BUFFER);
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        UdpSocket::from_std(socket.into())
    };
    open(cfg.data_listen).map_err(|e| Error::Bind(cfg.data_listen, e))
}

/// The announcement before any state is known.
fn announcement(
    cfg: &Settings,
    id: UpstreamId,
    data: &UdpSocket,
    peer: &TcpListener,
) -> Result<Announcement> {
    Ok(Announcement {
        id,
        service: cfg.service.clone(),
        data_centre: cfg.data_centre.clone(),
        data: data
            .local_addr()
            .map_err(|e| Error::Bind(cfg.data_listen, e))?,
        peer: peer
            .local_addr()
            .map_err(|e| Error::Bind(cfg.peer_listen, e))?,
        state: UpstreamState::Ready,
        connections: Connections(0),
        loads: Loads::new(),
        ready_for: Duration::ZERO,
    })
}

/// Waits until the service and its keys are known; `None` if the agent is to
/// stop before.
async fn first_cid_source(
    mut rx: watch::Receiver<Option<CidSource>>,
    stop: &mut watch::Receiver<bool>,
) -> Option<watch::Receiver<CidSource>> {
    let first = tokio::select! {
        source = rx.wait_for(Option::is_some) => source.ok()?.clone()?,
        _ = stop.wait_for(|stop| *stop) => return None,
    };
    let (tx, known) = watch::channel(first);
    actix_rt::spawn(async move {
        while rx.changed().await.is_ok() {
            if let Some(source) = rx.borrow_and_update().clone() {
                tx.send_replace(source);
            }
        }
    });
    Some(known)
}

fn open_endpoint(
    identity: Identity,
    own: UpstreamId,
    cids: watch::Receiver<CidSource>,
    port: Port,
) -> Result<Endpoint> {
    let mut transport = TransportConfig::default();
    let mut mtu = MtuDiscoveryConfig::default();
    mtu.upper_bound(MAX_UDP_PAYLOAD);
    transport
        .max_idle_timeout(Some(IdleTimeout::from(VarInt::from_u32(IDLE_MILLIS))))
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS))
        .mtu_discovery_config(Some(mtu));
    let mut server = ServerConfig::with_crypto(Arc::new(identity.into_crypto()?));
    server
        .transport_config(Arc::new(transport))
        .max_incoming(MAX_INCOMING)
        .incoming_buffer_size_total(MAX_INCOMING_BYTES);

    let mut reset_key = [0; 64];
    rand::rng().fill_bytes(&mut reset_key);
    let reset_key = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, &reset_key);
    let mut endpoint = EndpointConfig::new(Arc::new(reset_key));
    endpoint.cid_generator(move || Box::new(CidGenerator::new(own, cids.clone())));
    let runtime = Arc::new(quinn::TokioRuntime);
    Endpoint::new_with_abstract_socket(endpoint, Some(server), Arc::new(port), runtime)
        .map_err(Error::Endpoint)
}

/// Waits for the order to stop and then for the requests in progress, at most
/// `stay_at_most`.
async fn stay(
    cfg: &Settings,
    mut stop: watch::Receiver<bool>,
    accept: JoinHandle<()>,
    peers: &ServerHandle,
) {
    let _ = stop.wait_for(|stop| *stop).await;
    let stay_until = Instant::now() + cfg.stay_at_most;
    let done = async {
        let _ = accept.await;
        peers.stop(true).await;
    };
    if timeout_at(stay_until.into(), done).await.is_err() {
        log::warn!(event = "stay_ended"; "requests in progress are cut at the end of the stay");
    }
}
