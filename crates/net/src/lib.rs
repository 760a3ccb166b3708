//! Sockets that several processes open alike.

pub mod process;

pub use process::bind_udp;
