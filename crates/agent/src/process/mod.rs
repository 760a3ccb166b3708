//! State and tasks that live as long as the agent process.

mod admission;
mod balancers;
mod certificate;
mod commands;
mod datagram;
mod endpoint;
mod endpoint_socket;
mod hedging;
mod keys;
mod load;
mod metrics;
mod node;
mod packet_router;
mod peer;
mod recent_flows;
mod run;
mod settings;

pub use balancers::{AnyKnown, BalancerPolicy, BalancerTracker, ReachableOnly};
pub use certificate::ServiceCertificate;
pub use commands::{
    AdmissionCommand, AdmissionHandle, AdmissionReply, HedgeReply, HedgeSlot, HedgeTimer, PeerSlot,
};
pub use keys::{HomeReply, IdempotencyCommand, IdempotencyHandle};
pub use metrics::Metrics;
pub use packet_router::{PacketDecision, PacketRouter};
pub use recent_flows::RecentFlows;
pub use run::{run, run_with_policy};
pub use settings::Settings;
