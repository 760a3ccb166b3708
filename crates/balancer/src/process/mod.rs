//! What lives as long as the balancer.

mod datapath;
mod ingress;
mod metrics;
mod settings;

use client::{Http, NodeReport, SyncSettings, SyncTask};
use prometheus::Registry;
use tokio::sync::{mpsc, watch};
use types::{BalancerAnnouncement, Role};

pub use datapath::{Datapath, SyncChannels};
pub use ingress::{DirectIngress, FabricIngress, Ingress, IngressDatagram, bind};
pub use metrics::Metrics;
pub use settings::Settings;

use crate::{Error, Result};

/// Steps that may wait for the data path.
const STEPS: usize = 4;

/// Runs a balancer until `stop` is set, and then for the time to linger.
///
/// # Errors
///
/// A socket cannot be opened.
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
    let agents = bind(cfg.return_listen)?;
    let return_address = agents
        .local_addr()
        .map_err(|e| Error::Bind(cfg.return_listen, e))?;
    log::info!(event = "balancer_started", return_address:% = return_address; "balancer started");

    let balancer = Some(BalancerAnnouncement { return_address });
    let (report_tx, report_rx) = watch::channel(NodeReport {
        balancer,
        upstream: None,
    });
    let (step_tx, step_rx) = mpsc::channel(STEPS);
    let sync = SyncSettings::new(cfg.host, Role::Balancer, cfg.data_centre, cfg.control);
    let http = Http::new(cfg.credentials.as_ref());
    let sync = actix_rt::spawn(SyncTask::new(sync, http, report_rx, step_tx).run());

    let links = SyncChannels {
        steps: step_rx,
        report: report_tx,
    };
    Datapath::new(ingress, agents, links, metrics, cfg.shutdown_grace_period)
        .run(stop)
        .await;
    sync.abort();
    log::info!(event = "balancer_stopped"; "balancer stopped");
    Ok(())
}
