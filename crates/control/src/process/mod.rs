//! Tasks and state with the lifetime of the control host process.

mod group;
mod http;
mod leadership;
mod live_nodes;
mod metrics;
mod peers;
mod report;
mod run;
mod settings;
mod waiting_syncs;

pub use group::GroupCommand;
pub use live_nodes::LiveNodes;
pub use report::answer_query;
pub use run::{run, run_with_disk};
pub use settings::Settings;
pub use waiting_syncs::WaitingSyncs;

/// HTTP path for consensus messages between members.
pub(crate) const CONSENSUS_PATH: &str = "/v1/consensus";

/// HTTP path on which a host reports its id and whether it is blank, before the
/// initial group exists.
pub(crate) const HELLO_PATH: &str = "/v1/hello";
