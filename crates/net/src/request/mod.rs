//! Types and functions with the lifetime of one HTTP request.

mod message;
mod send;

pub use message::{BufferedRequest, BufferedResponse, Handler};
pub use send::{RequestError, send_request};
