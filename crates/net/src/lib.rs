//! Sockets and small HTTP servers and clients that several processes use alike.
//!
//! [`serve`] and [`send_request`] are for control traffic of processes that must stay
//! small: a connection for each call, so that a connection that has gone silent
//! holds back nothing, and no thread of their own.

pub mod process;
pub mod request;

pub use process::{ServerLimits, bind_udp, serve};
pub use request::{BufferedRequest, BufferedResponse, Handler, RequestError, send_request};
