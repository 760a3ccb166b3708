//! Which balancers answers are sent through.

use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time without a datagram after which a balancer is no longer used.
const SILENCE: Duration = Duration::from_millis(300);

/// Time without a datagram after which a balancer is probed.
const PROBE_AFTER: Duration = Duration::from_millis(100);

/// Deadlines of one balancer.
#[derive(Debug, Clone, Copy)]
struct Deadlines {
    /// Not used from this instant on, unless it is heard again.
    silent_at: Instant,
    /// Probed at this instant, unless it is heard before.
    probe_at: Instant,
}

/// Which of the known balancers may take an answer.
pub trait Choice: Default {
    /// Whether a balancer may be used that is silent from `silent_at` on,
    /// unless it is heard again.
    fn may_use(now: Instant, silent_at: Instant) -> bool;
}

/// Only balancers that were heard lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Heard;

impl Choice for Heard {
    fn may_use(now: Instant, silent_at: Instant) -> bool {
        now < silent_at
    }
}

/// All known balancers; the baseline of benchmarks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Known;

impl Choice for Known {
    fn may_use(_: Instant, _: Instant) -> bool {
        true
    }
}

/// The balancers that the agent knows, and which of them it hears.
#[derive(Debug, Default)]
pub struct Balancers<C: Choice = Heard> {
    choice: PhantomData<C>,
    known: BTreeMap<SocketAddr, Deadlines>,
    /// Counts the answers that were sent while no balancer was heard, to try
    /// all in turn.
    turn: usize,
}

impl<C: Choice> Balancers<C> {
    /// Replaces the known balancers. A new one is used once it is heard.
    pub fn set(&mut self, now: Instant, addresses: &BTreeSet<SocketAddr>) {
        self.known.retain(|address, _| addresses.contains(address));
        let unheard = Deadlines {
            silent_at: now,
            probe_at: now,
        };
        for &address in addresses {
            self.known.entry(address).or_insert(unheard);
        }
    }

    /// Notes a datagram of a balancer; one of another sender is ignored.
    pub fn heard(&mut self, now: Instant, from: SocketAddr) {
        if let Some(deadlines) = self.known.get_mut(&from) {
            deadlines.silent_at = now + SILENCE;
            deadlines.probe_at = now + PROBE_AFTER;
        }
    }

    /// Chooses a balancer for an answer. `random` spreads the choice over the
    /// balancers that are heard; if there is none, all are tried in turn.
    pub fn choose(&mut self, now: Instant, random: usize) -> Option<SocketAddr> {
        let usable = |d: &Deadlines| C::may_use(now, d.silent_at);
        let live = self.known.values().filter(|d| usable(d)).count();
        if live == 0 {
            self.turn += 1;
            let nth = self.turn % self.known.len().max(1);
            return self.known.keys().nth(nth).copied();
        }
        self.known
            .iter()
            .filter(|(_, d)| usable(d))
            .nth(random % live)
            .map(|(&address, _)| address)
    }

    /// Takes the balancers that are to be probed now.
    pub fn due_probes(&mut self, now: Instant) -> Vec<SocketAddr> {
        let mut due = Vec::new();
        for (&address, deadlines) in &mut self.known {
            if deadlines.probe_at <= now {
                deadlines.probe_at = now + PROBE_AFTER;
                due.push(address);
            }
        }
        due
    }

    /// When the next probe is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.known.values().map(|d| d.probe_at).min()
    }
}
