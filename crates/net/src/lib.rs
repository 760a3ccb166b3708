//! UDP sockets and a minimal HTTP server and client that several processes share.
//!
//! [`serve`] and [`send_request`] carry the control traffic of processes that must
//! stay small. They start no threads, and each request opens a connection of its
//! own, so that a stalled connection delays no other request.

pub mod process;
pub mod request;

pub use process::{ServerLimits, bind_udp, serve};
pub use request::{BufferedRequest, BufferedResponse, Handler, RequestError, send_request};
