//! What lasts as long as the process: the folder, the open store, its thread.

mod dir;
mod open;
mod store;
mod thread;

pub use dir::{DataDir, Disk};
pub use open::{RecoveredMember, open};
pub use store::Store;
pub use thread::{StoreHandle, WriteReport, spawn};
