//! Budgets of hedged requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Category, Error, Result};

/// Extra requests that hedging may send, in percent of the requests, with a
/// resolution of a hundredth of a percent.
///
/// ```
/// use types::HedgeBudget;
///
/// let budget: HedgeBudget = "2.5".parse()?;
/// assert_eq!(budget.to_string(), "2.5");
/// assert!("0".parse::<HedgeBudget>().is_err());
/// # Ok::<(), types::Error>(())
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct HedgeBudget(
    /// Hundredths of a percent.
    u32,
);

impl HedgeBudget {
    /// The parts that make up all requests.
    pub const WHOLE: u64 = 10_000;

    /// Converts from percent. Returns `None` outside of 0.01 to 100.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is checked to be in range"
    )]
    pub fn from_percent(percent: f64) -> Option<Self> {
        const RANGE: std::ops::RangeInclusive<f64> = 0.01..=100.0;
        RANGE
            .contains(&percent)
            .then(|| HedgeBudget((percent * 100.0).round() as u32))
    }

    /// The budget in percent.
    #[must_use]
    pub fn percent(self) -> f64 {
        f64::from(self.0) / 100.0
    }

    /// The budget in parts of [`HedgeBudget::WHOLE`].
    #[must_use]
    pub fn parts(self) -> u64 {
        u64::from(self.0)
    }
}

impl fmt::Display for HedgeBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.percent().fmt(f)
    }
}

impl FromStr for HedgeBudget {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let budget = s.parse().ok().and_then(HedgeBudget::from_percent);
        budget.ok_or_else(|| Error::new(Category::Number, s, "a percentage of 0.01 to 100"))
    }
}
