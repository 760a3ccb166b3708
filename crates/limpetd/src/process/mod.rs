//! What lives as long as the daemon.

mod cli;
mod local;
pub mod logging;
mod metrics;
mod signal;

use prometheus::Registry;

pub use cli::Cli;
use cli::{AgentArgs, Role};

use crate::error::Result;

/// Runs the role that the command line names until it ends.
///
/// # Errors
///
/// The role cannot start or go on.
pub async fn serve(cli: Cli) -> Result<()> {
    let registry = Registry::new();
    if let Some(address) = cli.metrics_listen {
        metrics::serve(address, registry.clone())?;
    }
    let (stop, now) = signal::listen()?;
    let role = async {
        match cli.role {
            Role::Control(args) => Ok(control::run(args.settings(), &registry, stop).await?),
            Role::Balancer(args) => Ok(balancer::run(args.settings(), &registry, stop).await?),
            Role::Agent(args) => run_agent(args, &registry, stop).await,
            Role::Local(args) => Box::pin(local::run(args, &registry, stop)).await,
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

async fn run_agent(
    args: AgentArgs,
    registry: &Registry,
    stop: tokio::sync::watch::Receiver<bool>,
) -> Result<()> {
    let identity = args.identity()?;
    Ok(agent::run(args.settings(), identity, registry, stop).await?)
}
