//! Starting and ending an agent.

use std::{
    net::TcpListener,
    time::{Duration, Instant},
};

use actix_web::dev::ServerHandle;
use auth::{Gate, Port as GatePort};
use client::{Http, NodeReport, SyncSettings, SyncTask};
use prometheus::Registry;
use quinn::VarInt;
use rand::Rng;
use tokio::{
    net::UdpSocket,
    sync::{mpsc, watch},
    task::JoinHandle,
    time::{timeout, timeout_at},
};
use types::{Announcement, Connections, Loads, Role, UpstreamId, UpstreamState};
use wire::Subset;

use super::{
    AdmissionHandle, BalancerPolicy, KeysHandle, Metrics, ReachableOnly, ServiceCertificate,
    Settings,
    admission::AdmissionTask,
    datagram::DatagramTask,
    endpoint::{first_cid_source, open_endpoint},
    keys::KeysTask,
    load::LoadTask,
    node::NodeTask,
    peer::{self, PeerContext},
    port::Port,
};
use crate::{
    Error, Result,
    connection::{AcceptTask, CidSource},
    request::{RequestContext, RequestIds},
};

/// Datagrams that may wait between endpoint and socket, in each direction.
const PACKETS: usize = 4096;

/// Versions and commands that may wait for a task.
const STEPS: usize = 4;

/// Time for the last announcement and the last packets.
const FAREWELL: Duration = Duration::from_millis(200);

/// Runs an agent. When `stop` changes it leaves: it ends once the last request
/// is done, at the latest after `drain_timeout`.
///
/// # Errors
///
/// A socket cannot be opened, or the certificate cannot be used.
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
/// A socket cannot be opened, or the certificate cannot be used.
pub async fn run_with_policy<P: BalancerPolicy + 'static>(
    cfg: Settings,
    certificate: ServiceCertificate,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let (started, serving) = start::<P>(&cfg, registry, stop.clone())?;
    let result = serving.run(&cfg, certificate, &started.peers, stop).await;
    actix_rt::time::sleep(FAREWELL).await;
    // A graceful stop that is under way would hold this one up until requests
    // of peers have ended, which may be after the end of the stay.
    let _ = timeout(FAREWELL, started.peers.stop(false)).await;
    for task in started.tasks {
        task.abort();
    }
    log::info!(event = "agent_stopped"; "agent stopped");
    result
}

/// The tasks that live as long as the agent.
struct Started {
    tasks: Vec<JoinHandle<()>>,
    peers: ServerHandle,
}

/// What serving connections needs.
struct Serving {
    own: UpstreamId,
    cx: RequestContext,
    /// The endpoint's end of the datagram task.
    port: Port,
    cids: watch::Receiver<Option<CidSource>>,
    leaving: watch::Receiver<bool>,
}

/// Opens the sockets and starts the tasks.
fn start<P: BalancerPolicy + 'static>(
    cfg: &Settings,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<(Started, Serving)> {
    let metrics = Metrics::new(registry)?;
    let own = UpstreamId(rand::rng().random());
    let data = net::bind_udp(cfg.data_listen).map_err(|e| Error::Bind(cfg.data_listen, e))?;
    let listener =
        TcpListener::bind(cfg.peer_listen).map_err(|e| Error::Bind(cfg.peer_listen, e))?;
    let announcement = announcement(cfg, own, &data, &listener)?;
    log::info!(
        event = "agent_started", upstream:% = own, data:% = announcement.data,
        peer:% = announcement.peer; "agent started"
    );

    let (admission, admission_rx) = AdmissionHandle::channel();
    let (keys, keys_rx) = KeysHandle::channel();
    let (datagram_tx, datagram_rx) = mpsc::channel(STEPS);
    let (in_tx, in_rx) = mpsc::channel(PACKETS);
    let (out_tx, out_rx) = mpsc::channel(PACKETS);
    let (step_tx, step_rx) = mpsc::channel(STEPS);
    let (service_tx, service) = watch::channel(None);
    let (cid_tx, cids) = watch::channel(None);
    let (leaving_tx, leaving) = watch::channel(false);
    let (report_tx, report_rx) = watch::channel(NodeReport {
        upstream: Some(announcement.clone()),
        balancer: None,
    });
    let cx = RequestContext {
        admission: admission.clone(),
        ids: RequestIds::default(),
        upstream: cfg.upstream_address,
        service,
        keys: keys.clone(),
        metrics: metrics.clone(),
        credentials: cfg.credentials.clone(),
    };

    let http = Http::new(cfg.credentials.as_ref());
    let gate = Gate::new(GatePort::Peer, cfg.credentials.as_ref(), registry)?;
    let server = peer::serve(listener, PeerContext::new(own, &cx), gate)?;
    let peers = server.handle();
    let node = NodeTask {
        cfg: cfg.clone(),
        announcement,
        steps: step_rx,
        report: report_tx,
        admission: admission.clone(),
        keys: keys.clone(),
        datagrams: datagram_tx,
        service: service_tx,
        cids: cid_tx,
        leaving: leaving_tx,
        stop,
        ready_since: None,
    };
    let settings = dedup::Settings::default();
    let keys_task = KeysTask::new(settings, own, http.clone(), keys, keys_rx);
    let admission_task =
        AdmissionTask::new(cfg, own, http.clone(), admission.clone(), admission_rx);
    let datagram_task = DatagramTask::<P>::new(own, data, datagram_rx, in_tx, out_rx, metrics);
    let sync_task = SyncTask::new(sync_settings(cfg), http, report_rx, step_tx);
    let mut tasks = vec![
        actix_rt::spawn(sync_task.run()),
        actix_rt::spawn(node.run()),
        actix_rt::spawn(admission_task.run()),
        actix_rt::spawn(keys_task.run()),
        actix_rt::spawn(datagram_task.run()),
        actix_rt::spawn(async move {
            let _ = server.await;
        }),
    ];
    tasks.extend(cfg.load_path.as_ref().map(|path| {
        let task = LoadTask::new(cfg.upstream_address, &path.to_string(), admission);
        actix_rt::spawn(task.run())
    }));
    let serving = Serving {
        own,
        cx,
        port: Port::new(in_rx, out_tx),
        cids,
        leaving,
    };
    Ok((Started { tasks, peers }, serving))
}

impl Serving {
    /// Serves connections once the service is known, until the agent has left.
    async fn run(
        self,
        cfg: &Settings,
        certificate: ServiceCertificate,
        peers: &ServerHandle,
        stop: watch::Receiver<bool>,
    ) -> Result<()> {
        let mut stopping = stop.clone();
        let Some(cids) = first_cid_source(self.cids, &mut stopping).await else {
            return Ok(());
        };
        let endpoint = open_endpoint(certificate, self.own, cids, self.port)?;
        let accept = AcceptTask::new(endpoint.clone(), self.cx, self.leaving, stop);
        let accept = actix_rt::spawn(accept.run());
        stay(cfg, stopping, accept, peers).await;
        endpoint.close(VarInt::from_u32(0), b"");
        Ok(())
    }
}

fn sync_settings(cfg: &Settings) -> SyncSettings {
    SyncSettings {
        subset: Subset::Named([cfg.service.clone()].into()),
        ..SyncSettings::new(
            cfg.host.clone(),
            Role::Agent,
            cfg.data_centre.clone(),
            cfg.control_hosts.clone(),
        )
    }
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

/// Waits for the order to stop and then for the requests in progress, at most
/// `drain_timeout`.
async fn stay(
    cfg: &Settings,
    mut stop: watch::Receiver<bool>,
    accept: JoinHandle<()>,
    peers: &ServerHandle,
) {
    let _ = stop.wait_for(|stop| *stop).await;
    let stay_until = Instant::now() + cfg.drain_timeout;
    let done = async {
        let _ = accept.await;
        peers.stop(true).await;
    };
    if timeout_at(stay_until.into(), done).await.is_err() {
        log::warn!(event = "stay_ended"; "requests in progress are cut at the end of the stay");
    }
}
