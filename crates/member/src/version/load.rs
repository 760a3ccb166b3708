//! How load reports lower a share.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{ClassName, Loads, Slots};

use super::PARTS;

/// Least difference, in parts of a full share, that moves the level.
const BAND: u8 = 2;

/// Parts of a full share that an upstream gets because of its load.
///
/// The level follows the reports only when all of them asked for a different
/// level on the same side for a while. Reports that swing around the present
/// level therefore make no versions.
#[derive(Debug, Clone)]
pub(crate) struct LoadLevel {
    /// From 1 to `PARTS`.
    level: u8,
    pending: Option<Pending>,
}

/// A level that the reports ask for.
#[derive(Debug, Clone)]
struct Pending {
    /// The wish nearest to the present level so far.
    level: u8,
    /// When it becomes the level.
    due: Instant,
}

impl Default for LoadLevel {
    fn default() -> Self {
        LoadLevel {
            level: PARTS,
            pending: None,
        }
    }
}

impl LoadLevel {
    /// Takes a report that asks for the level `wish`.
    pub(crate) fn report(&mut self, now: Instant, wish: u8, hold: Duration) {
        // A full share has no band, else an upstream could stay just under it.
        let full = wish == PARTS && self.level < PARTS;
        if wish.abs_diff(self.level) < BAND && !full {
            self.pending = None;
            return;
        }
        let lowers = wish < self.level;
        let pending = self.pending.take();
        let same_side = pending.filter(|p| (p.level < self.level) == lowers);
        self.pending = Some(match same_side {
            Some(p) if lowers => Pending {
                level: p.level.max(wish),
                ..p
            },
            Some(p) => Pending {
                level: p.level.min(wish),
                ..p
            },
            None => Pending {
                level: wish,
                due: now + hold,
            },
        });
    }

    /// Takes over the level that is due at `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        if let Some(due) = self.pending.take_if(|p| p.due <= now) {
            self.level = due.level;
        }
    }

    /// Parts of the full share that the upstream may have.
    pub(crate) fn level(&self) -> u8 {
        self.level
    }

    /// When the level changes if the reports go on as they are.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.pending.as_ref().map(|p| p.due)
    }
}

/// The level that a load report asks for: the part of its targets that the
/// upstream offers, lowered further by what waits beyond the offered slots.
/// Slots beyond a target count for nothing, so no report raises a share.
pub(crate) fn wished_level(loads: &Loads, carry: &BTreeMap<ClassName, Slots>) -> u8 {
    let (mut expected, mut offered, mut busy) = (0u128, 0u128, 0u128);
    for (class, load) in loads {
        let target = carry.get(class).copied().unwrap_or(load.slots);
        expected += u128::from(target.0);
        offered += u128::from(load.slots.min(target).0);
        busy += u128::from(load.in_flight.0) + u128::from(load.queued.0);
    }
    if expected == 0 {
        return PARTS;
    }
    let parts = u128::from(PARTS) * offered * offered;
    let level = parts.div_ceil(expected * busy.max(offered).max(1));
    u8::try_from(level).unwrap_or(PARTS).clamp(1, PARTS)
}
