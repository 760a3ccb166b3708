//! What is shown of the configuration and of the membership.
//!
//! The field names here are the JSON that scripts read; they stay as they are.

mod group;
mod node;
mod service;
mod status;

pub use group::GroupView;
pub use node::{NodeView, lagging_hosts};
pub use service::{ServiceView, ServicesView};
pub use status::StatusView;
