//! What a request may ask for.

mod gate;
mod rule;

pub use gate::{Gate, enforce, refuse_author};
pub use rule::{Port, Refusal, allow, may_author};
