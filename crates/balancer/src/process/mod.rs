//! Settings, tasks and sockets, which live as long as the process.

mod datapath;
mod ingress;
mod metrics;
mod settings;

use client::{HttpClient, NodeAnnouncement, SyncSettings, SyncTask};
use prometheus::Registry;
use tokio::sync::{mpsc, watch};
use types::{BalancerAnnouncement, Role};

pub use datapath::{Datapath, SyncChannels};
pub use ingress::{DirectIngress, FabricIngress, Ingress, IngressDatagram, bind};
pub use metrics::Metrics;
pub use settings::Settings;

use crate::{Error, Result};

/// Steps of the sync task that can be queued for the data path.
const STEP_CHANNEL_CAPACITY: usize = 4;

/// Runs a balancer until `stop` is set, and then for the shutdown grace period.
///
/// # Errors
///
/// A socket cannot be bound, or a metric cannot be registered.
pub async fn run(cfg: Settings, registry: &Registry, stop: watch::Receiver<bool>) -> Result<()> {
    let metrics = Metrics::new(registry)?;
    if let Some(address) = cfg.fabric_listen {
        let ingress = FabricIngress::open(address)?;
        serve(cfg, ingress, metrics, stop).await
    } else {
        let ingress = DirectIngress::new(cfg.services_listen);
        serve(cfg, ingress, metrics, stop).await
    }
}

async fn serve<I: Ingress>(
    cfg: Settings,
    ingress: I,
    metrics: Metrics,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let agent_socket = bind(cfg.return_listen)?;
    let return_address = agent_socket
        .local_addr()
        .map_err(|e| Error::Bind(cfg.return_listen, e))?;
    log::info!(event = "balancer_started", return_address:% = return_address; "balancer started");

    let balancer = Some(BalancerAnnouncement { return_address });
    let (report_tx, report_rx) = watch::channel(NodeAnnouncement {
        balancer,
        upstream: None,
    });
    let (step_tx, step_rx) = mpsc::channel(STEP_CHANNEL_CAPACITY);
    let sync = SyncSettings::new(cfg.host, Role::Balancer, cfg.data_centre, cfg.control);
    let http = HttpClient::new(cfg.credentials.as_ref());
    let sync = actix_rt::spawn(SyncTask::new(sync, http, report_rx, step_tx).run());

    let channels = SyncChannels {
        steps: step_rx,
        report: report_tx,
    };
    Datapath::new(
        ingress,
        agent_socket,
        channels,
        metrics,
        cfg.shutdown_grace_period,
    )
    .run(stop)
    .await;
    sync.abort();
    log::info!(event = "balancer_stopped"; "balancer stopped");
    Ok(())
}
