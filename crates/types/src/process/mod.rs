//! Names and ids that are fixed for the life of a process.

mod member;
mod name;
mod role;

pub use member::MemberId;
pub(crate) use name::check_label;
pub use name::{ClassName, DataCentre, HostName, OperatorName, ServiceName};
pub use role::Role;
