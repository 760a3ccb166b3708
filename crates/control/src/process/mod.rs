//! What lives as long as the control host.

mod group;
mod http;
mod leadership;
mod metrics;
mod nodes;
mod peers;
mod report;
mod run;
mod settings;
mod waiters;

pub use group::GroupCommand;
pub use nodes::LiveNodes;
pub use report::answer_query;
pub use run::{run, run_with_disk};
pub use settings::Settings;
pub use waiters::WaitingSyncs;

/// Path of messages between members.
pub(crate) const CONSENSUS_PATH: &str = "/v1/consensus";

/// Path on which members find each other before the first group.
pub(crate) const HELLO_PATH: &str = "/v1/hello";
