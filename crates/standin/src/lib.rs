//! Stand-ins for the network fabric and the upstreams of a site.
//!
//! [`Fabric`] sends each datagram to a random balancer, as the network of a site
//! may do. [`upstream`](process::upstream) is an HTTP/1.1 server that counts
//! claims, streams feeds and accepts uploads. `limpetd local`, the tests and the
//! benchmarks use them; a production site does not.

pub mod error;
pub mod process;
pub mod request;

pub use error::{Error, Result};
pub use process::{Activity, Fabric, FabricHandle, Upstream, UpstreamHandle};
