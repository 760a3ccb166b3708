//! Encodings of datagrams and connection ids.

mod cid;
mod prefix;
mod quic;

pub use cid::{CID_LEN, CidCodec, ConnectionId, ServiceTag};
pub use prefix::{Endpoints, MAX_PREFIX_LEN, Prefix};
pub use quic::{LongHeaderKind, QuicHeader};
