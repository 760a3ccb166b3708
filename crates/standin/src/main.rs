//! Runs a stand-in as a separate process, to try a site out on one machine:
//! `standin fabric` and `standin upstream`.

use std::{collections::BTreeSet, net::SocketAddr, process::ExitCode};

use clap::{Parser, Subcommand};
use standin::{Fabric, Result, Upstream};

/// Stand-ins for what is outside the system.
#[derive(Debug, Parser)]
#[command(after_help = "Example: standin upstream --name one --listen 127.0.0.1:8081")]
struct Cli {
    #[command(subcommand)]
    command: StandinCommand,
}

#[derive(Debug, Subcommand)]
enum StandinCommand {
    /// Hand each datagram for a service to a random balancer
    Fabric {
        /// Address that callers send to
        #[arg(long, value_name = "IP:PORT")]
        service: SocketAddr,

        /// Addresses at which balancers listen for the fabric
        #[arg(long, value_name = "IP:PORT", value_delimiter = ',', required = true)]
        balancers: Vec<SocketAddr>,
    },
    /// Answer HTTP/1.1 requests as an upstream
    Upstream {
        /// Name that the answers tell
        #[arg(long)]
        name: String,

        /// Address for requests
        #[arg(long, value_name = "IP:PORT")]
        listen: SocketAddr,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match actix_rt::System::new().block_on(run(cli.command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("standin: {e}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: StandinCommand) -> Result<()> {
    match command {
        StandinCommand::Fabric { service, balancers } => {
            let (fabric, handle) = Fabric::open(service, rand::random()).await?;
            let balancers: BTreeSet<SocketAddr> = balancers.into_iter().collect();
            handle.set_balancers(balancers).await;
            fabric.run().await;
            drop(handle);
        }
        StandinCommand::Upstream { name, listen } => {
            Upstream::start(&name, listen)?;
            std::future::pending::<()>().await;
        }
    }
    Ok(())
}
