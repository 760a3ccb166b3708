//! What changes with a version of the membership.

mod load;
mod publish;
mod ramp;
mod standing;

pub(crate) use load::{LoadLevel, wished_level};
pub use publish::{ClassStatus, Publication, ServiceStatus};
pub(crate) use ramp::Ramp;
pub(crate) use standing::{Standing, is_frozen};

/// Parts into which a full share is divided by ramps and load levels.
pub(crate) const PARTS: u8 = 8;
