//! Keeping a node on the newest version.

mod sync;

pub use sync::{NodeReport, Step, SyncSettings, SyncTask};
