//! Types that live as long as a request.

mod urgency;

pub use urgency::{Arrival, FreeSlot, Place, Urgency};
