//! What changes with a version: the table and the placement of buckets.

mod assign;
mod bucket_owners;
mod packed;
mod routing_table;

pub use bucket_owners::BucketOwners;
pub use routing_table::RoutingTable;
