//! Authorization of requests.

mod authorizer;
mod rule;

pub use authorizer::{Authorizer, authorize_request, deny_unless_author};
pub use rule::{DenyReason, ServerKind, authorize_author, authorize_path};
