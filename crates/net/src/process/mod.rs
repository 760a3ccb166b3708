//! What lives as long as the process.

mod serve;
mod udp;

pub use serve::{ServerLimits, serve};
pub use udp::bind_udp;
