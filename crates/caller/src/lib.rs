//! An HTTP/3 client for testing and inspecting a service.
//!
//! It is used by `limpetctl call` and by tests. [`Caller`] holds one connection,
//! [`Caller::send`] starts a request on it, and [`Response`] reads the
//! response as it arrives.

pub mod connection;
pub mod error;
pub mod process;
pub mod request;

pub use connection::Caller;
pub use error::{Category, Error, Result};
pub use process::{Endpoint, ServerTrust};
pub use request::{PendingRequest, RequestOutcome, Response};
