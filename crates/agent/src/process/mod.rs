//! What lives as long as the agent.

mod admission;
mod balancers;
mod commands;
mod datagram;
mod endpoint;
mod identity;
mod keys;
mod load;
mod metrics;
mod node;
mod openers;
mod peer;
mod placement;
mod port;
mod run;
mod settings;

pub use balancers::{Balancers, Choice, Heard, Known};
pub use commands::{AdmissionCommand, AdmissionHandle, Grant};
pub use identity::Identity;
pub use keys::{Asked, KeysCommand, KeysHandle};
pub use metrics::Metrics;
pub use openers::Openers;
pub use placement::{Placement, Placements};
pub use run::{run, run_with};
pub use settings::Settings;
