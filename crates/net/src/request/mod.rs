//! What lasts for one HTTP request.

mod call;
mod message;

pub use call::{CallError, call};
pub use message::{BufferedRequest, BufferedResponse, Handler};
