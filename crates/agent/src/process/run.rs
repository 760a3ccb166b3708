//! Startup and shutdown of an agent.

use std::{
    net::TcpListener,
    time::{Duration, Instant},
};

use actix_web::dev::ServerHandle;
use auth::{Authorizer, ServerKind};
use client::{HttpClient, NodeAnnouncement, SyncSettings, SyncTask};
use prometheus::Registry;
use quinn::VarInt;
use rand::Rng;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{timeout, timeout_at},
};
use types::{ClassLoads, Connections, Role, UpstreamAnnouncement, UpstreamId, UpstreamState};
use wire::ServiceSubset;

use super::{
    AdmissionHandle, BalancerPolicy, IdempotencyHandle, Metrics, ReachableOnly, ServiceCertificate,
    Settings,
    admission::AdmissionTask,
    datagram::DatagramTask,
    endpoint::{first_cid_config, open_endpoint},
    endpoint_socket::EndpointSocket,
    keys::IdempotencyTask,
    load::LoadTask,
    node::NodeTask,
    peer::{self, PeerContext},
};
use crate::{
    Error, Result,
    connection::{AcceptTask, CidConfig},
    request::{RequestContext, RequestIdGenerator},
};

/// Capacity of the queues between endpoint and datagram task, per direction.
const PACKET_QUEUE_LEN: usize = 4096;

/// Capacity of the queues of versions and of datagram commands.
const COMMAND_QUEUE_LEN: usize = 4;

/// Time at shutdown to send the last announcement and packets.
const SHUTDOWN_DELAY: Duration = Duration::from_millis(200);

/// Runs an agent. When `stop` changes, it drains and returns once the last
/// request has ended, or after [`Settings::drain_timeout`].
///
/// # Errors
///
/// Fails if a socket cannot be opened or the certificate cannot be used.
pub async fn run(
    cfg: Settings,
    certificate: ServiceCertificate,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    run_with_policy::<ReachableOnly>(cfg, certificate, registry, stop).await
}

/// Runs an agent as [`run`] does, with another policy for choosing balancers.
///
/// # Errors
///
/// Fails if a socket cannot be opened or the certificate cannot be used.
pub async fn run_with_policy<P: BalancerPolicy + 'static>(
    cfg: Settings,
    certificate: ServiceCertificate,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let (agent_tasks, caller_server) = start::<P>(&cfg, registry, stop.clone())?;
    let result = caller_server
        .run(&cfg, certificate, &agent_tasks.peer_server, stop)
        .await;
    actix_rt::time::sleep(SHUTDOWN_DELAY).await;
    // A graceful stop in progress would block this one until the requests of
    // peers have ended, possibly after the drain timeout.
    let _ = timeout(SHUTDOWN_DELAY, agent_tasks.peer_server.stop(false)).await;
    for task in agent_tasks.tasks {
        task.abort();
    }
    log::info!(event = "agent_stopped"; "agent stopped");
    result
}

/// The tasks that live as long as the agent.
struct AgentTasks {
    tasks: Vec<JoinHandle<()>>,
    peer_server: ServerHandle,
}

/// Serves the connections of callers.
struct CallerServer {
    own_id: UpstreamId,
    cx: RequestContext,
    /// Socket of the QUIC endpoint, backed by the datagram task.
    socket: EndpointSocket,
    cid_config: watch::Receiver<Option<CidConfig>>,
    leaving: watch::Receiver<bool>,
}

/// Opens the sockets and starts the tasks.
fn start<P: BalancerPolicy + 'static>(
    cfg: &Settings,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<(AgentTasks, CallerServer)> {
    let metrics = Metrics::new(registry)?;
    let own_id = UpstreamId(rand::rng().random());
    let data = net::bind_udp(cfg.data_listen).map_err(|e| Error::Bind(cfg.data_listen, e))?;
    let listener =
        TcpListener::bind(cfg.peer_listen).map_err(|e| Error::Bind(cfg.peer_listen, e))?;
    let announcement = announcement(cfg, own_id, &data, &listener)?;
    log::info!(
        event = "agent_started", upstream:% = own_id, data:% = announcement.data_address,
        peer:% = announcement.peer_address; "agent started"
    );

    let (admission, admission_rx) = AdmissionHandle::channel();
    let (idempotency, idempotency_rx) = IdempotencyHandle::channel();
    let (datagram_tx, datagram_rx) = mpsc::channel(COMMAND_QUEUE_LEN);
    let (inbound_tx, inbound_rx) = mpsc::channel(PACKET_QUEUE_LEN);
    let (outbound_tx, outbound_rx) = mpsc::channel(PACKET_QUEUE_LEN);
    let (step_tx, step_rx) = mpsc::channel(COMMAND_QUEUE_LEN);
    let (service_tx, service) = watch::channel(None);
    let (cid_config_tx, cid_config) = watch::channel(None);
    let (leaving_tx, leaving) = watch::channel(false);
    let (report_tx, report_rx) = watch::channel(NodeAnnouncement {
        upstream: Some(announcement.clone()),
        balancer: None,
    });
    let cx = RequestContext {
        admission: admission.clone(),
        request_ids: RequestIdGenerator::default(),
        upstream_address: cfg.upstream_address,
        service,
        idempotency: idempotency.clone(),
        metrics: metrics.clone(),
        credentials: cfg.credentials.clone(),
    };

    let http = HttpClient::new(cfg.credentials.as_ref());
    let authorizer = Authorizer::new(ServerKind::Peer, cfg.credentials.as_ref(), registry)?;
    let server = peer::serve(listener, PeerContext::new(own_id, &cx), authorizer)?;
    let peer_server = server.handle();
    let node = NodeTask {
        cfg: cfg.clone(),
        announcement,
        steps: step_rx,
        report: report_tx,
        admission: admission.clone(),
        idempotency: idempotency.clone(),
        datagrams: datagram_tx,
        service: service_tx,
        cid_config: cid_config_tx,
        leaving: leaving_tx,
        stop,
        ready_since: None,
    };
    let dedup_settings = dedup::Settings::default();
    let idempotency_task = IdempotencyTask::new(
        dedup_settings,
        own_id,
        http.clone(),
        idempotency,
        idempotency_rx,
    );
    let admission_task =
        AdmissionTask::new(cfg, own_id, http.clone(), admission.clone(), admission_rx);
    let datagram_task =
        DatagramTask::<P>::new(own_id, data, datagram_rx, inbound_tx, outbound_rx, metrics);
    let sync_task = SyncTask::new(sync_settings(cfg), http, report_rx, step_tx);
    let mut tasks = vec![
        actix_rt::spawn(sync_task.run()),
        actix_rt::spawn(node.run()),
        actix_rt::spawn(admission_task.run()),
        actix_rt::spawn(idempotency_task.run()),
        actix_rt::spawn(datagram_task.run()),
        actix_rt::spawn(async move {
            let _ = server.await;
        }),
    ];
    tasks.extend(cfg.load_path.as_ref().map(|path| {
        let task = LoadTask::new(cfg.upstream_address, &path.to_string(), admission);
        actix_rt::spawn(task.run())
    }));
    let caller_server = CallerServer {
        own_id,
        cx,
        socket: EndpointSocket::new(inbound_rx, outbound_tx),
        cid_config,
        leaving,
    };
    Ok((AgentTasks { tasks, peer_server }, caller_server))
}

impl CallerServer {
    /// Serves connections once the service is configured, until the agent has
    /// drained.
    async fn run(
        self,
        cfg: &Settings,
        certificate: ServiceCertificate,
        peer_server: &ServerHandle,
        stop: watch::Receiver<bool>,
    ) -> Result<()> {
        let mut stopping = stop.clone();
        let Some(cid_config) = first_cid_config(self.cid_config, &mut stopping).await else {
            return Ok(());
        };
        let endpoint = open_endpoint(certificate, self.own_id, cid_config, self.socket)?;
        let accept = AcceptTask::new(endpoint.clone(), self.cx, self.leaving, stop);
        let accept = actix_rt::spawn(accept.run());
        drain(cfg, stopping, accept, peer_server).await;
        endpoint.close(VarInt::from_u32(0), b"");
        Ok(())
    }
}

fn sync_settings(cfg: &Settings) -> SyncSettings {
    SyncSettings {
        subset: ServiceSubset::Named([cfg.service.clone()].into()),
        ..SyncSettings::new(
            cfg.host.clone(),
            Role::Agent,
            cfg.data_centre.clone(),
            cfg.control_hosts.clone(),
        )
    }
}

/// Creates the initial announcement.
fn announcement(
    cfg: &Settings,
    id: UpstreamId,
    data: &UdpSocket,
    peer: &TcpListener,
) -> Result<UpstreamAnnouncement> {
    Ok(UpstreamAnnouncement {
        id,
        service: cfg.service.clone(),
        data_centre: cfg.data_centre.clone(),
        data_address: data
            .local_addr()
            .map_err(|e| Error::Bind(cfg.data_listen, e))?,
        peer_address: peer
            .local_addr()
            .map_err(|e| Error::Bind(cfg.peer_listen, e))?,
        state: UpstreamState::Ready,
        connections: Connections(0),
        loads: ClassLoads::new(),
        ready_for: Duration::ZERO,
    })
}

/// Waits for the stop signal and then for the requests in progress, at most
/// [`Settings::drain_timeout`].
async fn drain(
    cfg: &Settings,
    mut stop: watch::Receiver<bool>,
    accept: JoinHandle<()>,
    peer_server: &ServerHandle,
) {
    let _ = stop.wait_for(|stop| *stop).await;
    let drain_deadline = Instant::now() + cfg.drain_timeout;
    let drained = async {
        let _ = accept.await;
        peer_server.stop(true).await;
    };
    if timeout_at(drain_deadline.into(), drained).await.is_err() {
        log::warn!(event = "stay_ended"; "drain timeout expired; aborting the requests in progress");
    }
}
