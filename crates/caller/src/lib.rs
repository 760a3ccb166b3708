//! An HTTP/3 client for looking at a service.
//!
//! `limpetctl call` and the tests use it. [`Caller`] holds one connection,
//! [`Caller::send`] starts a request on it, and [`Response`] reads the answer as
//! it comes.

pub mod connection;
pub mod error;
pub mod process;
pub mod request;

pub use connection::Caller;
pub use error::{Category, Error, Result};
pub use process::{Endpoint, ServerTrust};
pub use request::{PendingRequest, RequestOutcome, Response};
