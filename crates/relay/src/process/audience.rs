//! Who is told of an agent's load, and when.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use flow::Load;

/// A changed load is reported to the own data centre after this time at least.
const NEAR: Duration = Duration::from_millis(50);

/// A changed load is reported to other data centres after this time at least:
/// the way there is costly.
const FAR: Duration = Duration::from_millis(200);

/// An unchanged load is reported after this time, as a sign of life.
const ALIVE: Duration = Duration::from_millis(500);

/// Listeners to whom reports go at these paces. With more, reports become rarer
/// in proportion, so that their cost for an agent stays the same.
const LISTENERS: u32 = 8;

/// Who is told of an agent's load, and when.
#[derive(Debug)]
pub(super) struct Audience {
    near: Listeners,
    far: Listeners,
}

/// Listeners that are told at one pace.
#[derive(Debug)]
struct Listeners {
    addresses: BTreeSet<SocketAddrV4>,
    least: Duration,
    told_at: Instant,
    /// The load, and whether new flows were taken; `None` if a listener has
    /// been told nothing yet.
    told: Option<(Load, bool)>,
}

impl Audience {
    /// Nobody yet.
    pub fn new(now: Instant) -> Self {
        Audience {
            near: Listeners::new(NEAR, now),
            far: Listeners::new(FAR, now),
        }
    }

    /// Adds a listener, which is told at once.
    pub fn insert(&mut self, address: SocketAddrV4, near: bool) {
        let listeners = if near { &mut self.near } else { &mut self.far };
        if listeners.addresses.insert(address) {
            listeners.told = None;
        }
    }

    /// Removes a listener.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.near.addresses.remove(&address);
        self.far.addresses.remove(&address);
    }

    /// The listeners that are to be told now, and counts them as told.
    pub fn due(&mut self, load: Load, accepting: bool, now: Instant) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for listeners in [&mut self.near, &mut self.far] {
            if listeners.is_due(load, accepting, now) {
                listeners.told_at = now;
                listeners.told = Some((load, accepting));
                due.extend(listeners.addresses.iter().copied());
            }
        }
        due
    }
}

impl Listeners {
    fn new(least: Duration, now: Instant) -> Self {
        Listeners {
            addresses: BTreeSet::new(),
            least,
            told_at: now,
            told: None,
        }
    }

    fn is_due(&self, load: Load, accepting: bool, now: Instant) -> bool {
        let Some((told, accepted)) = self.told else {
            return true;
        };
        let urgent = accepted != accepting;
        let changed = told != load && now >= self.told_at + self.pause();
        urgent || changed || now >= self.told_at + ALIVE
    }

    fn pause(&self) -> Duration {
        let count = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        self.least * count.max(LISTENERS) / LISTENERS
    }
}
