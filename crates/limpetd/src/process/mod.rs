//! What lives as long as the daemon.

mod cli;
mod local;
mod metrics;
mod signal;
mod tls;

use prometheus::Registry;

pub use cli::Cli;
use cli::Start;

use crate::error::Result;

/// Runs the role that the command line names until it ends.
///
/// # Errors
///
/// The role cannot start or go on.
pub async fn serve(cli: Cli) -> Result<()> {
    let registry = Registry::new();
    // All files that the settings name, before any socket is opened.
    let start = cli.role.read()?;
    if let Some(address) = cli.metrics_listen {
        metrics::serve(address, registry.clone())?;
    }
    let (stop, now) = signal::listen()?;
    let role = async {
        match start {
            Start::Control(cfg) => Ok(control::run(*cfg, &registry, stop).await?),
            Start::Balancer(cfg) => Ok(balancer::run(*cfg, &registry, stop).await?),
            Start::Agent(cfg, identity) => Ok(agent::run(*cfg, identity, &registry, stop).await?),
            Start::Local(args) => Box::pin(local::run(args, &registry, stop)).await,
        }
    };
    tokio::select! {
        result = role => result,
        _ = now => {
            log::warn!(event = "stopped_at_once"; "second signal; requests in progress are cut");
            Ok(())
        }
    }
}
