//! Parameters of a simulation run.

use std::{fmt, time::Duration};

use admit::Settings;

/// Size of a service and delay between its upstreams.
#[derive(Debug, Clone, Copy)]
pub struct ServiceSize {
    /// Name in the output: upstreams, slots and delay.
    pub name: &'static str,
    /// Number of upstreams, spread over three data centres.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// One-way delay between data centres.
    pub inter_data_centre_delay: Duration,
}

impl ServiceSize {
    /// The booking and redemption service of the voucher guild.
    pub const VOUCHER_GUILD: ServiceSize = ServiceSize {
        name: "7x7 3ms",
        upstreams: 7,
        slots: 7,
        inter_data_centre_delay: Duration::from_millis(3),
    };
    /// The badge register of the co-operative.
    pub const CO_OPERATIVE: ServiceSize = ServiceSize {
        name: "7x2 5ms",
        upstreams: 7,
        slots: 2,
        inter_data_centre_delay: Duration::from_millis(5),
    };
    /// A service with more peers than an agent asks for one request.
    pub const MANY_PEERS: ServiceSize = ServiceSize {
        name: "64x7 3ms",
        upstreams: 64,
        slots: 7,
        inter_data_centre_delay: Duration::from_millis(3),
    };
}

/// Conditions of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Load without faults.
    Steady,
    /// Feeds with heavy-tailed durations are open, which take no slots.
    Feeds,
    /// One upstream leaves after a third of the run. The load is relative to the
    /// slots of the remaining upstreams.
    Leaving,
    /// The requests of one upstream take four times as long for the first 10 s.
    Cold,
    /// One upstream reports no load and ten times its slots, both wrong.
    WrongLoad,
    /// Published load counts are 5 s old when they arrive.
    StaleLoad,
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Scenario::Steady => "steady",
            Scenario::Feeds => "feeds",
            Scenario::Leaving => "leaving",
            Scenario::Cold => "cold",
            Scenario::WrongLoad => "wrong load",
            Scenario::StaleLoad => "late news",
        })
    }
}

/// How an upstream is chosen for a request.
#[derive(Debug, Clone)]
pub enum PlacementPolicy {
    /// The admission of this project, at the upstream of the connection.
    Admit(Settings),
    /// The upstream of the connection, by hash over the current table.
    Hash,
    /// Each balancer takes the upstreams in turn.
    RoundRobin,
    /// Each balancer takes the upstream with the lowest sum of its reported load
    /// and the requests that the balancer has sent to it since the report.
    LeastLoad,
    /// One queue for the slots of all upstreams, without delays: an upper bound
    /// for any placement in the steady scenario.
    OneQueue,
}

/// A placement policy with a name.
#[derive(Debug, Clone)]
pub struct Variant {
    /// Name in the output.
    pub name: String,
    /// The placement policy.
    pub policy: PlacementPolicy,
}

impl Variant {
    /// The admission with these settings.
    #[must_use]
    pub fn admit(name: &str, settings: Settings) -> Self {
        Variant {
            name: name.to_owned(),
            policy: PlacementPolicy::Admit(settings),
        }
    }

    /// This design and its baselines.
    #[must_use]
    pub fn design_and_baselines() -> Vec<Self> {
        let without_hand_off = Settings {
            hand_off_enabled: false,
            ..Settings::default()
        };
        let baseline = |name: &str, policy| Variant {
            name: name.to_owned(),
            policy,
        };
        vec![
            Variant::admit("this design", Settings::default()),
            Variant::admit("no hand-off", without_hand_off),
            baseline("plain hash", PlacementPolicy::Hash),
            baseline("round robin", PlacementPolicy::RoundRobin),
            baseline("least load", PlacementPolicy::LeastLoad),
            baseline("(one queue)", PlacementPolicy::OneQueue),
        ]
    }
}

/// Parameters of a simulation run.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Size of the service.
    pub size: ServiceSize,
    /// Conditions of the run.
    pub scenario: Scenario,
    /// Offered load as a fraction of the slots.
    pub load: f64,
    /// Simulated duration of the run.
    pub duration: Duration,
    /// Seed for arrivals, service times and random choices.
    pub seed: u64,
}
