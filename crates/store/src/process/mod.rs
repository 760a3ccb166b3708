//! The data folder, the open store and its thread, which last as long as the
//! process.

mod dir;
mod open;
mod store;
mod thread;

pub use dir::{DataDir, Disk};
pub use open::{RecoveredMember, open, open_with_first_id};
pub use store::{Store, replace_file};
pub use thread::{StoreHandle, WriteReport, spawn};
