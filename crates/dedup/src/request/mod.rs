//! Keys, and what is kept under them.

mod key;
mod result;

pub use key::{Asker, Fingerprint, InvalidKey, Key};
pub use result::{Begin, End, Kept};
