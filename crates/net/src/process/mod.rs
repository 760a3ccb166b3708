//! Sockets and servers with the lifetime of the process.

mod serve;
mod udp;

pub use serve::{ServerLimits, serve};
pub use udp::bind_udp;
