//! Choice of the balancers that carry responses to callers.

use std::{
    collections::{BTreeMap, BTreeSet},
    marker::PhantomData,
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Time without a datagram after which a balancer counts as unreachable.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a datagram after which a balancer that is kept reachable is
/// probed. Two probes fit into [`UNREACHABLE_TIMEOUT`], so one may be lost.
const KEEPALIVE_PROBE_DELAY: Duration = Duration::from_millis(150);

/// Number of balancers that are kept reachable by probes while packets are sent
/// to callers. The others stay reachable only by traffic from them. A probe and
/// its reply take 88 bytes, so probing even a few balancers at this rate would
/// exceed the 2 KB/s that a node may spend on control traffic.
const MIN_REACHABLE_BALANCERS: usize = 2;

/// Time after the last packet to a caller for which keepalive probes are sent.
const ACTIVE_PERIOD: Duration = Duration::from_secs(1);

/// Time between probes of a balancer that is not kept reachable.
const IDLE_PROBE_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout for the reply to a probe, after which a balancer counts as lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Timers of one balancer.
#[derive(Debug, Clone, Copy)]
struct BalancerTimers {
    /// Unreachable from this instant on, unless a datagram arrives before.
    unreachable_at: Instant,
    /// Earliest instant of the next keepalive probe.
    next_probe: Instant,
    /// Instant of the next probe if it is not kept reachable.
    next_idle_probe: Instant,
    /// Counts as lost from this instant on; `None` if no probe is unanswered.
    lost_at: Option<Instant>,
}

impl BalancerTimers {
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
    known: BTreeMap<SocketAddr, BalancerTimers>,
    /// Keepalive probes are sent until this instant.
    active_until: Option<Instant>,
    /// Counts packets that were sent while no balancer was reachable, for a
    /// round-robin over all.
    fallback_index: usize,
}

impl<P: BalancerPolicy> BalancerTracker<P> {
    /// Replaces the known balancers. A new one is reachable once a datagram
    /// arrives from it.
    pub fn set_known(&mut self, now: Instant, addresses: &BTreeSet<SocketAddr>) {
        self.known.retain(|address, _| addresses.contains(address));
        let timers = BalancerTimers {
            unreachable_at: now,
            next_probe: now,
            next_idle_probe: now,
            lost_at: None,
        };
        for &address in addresses {
            self.known.entry(address).or_insert(timers);
        }
    }

    /// Records a datagram from a balancer; ignores other senders.
    pub fn note_datagram(&mut self, now: Instant, from: SocketAddr) {
        if let Some(timers) = self.known.get_mut(&from) {
            timers.unreachable_at = now + UNREACHABLE_TIMEOUT;
            timers.next_probe = now + KEEPALIVE_PROBE_DELAY;
            timers.next_idle_probe = now + IDLE_PROBE_INTERVAL;
            timers.lost_at = None;
        }
    }

    /// Chooses a balancer for a packet to a caller. `random` spreads the choice
    /// over the reachable balancers. If there is none, it takes those that are
    /// not lost in round-robin order, or else all.
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

    /// The `n`th of the balancers that `usable` accepts, modulo their number.
    fn nth(&self, n: usize, usable: impl Fn(&BalancerTimers) -> bool) -> Option<SocketAddr> {
        let usable = || self.known.iter().filter(|(_, d)| usable(d));
        let count = usable().count();
        let (&address, _) = usable().nth(n.checked_rem(count)?)?;
        Some(address)
    }

    /// Returns the balancers to probe now and restarts their timers.
    pub fn due_probes(&mut self, now: Instant) -> BTreeSet<SocketAddr> {
        let idle_due = self.known.iter().filter(|(_, d)| d.next_idle_probe <= now);
        let mut due: BTreeSet<_> = idle_due.map(|(&address, _)| address).collect();
        if self.active_until.is_some_and(|until| now < until) {
            due.extend(self.keepalive_probes(now));
        }
        for address in &due {
            if let Some(timers) = self.known.get_mut(address) {
                timers.next_probe = now + KEEPALIVE_PROBE_DELAY;
                timers.next_idle_probe = now + IDLE_PROBE_INTERVAL;
                timers.lost_at.get_or_insert(now + PROBE_TIMEOUT);
            }
        }
        due
    }

    /// Balancers to probe so that [`MIN_REACHABLE_BALANCERS`] stay reachable:
    /// reachable ones before unreachable ones, then by the time of the last
    /// datagram or probe, oldest first.
    fn keepalive_probes(&self, now: Instant) -> Vec<SocketAddr> {
        let recent_count = self.known.values().filter(|d| now < d.next_probe).count();
        let mut candidates: Vec<_> = self
            .known
            .iter()
            .filter(|(_, d)| d.next_probe <= now)
            .map(|(&address, d)| (d.is_unreachable(now), d.next_probe, address))
            .collect();
        candidates.sort_unstable();
        let missing = MIN_REACHABLE_BALANCERS.saturating_sub(recent_count);
        let missing = candidates.into_iter().take(missing);
        missing.map(|(_, _, address)| address).collect()
    }

    /// When the next probe is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        let earliest_idle_probe = self.known.values().map(|d| d.next_idle_probe).min()?;
        let mut probe_times: Vec<_> = self.known.values().map(|d| d.next_probe).collect();
        probe_times.sort_unstable_by(|a, b| b.cmp(a));
        // From this instant on, fewer than the minimum have a recent datagram or
        // probe.
        let keepalive_probe_at = probe_times
            .get(MIN_REACHABLE_BALANCERS - 1)
            .or(probe_times.last())
            .copied();
        let keepalive_probe_at =
            keepalive_probe_at.filter(|at| self.active_until.is_some_and(|until| *at < until));
        Some(
            keepalive_probe_at.map_or(earliest_idle_probe, |keepalive_probe_at| {
                earliest_idle_probe.min(keepalive_probe_at)
            }),
        )
    }
}
