//! Durable storage of a control host: the log, the vote and the snapshot.
//!
//! [`open`] recovers the state in a locked data folder ([`DataDir`]) and returns
//! a [`Store`]. [`spawn`] moves the store to its own thread, which is the only
//! one that writes: it receives [`DiskWrite`](consensus::DiskWrite)s by message,
//! writes all that are queued as one record with one sync, and reports the result
//! of each by message.
//!
//! | File | Content |
//! |---|---|
//! | `lock` | empty; locked while a process uses the folder |
//! | `layout` | the version of this layout |
//! | `member` | the id of the member, generated when the folder is empty |
//! | `log-N` | segment `N` of the log: records in the order of the writes |
//! | `snapshot-I` | the state after the entry at index `I`, and the first segment that is needed with it, one record each |
//! | other names | written by others with [`replace_file`]; ignored by [`open`] |
//!
//! A record is the length of its body (u32, little endian), a CRC-32 and the
//! body in `MessagePack`. The CRC also covers the place of the record (segment
//! and offset), so a copy of a record at another place is not valid. Each record
//! is synced before the next one is written, so a crash can truncate or corrupt
//! only the last one.
//!
//! A name is durable only after a sync of the folder. Each file is synced under a
//! temporary name, renamed, and the folder synced before anything depends on the file.
//! Removals are not synced, so a power loss may undo any of them. `docs/design/store-recovery.md`
//! lists which states [`open`] accepts.
//!
//! ```
//! use consensus::{DiskWrite, WriteId};
//! use types::Term;
//!
//! let dir = tempfile::tempdir().unwrap();
//! let (mut store, recovered) = store::open(store::DataDir::new(dir.path())?)?;
//! assert_eq!(recovered.restored.term, Term(0));
//! let term_and_vote = Some((Term(1), Some(recovered.member)));
//! let write = DiskWrite {
//!     id: WriteId(1),
//!     term_and_vote,
//!     truncate_from: None,
//!     snapshot: None,
//!     entries: Vec::new(),
//! };
//! store.apply(&[write])?;
//! drop(store);
//!
//! let (_, recovered) = store::open(store::DataDir::new(dir.path())?)?;
//! assert_eq!(recovered.restored.term, Term(1));
//! # Ok::<(), store::Error>(())
//! ```

pub mod error;
pub mod process;
pub mod version;

pub use error::{Category, Error, Result};
pub use process::{
    DataDir, Disk, RecoveredMember, Store, StoreHandle, WriteReport, open, open_with_first_id,
    replace_file, spawn,
};
