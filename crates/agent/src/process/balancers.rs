//! Which balancers answers are sent through.

use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time without a datagram after which a balancer is no longer used.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a datagram after which a kept balancer is probed: two probes
/// fit into [`SILENCE`], so that one may be lost.
const KEEPALIVE_PROBE_DELAY: Duration = Duration::from_millis(150);

/// BalancerTracker that are kept heard by probes while answers are sent. The others
/// are heard by traffic if there is enough of it. A probe and its answer take
/// 88 bytes, so probes for all of a few balancers would already exceed the 2 KB
/// a second that a node may spend on control.
const MIN_REACHABLE_BALANCERS: usize = 2;

/// Time for which answers count as being sent after the last one.
const ACTIVE_PERIOD: Duration = Duration::from_secs(1);

/// Time between probes of a balancer that is not kept.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Time for the answer to a probe, after which a balancer counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Deadlines of one balancer.
#[derive(Debug, Clone, Copy)]
struct Deadlines {
    /// Not used from this instant on, unless it is heard again.
    unreachable_at: Instant,
    /// Not probed to be kept before this instant.
    probe_at: Instant,
    /// Probed at this instant even if it is not kept.
    idle_probe_at: Instant,
    /// Counts as lost from this instant on; none while no probe waits for its
    /// answer.
    lost_at: Option<Instant>,
}

impl Deadlines {
    fn is_lost(&self, now: Instant) -> bool {
        self.lost_at.is_some_and(|at| at <= now)
    }

    fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_at <= now
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
    fallback_index: usize,
}

impl<P: BalancerPolicy> BalancerTracker<P> {
    /// Replaces the known balancers. A new one is used once it is heard.
    pub fn set_known(&mut self, now: Instant, addresses: &BTreeSet<SocketAddr>) {
        self.known.retain(|address, _| addresses.contains(address));
        let deadlines = Deadlines {
            unreachable_at: now,
            probe_at: now,
            idle_probe_at: now,
            lost_at: None,
        };
        for &address in addresses {
            self.known.entry(address).or_insert(deadlines);
        }
    }

    /// Notes a datagram of a balancer; one of another sender is ignored.
    pub fn note_datagram(&mut self, now: Instant, from: SocketAddr) {
        if let Some(deadlines) = self.known.get_mut(&from) {
            deadlines.unreachable_at = now + UNREACHABLE_TIMEOUT;
            deadlines.probe_at = now + KEEPALIVE_PROBE_DELAY;
            deadlines.idle_probe_at = now + IDLE_PROBE_INTERVAL;
            deadlines.lost_at = None;
        }
    }

    /// Chooses a balancer for an answer. `random` spreads the choice over the
    /// balancers that are heard. If there is none, those that are not lost are
    /// tried in turn, and else all.
    pub fn choose(&mut self, now: Instant, random: usize) -> Option<SocketAddr> {
        self.active_until = Some(now + ACTIVE_PERIOD);
        let reachable = self.nth(random, |d| P::is_usable(now, d.unreachable_at));
        if reachable.is_some() {
            return reachable;
        }
        self.fallback_index += 1;
        self.nth(self.fallback_index, |d| !d.is_lost(now))
            .or_else(|| self.nth(self.fallback_index, |_| true))
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
        let idle_due = self.known.iter().filter(|(_, d)| d.idle_probe_at <= now);
        let mut due: BTreeSet<_> = idle_due.map(|(&address, _)| address).collect();
        if self.active_until.is_some_and(|until| now < until) {
            due.extend(self.keepalive_probes(now));
        }
        for address in &due {
            if let Some(deadlines) = self.known.get_mut(address) {
                deadlines.probe_at = now + KEEPALIVE_PROBE_DELAY;
                deadlines.idle_probe_at = now + IDLE_PROBE_INTERVAL;
                deadlines.lost_at.get_or_insert(now + PROBE_TIMEOUT);
            }
        }
        due
    }

    /// BalancerTracker to probe so that enough are kept heard: those that are still
    /// heard before silent ones, and then those whose probe is longest ago.
    fn keepalive_probes(&self, now: Instant) -> Vec<SocketAddr> {
        let recent_count = self.known.values().filter(|d| now < d.probe_at).count();
        let mut candidates: Vec<_> = self
            .known
            .iter()
            .filter(|(_, d)| d.probe_at <= now)
            .map(|(&address, d)| (d.is_unreachable(now), d.probe_at, address))
            .collect();
        candidates.sort_unstable();
        let missing = MIN_REACHABLE_BALANCERS.saturating_sub(recent_count);
        let missing = candidates.into_iter().take(missing);
        missing.map(|(_, _, address)| address).collect()
    }

    /// When the next probe is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let next_idle_probe = self.known.values().map(|d| d.idle_probe_at).min()?;
        let mut probe_times: Vec<_> = self.known.values().map(|d| d.probe_at).collect();
        probe_times.sort_unstable_by(|a, b| b.cmp(a));
        // From then on fewer than the wanted number were heard or probed lately.
        let keepalive_probe_at = probe_times
            .get(MIN_REACHABLE_BALANCERS - 1)
            .or(probe_times.last())
            .copied();
        let keepalive_probe_at =
            keepalive_probe_at.filter(|at| self.active_until.is_some_and(|until| *at < until));
        Some(
            keepalive_probe_at.map_or(next_idle_probe, |keepalive_probe_at| {
                next_idle_probe.min(keepalive_probe_at)
            }),
        )
    }
}
