//! The processes of a deployment, as they are found without a list.
//!
//! Every process says hello to a control host, which notes it in its
//! [`Directory`]. Control hosts tell one another what they have heard
//! ([`Directory::heard_since`]), and tell each process what changed since its last
//! hello ([`Directory::deltas_since`]); the process keeps a [`View`]. All of it is soft
//! state: it needs no agreement, and is complete again a hello after a restart.
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

pub use process::{Coverage, Directory, NODE_LEASE, Node, NodeRole, View, ViewChanges};
pub use version::{
    ControlMessage, DirectoryDelta, DirectoryVersion, Hello, HelloReply, ROUTES_PATH,
};
