//! Rates of requests.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{Category, Error, Result};

/// Requests a second, with a resolution of a thousandth.
///
/// ```
/// use types::RequestRate;
///
/// let rate: RequestRate = "12.5".parse()?;
/// assert_eq!(rate.to_string(), "12.5");
/// # Ok::<(), types::Error>(())
/// ```
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(
    /// Thousandths of a request a second.
    u64,
);

impl RequestRate {
    /// Converts from requests a second. Returns `None` if the rate is below a
    /// thousandth, above a billion or not a number.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the value is checked to be in range"
    )]
    pub fn from_per_second(rate: f64) -> Option<Self> {
        const RANGE: std::ops::RangeInclusive<f64> = 0.001..=1e9;
        RANGE
            .contains(&rate)
            .then(|| RequestRate((rate * 1000.0).round() as u64))
    }

    /// Requests a second.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "rates are far below 2^52")]
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second().fmt(f)
    }
}

impl FromStr for RequestRate {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self> {
        let rate = s.parse().ok().and_then(RequestRate::from_per_second);
        rate.ok_or_else(|| Error::new(Category::Number, s, "a rate of 0.001 to 1000000000"))
    }
}
