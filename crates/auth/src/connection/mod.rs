//! What lives as long as a connection.

mod names;

pub use names::Names;
