//! Compares the admission with its baselines in a simulation with seeded
//! arrivals.
//!
//! Prints one row for each case and variant: the median over the seeds and, in
//! brackets, the minimum and the maximum.

use std::time::Duration;

use admit::{QueueOrder, Settings};
use bench::admission::{Case, Figures, Scenario, ServiceSize, Variant, run};
use clap::Parser;
use comfy_table::{Table, presets::ASCII_MARKDOWN};

#[derive(Debug, Parser)]
#[command(about = "Compares the admission with its baselines over seeded arrivals")]
struct Args {
    /// Number of seeds, from 1 on
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Simulated seconds of each run
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Compare settings of this design instead of the baselines
    #[arg(long)]
    tune: bool,
    /// Run the size with more peers than are all asked
    #[arg(long)]
    wide: bool,
}

fn main() {
    let args = Args::parse();
    let variants = if args.tune {
        settings_variants()
    } else {
        Variant::design_and_baselines()
    };
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN);
    let columns = ["size", "scenario", "load", "variant"];
    table.set_header(columns.iter().chain(&Figures::NAMES));
    let sizes = if args.wide {
        vec![ServiceSize::MANY_PEERS]
    } else {
        vec![ServiceSize::VOUCHER_GUILD, ServiceSize::CO_OPERATIVE]
    };
    for size in sizes {
        for (scenario, load) in scenarios_and_loads(args.wide) {
            for variant in &variants {
                let case = Case {
                    size,
                    scenario,
                    load,
                    duration: Duration::from_secs(args.seconds),
                    seed: 0,
                };
                table.add_row(row(&case, variant, args.seeds));
            }
        }
    }
    println!("{table}");
}

fn scenarios_and_loads(wide: bool) -> Vec<(Scenario, f64)> {
    let mut scenarios_and_loads = vec![
        (Scenario::Steady, 0.5),
        (Scenario::Steady, 0.8),
        (Scenario::Steady, 0.95),
        (Scenario::Feeds, 0.8),
        (Scenario::Leaving, 0.8),
        (Scenario::Cold, 0.8),
        (Scenario::WrongLoad, 0.8),
        (Scenario::StaleLoad, 0.8),
        (Scenario::Steady, 2.0),
        (Scenario::Steady, 5.0),
    ];
    if wide {
        // The other scenarios take minutes at this size.
        scenarios_and_loads.truncate(3);
    }
    scenarios_and_loads
}

fn settings_variants() -> Vec<Variant> {
    let with = |name: &str, change: fn(&mut Settings)| {
        let mut settings = Settings::default();
        change(&mut settings);
        Variant::admit(name, settings)
    };
    vec![
        with("default", |_| {}),
        with("no offers", |s| {
            s.offer_window = Duration::ZERO;
        }),
        with("no offers, no asking again", |s| {
            s.offer_window = Duration::ZERO;
            s.ask_interval = None;
        }),
        with("never ask again", |s| {
            s.ask_interval = None;
        }),
        with("ask again 10 ms", |s| {
            s.ask_interval = Some(Duration::from_millis(10));
        }),
        with("offers 25 ms", |s| {
            s.offer_window = Duration::from_millis(25);
        }),
        with("offers 100 ms", |s| {
            s.offer_window = Duration::from_millis(100);
        }),
        with("pause 50 ms", |s| {
            s.full_peer_backoff = Duration::from_millis(50);
        }),
        with("pause 10 ms", |s| {
            s.full_peer_backoff = Duration::from_millis(10);
        }),
        with("pause 0 ms", |s| {
            s.full_peer_backoff = Duration::ZERO;
        }),
        with("lifo", |s| {
            s.queue_order = QueueOrder::Lifo;
        }),
        with("adaptive", |s| {
            s.queue_order = QueueOrder::Adaptive;
        }),
        with("queue 2", |s| {
            s.max_queued_per_slot = 2;
        }),
        with("queue 8", |s| {
            s.max_queued_per_slot = 8;
        }),
    ]
}

fn row(case: &Case, variant: &Variant, seeds: u64) -> Vec<String> {
    let runs: Vec<[f64; 12]> = (1..=seeds)
        .map(|seed| run(&Case { seed, ..*case }, &variant.policy).values())
        .collect();
    let head = [
        case.size.name.to_owned(),
        case.scenario.to_string(),
        format!("{:.2}", case.load),
        variant.name.clone(),
    ];
    let cells = (0..Figures::NAMES.len()).map(|i| {
        let mut values: Vec<f64> = runs.iter().map(|figures| figures[i]).collect();
        values.sort_by(f64::total_cmp);
        let (least, most) = (values[0], values[values.len() - 1]);
        format!("{:.2} ({least:.2}-{most:.2})", values[values.len() / 2])
    });
    head.into_iter().chain(cells).collect()
}
