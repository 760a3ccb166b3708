//! What changes with a version: the table and the placement of buckets.

mod assign;
mod owners;
mod packed;
mod table;

pub use owners::Owners;
pub use table::Table;
