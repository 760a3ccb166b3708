//! Types that live as long as the process.

mod cold_limit;

pub use cold_limit::{ColdBound, ColdLimit};
