//! Runs the cases that cannot be put as a day: starts the project's processes on
//! loopback addresses, with small stand-ins for the platform, the operator, the servers
//! and the clients. Uses only the standard library.
//!
//!     trial CASE FOLDER     (TROUBLE=0 leaves the disruption out)
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cases;
mod flows;
mod site;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let args: Vec<String> = env::args().collect();
    if args.len() != 3 {
        eprintln!("usage: trial CASE FOLDER");
        exit(2);
    }
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(&args[2]);
    let outcome = match args[1].as_str() {
        "founder-lost" => cases::founder_lost(&folder, trouble),
        "acknowledged-alone" => cases::acknowledged_alone(&folder, trouble),
        "large-order" => cases::large_order(&folder, trouble),
        other => Err(format!("no such case: {other}")),
    };
    match outcome {
        Ok(true) => exit(0),
        Ok(false) => exit(1),
        Err(e) => {
            eprintln!("the case could not run: {e}");
            exit(2);
        }
    }
}
