//! State and tasks that live as long as the daemon.

mod cli;
mod local;
mod metrics;
mod signal;
mod tls;

use prometheus::Registry;

pub use cli::Cli;
use cli::RoleSettings;

use crate::error::Result;

/// Runs the role given on the command line until it stops.
///
/// # Errors
///
/// A setting is wrong, the role cannot start, or it failed while running.
pub async fn serve(cli: Cli) -> Result<()> {
    let registry = Registry::new();
    // Reads all files that the settings name before any socket is opened.
    let settings = cli.role.read_settings()?;
    if let Some(address) = cli.metrics_listen {
        metrics::serve(address, registry.clone())?;
    }
    let (stop, exit_now) = signal::listen()?;
    let role = async {
        match settings {
            RoleSettings::Control(cfg) => Ok(control::run(*cfg, &registry, stop).await?),
            RoleSettings::Balancer(cfg) => Ok(balancer::run(*cfg, &registry, stop).await?),
            RoleSettings::Agent(cfg, certificate) => {
                Ok(agent::run(*cfg, certificate, &registry, stop).await?)
            }
            RoleSettings::Local(args) => Box::pin(local::run(args, &registry, stop)).await,
        }
    };
    tokio::select! {
        result = role => result,
        _ = exit_now => {
            log::warn!(event = "stopped_at_once"; "second signal received; exiting without waiting for requests in progress");
            Ok(())
        }
    }
}
