//! Lowering of shares according to load reports.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{ClassLoads, ClassName, Slots};

use super::SHARE_PARTS;

/// Minimum difference, in parts of a full share, that changes the level.
const MIN_LEVEL_CHANGE: u8 = 2;

/// Parts of a full share that an upstream gets because of its load.
///
/// The level changes only after all reports during `load_hold_time` requested a
/// level on the same side of the current one. Reports that oscillate around the
/// current level therefore create no versions.
#[derive(Debug, Clone)]
pub(crate) struct LoadLevel {
    /// From 1 to `SHARE_PARTS`.
    level: u8,
    pending: Option<PendingLevel>,
}

/// A level that the recent reports request.
#[derive(Debug, Clone)]
struct PendingLevel {
    /// Requested level that is nearest to the current one so far.
    level: u8,
    /// Instant at which the pending level is applied.
    due: Instant,
}

impl Default for LoadLevel {
    fn default() -> Self {
        LoadLevel {
            level: SHARE_PARTS,
            pending: None,
        }
    }
}

impl LoadLevel {
    /// Handles a report that requests the level `requested`.
    pub(crate) fn report(&mut self, now: Instant, requested: u8, hold_time: Duration) {
        // The minimum difference does not apply to a full share, otherwise an
        // upstream could stay just below it.
        let full = requested == SHARE_PARTS && self.level < SHARE_PARTS;
        if requested.abs_diff(self.level) < MIN_LEVEL_CHANGE && !full {
            self.pending = None;
            return;
        }
        let lowers = requested < self.level;
        let pending = self.pending.take();
        let same_side = pending.filter(|p| (p.level < self.level) == lowers);
        self.pending = Some(match same_side {
            Some(p) if lowers => PendingLevel {
                level: p.level.max(requested),
                ..p
            },
            Some(p) => PendingLevel {
                level: p.level.min(requested),
                ..p
            },
            None => PendingLevel {
                level: requested,
                due: now + hold_time,
            },
        });
    }

    /// Applies the pending level if it is due at `now`.
    pub(crate) fn advance(&mut self, now: Instant) {
        if let Some(due) = self.pending.take_if(|p| p.due <= now) {
            self.level = due.level;
        }
    }

    /// Parts of the full share that the upstream may have.
    pub(crate) fn level(&self) -> u8 {
        self.level
    }

    /// Instant at which the pending level is applied if no report cancels it.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.pending.as_ref().map(|p| p.due)
    }
}

/// Computes the level that a load report requests: the part of its targets that
/// the upstream offers, lowered further if more requests are in flight and
/// queued than it offers slots. Slots above a target do not count, so no report
/// raises a share above the one of its ramp.
pub(crate) fn requested_level(loads: &ClassLoads, carry: &BTreeMap<ClassName, Slots>) -> u8 {
    let (mut expected, mut offered, mut busy) = (0u128, 0u128, 0u128);
    for (class, load) in loads {
        let target = carry.get(class).copied().unwrap_or(load.slots);
        expected += u128::from(target.0);
        offered += u128::from(load.slots.min(target).0);
        busy += u128::from(load.in_flight.0) + u128::from(load.queued.0);
    }
    if expected == 0 {
        return SHARE_PARTS;
    }
    let parts = u128::from(SHARE_PARTS) * offered * offered;
    let level = parts.div_ceil(expected * busy.max(offered).max(1));
    u8::try_from(level)
        .unwrap_or(SHARE_PARTS)
        .clamp(1, SHARE_PARTS)
}
