//! What lasts as long as the process: the folder, the open store, its thread.

mod dir;
mod open;
mod store;
mod thread;

pub use dir::{Dir, Disk};
pub use open::{Found, open};
pub use store::Store;
pub use thread::{Handle, Report, start};
