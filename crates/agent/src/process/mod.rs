//! What lives as long as the agent.

mod admission;
mod balancers;
mod certificate;
mod commands;
mod datagram;
mod endpoint;
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

pub use balancers::{AnyKnown, BalancerPolicy, BalancerTracker, ReachableOnly};
pub use certificate::ServiceCertificate;
pub use commands::{AdmissionCommand, AdmissionHandle, Grant};
pub use keys::{Asked, KeysCommand, KeysHandle};
pub use metrics::Metrics;
pub use openers::Openers;
pub use placement::{Placement, Placements};
pub use run::{run, run_with_policy};
pub use settings::Settings;
