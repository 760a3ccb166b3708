//! Which balancers answers are sent through.

use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time without a datagram after which a balancer is no longer used.
const SILENCE: Duration = Duration::from_millis(300);

/// Time without a datagram after which a kept balancer is probed: two probes
/// fit into [`SILENCE`], so that one may be lost.
const PROBE_AFTER: Duration = Duration::from_millis(150);

/// BalancerTracker that are kept heard by probes while answers are sent. The others
/// are heard by traffic if there is enough of it. A probe and its answer take
/// 88 bytes, so probes for all of a few balancers would already exceed the 2 KB
/// a second that a node may spend on control.
const KEPT: usize = 2;

/// Time for which answers count as being sent after the last one.
const ACTIVE: Duration = Duration::from_secs(1);

/// Time between probes of a balancer that is not kept.
const IDLE_PROBE: Duration = Duration::from_secs(2);

/// Time for the answer to a probe, after which a balancer counts as lost.
const PROBE_ANSWER: Duration = Duration::from_millis(200);

/// Deadlines of one balancer.
#[derive(Debug, Clone, Copy)]
struct Deadlines {
    /// Not used from this instant on, unless it is heard again.
    silent: Instant,
    /// Not probed to be kept before this instant.
    probe: Instant,
    /// Probed at this instant even if it is not kept.
    idle_probe: Instant,
    /// Counts as lost from this instant on; none while no probe waits for its
    /// answer.
    lost: Option<Instant>,
}

impl Deadlines {
    fn is_lost(&self, now: Instant) -> bool {
        self.lost.is_some_and(|at| at <= now)
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.silent <= now
    }
}

/// Decides which of the known balancers may carry a response to a caller.
pub trait BalancerPolicy: Default {
    /// Whether a balancer may be used that becomes unreachable at
    /// `unreachable_at`, unless another datagram arrives from it.
    fn is_usable(now: Instant, unreachable_at: Instant) -> bool;
}

/// Uses only balancers from which a datagram arrived recently.
#[derive(Debug, Clone, Copy, Default)]
pub struct ReachableOnly;

impl BalancerPolicy for ReachableOnly {
    fn is_usable(now: Instant, unreachable_at: Instant) -> bool {
        now < unreachable_at
    }
}

/// Uses all known balancers; the baseline of benchmarks.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnyKnown;

impl BalancerPolicy for AnyKnown {
    fn is_usable(_: Instant, _: Instant) -> bool {
        true
    }
}

/// The balancers of the version in force, and which of them are reachable.
#[derive(Debug, Default)]
pub struct BalancerTracker<P: BalancerPolicy = ReachableOnly> {
    policy: PhantomData<P>,
    known: BTreeMap<SocketAddr, Deadlines>,
    /// Answers count as being sent until this instant.
    active_until: Option<Instant>,
    /// Counts the answers that were sent while no balancer was heard, to try
    /// all in turn.
    turn: usize,
}

impl<P: BalancerPolicy> BalancerTracker<P> {
    /// Replaces the known balancers. A new one is used once it is heard.
    pub fn set(&mut self, now: Instant, addresses: &BTreeSet<SocketAddr>) {
        self.known.retain(|address, _| addresses.contains(address));
        let unheard = Deadlines {
            silent: now,
            probe: now,
            idle_probe: now,
            lost: None,
        };
        for &address in addresses {
            self.known.entry(address).or_insert(unheard);
        }
    }

    /// Notes a datagram of a balancer; one of another sender is ignored.
    pub fn heard(&mut self, now: Instant, from: SocketAddr) {
        if let Some(deadlines) = self.known.get_mut(&from) {
            deadlines.silent = now + SILENCE;
            deadlines.probe = now + PROBE_AFTER;
            deadlines.idle_probe = now + IDLE_PROBE;
            deadlines.lost = None;
        }
    }

    /// Chooses a balancer for an answer. `random` spreads the choice over the
    /// balancers that are heard. If there is none, those that are not lost are
    /// tried in turn, and else all.
    pub fn choose(&mut self, now: Instant, random: usize) -> Option<SocketAddr> {
        self.active_until = Some(now + ACTIVE);
        let heard = self.nth(random, |d| P::is_usable(now, d.silent));
        if heard.is_some() {
            return heard;
        }
        self.turn += 1;
        self.nth(self.turn, |d| !d.is_lost(now))
            .or_else(|| self.nth(self.turn, |_| true))
    }

    /// The `n`th of the balancers that `usable` accepts, counted in a circle.
    fn nth(&self, n: usize, usable: impl Fn(&Deadlines) -> bool) -> Option<SocketAddr> {
        let usable = || self.known.iter().filter(|(_, d)| usable(d));
        let count = usable().count();
        let (&address, _) = usable().nth(n.checked_rem(count)?)?;
        Some(address)
    }

    /// Takes the balancers that are to be probed now.
    pub fn due_probes(&mut self, now: Instant) -> BTreeSet<SocketAddr> {
        let idle = self.known.iter().filter(|(_, d)| d.idle_probe <= now);
        let mut due: BTreeSet<_> = idle.map(|(&address, _)| address).collect();
        if self.active_until.is_some_and(|until| now < until) {
            due.extend(self.to_keep(now));
        }
        for address in &due {
            if let Some(deadlines) = self.known.get_mut(address) {
                deadlines.probe = now + PROBE_AFTER;
                deadlines.idle_probe = now + IDLE_PROBE;
                deadlines.lost.get_or_insert(now + PROBE_ANSWER);
            }
        }
        due
    }

    /// BalancerTracker to probe so that enough are kept heard: those that are still
    /// heard before silent ones, and then those whose probe is longest ago.
    fn to_keep(&self, now: Instant) -> Vec<SocketAddr> {
        let kept = self.known.values().filter(|d| now < d.probe).count();
        let mut others: Vec<_> = self
            .known
            .iter()
            .filter(|(_, d)| d.probe <= now)
            .map(|(&address, d)| (d.is_silent(now), d.probe, address))
            .collect();
        others.sort_unstable();
        let missing = KEPT.saturating_sub(kept);
        let missing = others.into_iter().take(missing);
        missing.map(|(_, _, address)| address).collect()
    }

    /// When the next probe is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let idle = self.known.values().map(|d| d.idle_probe).min()?;
        let mut kept: Vec<_> = self.known.values().map(|d| d.probe).collect();
        kept.sort_unstable_by(|a, b| b.cmp(a));
        // From then on fewer than the wanted number were heard or probed lately.
        let keep = kept.get(KEPT - 1).or(kept.last()).copied();
        let keep = keep.filter(|at| self.active_until.is_some_and(|until| *at < until));
        Some(keep.map_or(idle, |keep| idle.min(keep)))
    }
}
