//! State that changes with a version of the membership.

mod availability;
mod load_level;
mod publication;
mod ramp;

pub(crate) use availability::{Availability, is_frozen};
pub(crate) use load_level::{LoadLevel, requested_level};
pub use publication::{ClassStatus, Publication, ServiceStatus};
pub(crate) use ramp::Ramp;

/// Number of parts into which ramps and load levels divide a full share.
pub(crate) const SHARE_PARTS: u8 = 8;
