//! The daemon of limpetplank: `limpetd control`, `limpetd balancer`, `limpetd
//! agent`, and `limpetd local`, which runs all of them in one process.
//!
//! Settings come from flags and `LIMPET_…` environment variables and are
//! checked before any socket is opened. The first SIGTERM or SIGINT shuts the
//! process down gracefully, the second one terminates it at once.

mod error;
mod process;

use std::process::ExitCode;

use clap::Parser;

use process::{Cli, serve};

fn main() -> ExitCode {
    let cli = Cli::parse();
    logs::init(logs::Output::Stderr);
    match actix_rt::System::new().block_on(serve(cli)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log::error!(event = "failed", error:% = e; "limpetd exits because of an error");
            ExitCode::from(e.exit_status())
        }
    }
}
