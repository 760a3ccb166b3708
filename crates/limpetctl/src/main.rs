//! The `limpetctl` program: the operators' tool and an HTTP/3 client.
//!
//! [`process`] holds the settings and the output, [`request`] one module for
//! each group of commands, and [`version`] the views of the configuration and of
//! the membership. Every command returns a [`process::Exit`]; a change is
//! reported as refused or unavailable only if it was certainly not made.

mod error;
mod process;
mod request;
mod version;

use std::process::ExitCode;

use process::Settings;

fn main() -> ExitCode {
    let settings = Settings::read();
    actix_rt::System::new()
        .block_on(request::run(&settings))
        .into()
}
