//! The daemon of limpetplank: `limpetd control`, `limpetd balancer`, `limpetd
//! agent`, and `limpetd local`, which runs all of them in one process.
//!
//! Settings come from flags and `LIMPET_…` environment variables and are
//! checked before any socket is opened. SIGTERM or SIGINT ends a process
//! gracefully, a second one at once.

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
            log::error!(event = "failed", error:% = e; "limpetd cannot go on");
            ExitCode::from(e.exit_status())
        }
    }
}
