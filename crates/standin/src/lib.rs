//! Small stand-ins for what is outside the system.
//!
//! [`Fabric`] hands each datagram to a random balancer, as the network of a
//! site may do. [`upstream`](process::upstream) is an HTTP/1.1 server with a
//! register of claims, feeds and uploads. `limpetd local` and the tests use
//! them; a real site does not.

pub mod error;
pub mod process;
pub mod request;

pub use error::{Error, Result};
pub use process::{Activity, Fabric, FabricHandle, Upstream, UpstreamHandle};
