//! What one run is made of.

use std::{fmt, time::Duration};

use admit::Settings;

/// Upstreams of a service of one of the users.
#[derive(Debug, Clone, Copy)]
pub struct Size {
    /// Short name of the user.
    pub name: &'static str,
    /// Number of upstreams, spread over three data centres.
    pub upstreams: usize,
    /// Slots of each.
    pub slots: u32,
    /// One-way delay between data centres.
    pub far: Duration,
}

impl Size {
    /// Booking and redemption of the voucher guild.
    pub const GUILD: Size = Size {
        name: "7x7 3ms",
        upstreams: 7,
        slots: 7,
        far: Duration::from_millis(3),
    };
    /// Badge register of the co-operative.
    pub const COOP: Size = Size {
        name: "7x2 5ms",
        upstreams: 7,
        slots: 2,
        far: Duration::from_millis(5),
    };
    /// A service with more peers than are all asked.
    pub const WIDE: Size = Size {
        name: "64x7 3ms",
        upstreams: 64,
        slots: 7,
        far: Duration::from_millis(3),
    };
}

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Nothing.
    Steady,
    /// Feeds with heavy-tailed life spans are held without taking slots.
    Feeds,
    /// One upstream leaves after a third of the run; the load is in proportion
    /// to the slots that stay.
    Leaving,
    /// One upstream serves at a quarter of the speed for the first 10 s.
    Cold,
    /// One upstream reports no load and ten times its slots.
    WrongLoad,
    /// Published counts arrive 5 s old.
    LateNews,
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Scenario::Steady => "steady",
            Scenario::Feeds => "feeds",
            Scenario::Leaving => "leaving",
            Scenario::Cold => "cold",
            Scenario::WrongLoad => "wrong load",
            Scenario::LateNews => "late news",
        })
    }
}

/// How requests are placed.
#[derive(Debug, Clone)]
pub enum Kind {
    /// The admission of this project at the upstream of the connection.
    Admit(Settings),
    /// Hash of the connection over the current table.
    Hash,
    /// Each of the balancers takes the upstreams in turn.
    RoundRobin,
    /// Each of the balancers takes the least reported load, plus what it sent
    /// there itself since the report.
    LeastLoad,
    /// One queue before all slots, without delays: the bound of what any
    /// placement can reach in the steady scenario.
    OneQueue,
}

/// A named way to place requests.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name in the output.
    pub name: String,
    /// The way.
    pub kind: Kind,
}

impl Variant {
    /// An admission with these settings.
    #[must_use]
    pub fn admit(name: &str, settings: Settings) -> Self {
        Variant {
            name: name.to_owned(),
            kind: Kind::Admit(settings),
        }
    }

    /// This design and its baselines.
    #[must_use]
    pub fn all() -> Vec<Self> {
        let without = Settings {
            hand_off_enabled: false,
            ..Settings::default()
        };
        let plain = |name: &str, kind| Variant {
            name: name.to_owned(),
            kind,
        };
        vec![
            Variant::admit("this design", Settings::default()),
            Variant::admit("no hand-off", without),
            plain("plain hash", Kind::Hash),
            plain("round robin", Kind::RoundRobin),
            plain("least load", Kind::LeastLoad),
            plain("(one queue)", Kind::OneQueue),
        ]
    }
}

/// One point of the benchmark.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Upstreams and delays.
    pub size: Size,
    /// What goes wrong.
    pub scenario: Scenario,
    /// Offered load as a share of the slots.
    pub load: f64,
    /// Length of the run.
    pub length: Duration,
    /// Seed of arrivals, times and choices.
    pub seed: u64,
}
