//! What less urgent priorities are owed.

use std::collections::BTreeMap;

use types::Priority;

/// A priority is owed at least one unit for this many units of more urgent work that
/// overtake it.
const OVERTAKING_UNITS: u64 = 8;

/// Bounds the starvation of less urgent work: a priority that waits is owed an eighth of
/// the more urgent work that overtakes it, and goes ahead once it is owed enough for one
/// request or datagram. The unit is that of the resource: slots or bytes.
#[derive(Debug, Clone)]
pub struct OvertakingDebt {
    /// Units that a priority must be owed to go ahead.
    threshold: u64,
    /// Eighths of a unit that each waiting priority is owed.
    eighths: BTreeMap<Priority, u64>,
}

impl OvertakingDebt {
    /// Nothing is owed yet. A priority goes ahead once it is owed `threshold` units.
    #[must_use]
    pub fn new(threshold: u64) -> Self {
        OvertakingDebt {
            threshold,
            eighths: BTreeMap::new(),
        }
    }

    /// Whether the priority goes ahead of more urgent ones.
    #[must_use]
    pub fn is_owed(&self, priority: Priority) -> bool {
        let eighths = self.eighths.get(&priority).copied().unwrap_or(0);
        eighths >= self.threshold * OVERTAKING_UNITS
    }

    /// Records that a priority got `units` while these priorities wait. Nothing is owed to
    /// a priority that does not wait.
    pub fn record_served(
        &mut self,
        served: Priority,
        units: u64,
        waiting: impl IntoIterator<Item = Priority>,
    ) {
        let mut eighths = BTreeMap::new();
        for priority in waiting {
            eighths.entry(priority).or_insert_with(|| {
                let owed = self.eighths.get(&priority).copied().unwrap_or(0);
                match priority.cmp(&served) {
                    std::cmp::Ordering::Greater => owed.saturating_add(units),
                    std::cmp::Ordering::Equal => owed.saturating_sub(units * OVERTAKING_UNITS),
                    std::cmp::Ordering::Less => owed,
                }
            });
        }
        self.eighths = eighths;
    }
}
