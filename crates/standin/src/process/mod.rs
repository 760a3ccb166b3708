//! Tasks of the stand-ins, which live until the process or the test ends.

mod fabric;
mod register;
pub mod upstream;

pub use fabric::{Fabric, FabricHandle};
pub use register::Activity;
pub(crate) use register::{Register, RegisterHandle};
pub use upstream::{Upstream, UpstreamHandle};
