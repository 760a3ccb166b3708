//! Keys, and what is kept under them.

mod key;
mod result;

pub use key::{Fingerprint, Key};
pub use result::{Begin, End, Kept};
