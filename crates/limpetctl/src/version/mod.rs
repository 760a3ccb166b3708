//! Views of the configuration and of the membership.
//!
//! The field names are those of the JSON output, which scripts depend on: do not
//! rename them.

mod group;
mod node;
mod service;
mod status;

pub use group::GroupView;
pub use node::{NodeView, format_nodes};
pub use service::{ServiceView, ServicesView};
pub use status::{StatusView, join_names};
