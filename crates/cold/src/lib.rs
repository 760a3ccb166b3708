//! How many flows or requests a cold upstream may get.
//!
//! The decisions are code without sockets, clock or randomness; both front ends use them.

pub mod process;

pub use process::{ColdBound, ColdLimit};
