//! The data folder of a control host.
//!
//! [`open`] locks the folder, recovers what is in it and returns a [`Store`].
//! [`spawn`] moves the store to a thread of its own, the only one that writes:
//! it takes [`DiskWrite`](consensus::DiskWrite)s by message, puts all that are queued
//! into one record with one sync, and reports each by message.
//!
//! | File | Content |
//! |---|---|
//! | `lock` | locked while a process uses the folder |
//! | `layout` | the version of this layout |
//! | `member` | the id, made once on an empty folder |
//! | `log-N` | segment `N` of the log: records in the order of the writes |
//! | `snapshot-I` | the state after the entry at index `I`, one record |
//!
//! A record is the length of its body (u32, little endian), a CRC-32 and the
//! body in `MessagePack`. The CRC also covers the place of the record (segment
//! and offset), so a copy of a record elsewhere is not taken for one. Each
//! record is synced before the next one is written, so a crash can only tear
//! the last one.
//!
//! ```
//! use consensus::{DiskWrite, WriteId};
//! use types::Term;
//!
//! let dir = tempfile::tempdir().unwrap();
//! let (mut store, found) = store::open(store::DataDir::new(dir.path())?)?;
//! assert_eq!(found.restored.term, Term(0));
//! let term_and_vote = Some((Term(1), Some(found.member)));
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
//! let (_, found) = store::open(store::DataDir::new(dir.path())?)?;
//! assert_eq!(found.restored.term, Term(1));
//! # Ok::<(), store::Error>(())
//! ```

pub mod error;
pub mod process;
pub mod version;

pub use error::{Category, Error, Result};
pub use process::{DataDir, Disk, RecoveredMember, Store, StoreHandle, WriteReport, open, spawn};
