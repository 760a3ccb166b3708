//! Directory of the processes of a deployment.
//!
//! Every process sends a hello to a control host, which records it in its
//! [`Directory`]. Control hosts relay the hellos that they receive to one
//! another ([`Directory::heard_since`]). The reply to a hello carries the changes
//! since the version that the process has ([`Directory::deltas_since`]); the
//! process applies them to its [`View`]. All of this is soft state: it needs no
//! consensus, and is complete again one hello interval after a restart. A control
//! host keeps only its [`Roster`] on disk: from it and those of the other members,
//! [`Coverage`] knows whether an agent is still missing. It also keeps the
//! [`NodeRecord`]s of other nodes in a [`RecordStore`], from which the next process at a
//! node's address fetches them ([`RecordFetch`]).
//!
//! ```
//! use directory::{Directory, Node, View};
//! use std::time::Instant;
//!
//! let now = Instant::now();
//! let mut directory = Directory::new(1);
//! directory.record_hello(Node::example("10.0.0.1:7000"), now);
//! let mut view = View::default();
//! for delta in directory.deltas_since(view.version()) {
//!     view.apply(delta, now);
//! }
//! assert_eq!(view.nodes().count(), 1);
//! ```

pub mod process;
pub mod version;

pub use process::{
    Coverage, Directory, GroupView, NODE_LEASE, Node, NodeRole, RecordFetch, RecordShard,
    RecordStore, RecordStoreSettings, Roster, View, ViewChanges,
};
pub use version::{
    Ballot, ControlMessage, DirectoryDelta, DirectoryVersion, FirstGroup, FormationMessage, Hello,
    HelloReply, MAX_RECORD_BYTES, MAX_RECORD_PARTS, NodeRecord, ROSTER_PATH, ROUTES_PATH,
    RecordQuery, RecordReply, RosterReply,
};
