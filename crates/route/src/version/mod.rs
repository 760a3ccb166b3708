//! Types that change with the version of a service: the routing table and the
//! owners of buckets.

mod assign;
mod bucket_owners;
mod packed_ints;
mod routing_table;

pub use bucket_owners::BucketOwners;
pub use routing_table::RoutingTable;
