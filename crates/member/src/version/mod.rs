//! What changes with a version of the membership.

mod publish;

pub use publish::{ClassStatus, Publication, ServiceStatus};
