//! Keeps a node on the newest version.

mod sync;

pub use sync::{NodeAnnouncement, SyncEvent, SyncSettings, SyncTask};
