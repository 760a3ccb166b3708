//! Runs a site of real processes under load, with planned events and faults, and
//! checks the guarantees of the system.

use std::{
    cell::RefCell,
    error::Error,
    path::PathBuf,
    process::ExitCode,
    rc::Rc,
    time::{Duration, Instant},
};

use bench::soak::{FaultInjector, Figures, Load, Observation, Operations, Site, Tally};
use clap::Parser;
use comfy_table::{Table, presets::ASCII_MARKDOWN};
use serde_json::{Map, Value};
use tokio::sync::{mpsc, watch};

/// Capacity of the channel to the tally.
const MAX_QUEUED_OBSERVATIONS: usize = 1024;

#[derive(Debug, Parser)]
#[command(about = "Runs a site under load, planned events and faults")]
struct Args {
    /// Seed of the events
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Minutes in which events begin
    #[arg(long, default_value_t = 3.0)]
    minutes: f64,
    /// The limpetd program; the one beside this program if unset
    #[arg(long)]
    limpetd: Option<PathBuf>,
    /// Third octet of the loopback addresses
    #[arg(long, default_value_t = 90)]
    range: u8,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match actix_rt::System::new().block_on(run(args)) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("the soak failed: {e}");
            ExitCode::from(2)
        }
    }
}

async fn run(args: Args) -> Result<bool, Box<dyn Error>> {
    let program = match args.limpetd {
        Some(program) => program,
        None => std::env::current_exe()?.with_file_name("limpetd"),
    };
    let length = Duration::try_from_secs_f64(args.minutes * 60.0)?;
    let site = Site::start(program, args.range).await?;
    let (service, operator) = (site.service(), site.operator());
    let site = Rc::new(RefCell::new(site));
    let operations = Operations::create_service(operator, service)
        .await
        .ok_or("the upstreams of the service got no share in time")?;

    let (observations, observations_rx) = mpsc::channel(MAX_QUEUED_OBSERVATIONS);
    let (stop, stop_rx) = watch::channel(false);
    let tally = actix_rt::spawn(Tally::default().run(observations_rx));
    let load = Load::start(service, &observations, &stop_rx)?;
    let operations = actix_rt::spawn(operations.run(stop_rx));
    let faults = FaultInjector::new(site.clone(), args.seed, observations.clone());
    faults.run(Instant::now() + length).await?;
    observations.send(Observation::Stopping).await?;
    drop(observations);
    stop.send_replace(true);
    load.join().await;
    let changes = operations.await?;
    let tally = tally.await?;

    let site = Rc::into_inner(site)
        .ok_or("the site is still in use")?
        .into_inner();
    let figures = tally.evaluate(&site.runs().await, &changes);
    report(args.seed, args.minutes, &figures);
    if !figures.passed {
        println!("logs of the processes: {}", site.keep_logs().display());
    }
    Ok(figures.passed)
}

fn report(seed: u64, minutes: f64, figures: &Figures) {
    let mut table = Table::new();
    table
        .load_preset(ASCII_MARKDOWN)
        .set_header(["figure", "value"]);
    let mut json = Map::new();
    json.insert("seed".into(), seed.into());
    json.insert("minutes".into(), minutes.into());
    for (name, value) in &figures.rows {
        table.add_row([(*name).to_string(), value.to_string()]);
        json.insert(
            name.replace([' ', '-'], "_").replace(',', ""),
            (*value).into(),
        );
    }
    json.insert("details".into(), figures.details.clone().into());
    json.insert("passed".into(), figures.passed.into());
    println!("{table}");
    for detail in &figures.details {
        println!("{detail}");
    }
    println!("{}", Value::Object(json));
    println!("{}", if figures.passed { "PASS" } else { "FAIL" });
}
