//! Encodings of the messages and datagrams that limpetplank processes exchange.
//!
//! Datagrams between balancers and agents carry a PROXY protocol v2 prefix
//! ([`Prefix`]). QUIC packets are decoded only as far as a balancer may read them
//! ([`QuicHeader`]). Connection ids carry an encrypted upstream id
//! ([`CidCodec`]). Control messages are a protocol version followed by
//! `MessagePack` ([`encode`], [`decode`]).
//!
//! This crate contains no decisions, only encodings. Every decoder accepts
//! arbitrary input without a panic:
//!
//! ```
//! use wire::{Endpoints, Prefix};
//!
//! let endpoints = Endpoints {
//!     caller: "192.0.2.7:50000".parse()?,
//!     service: "198.51.100.1:443".parse()?,
//! };
//! let mut buf = Vec::new();
//! endpoints.encode(&mut buf);
//! buf.extend_from_slice(b"payload");
//!
//! let (prefix, payload) = Prefix::decode(&buf)?;
//! assert_eq!(prefix, Prefix::Proxy(endpoints));
//! assert_eq!(payload, b"payload");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

pub mod connection;
pub mod error;
pub mod process;
pub mod request;
pub mod version;

pub use connection::{
    CID_LEN, CidCodec, ConnectionId, Endpoints, LongHeaderKind, MAX_PREFIX_LEN, Prefix, QuicHeader,
    ServiceTag,
};
pub use error::{Category, Error, Result};
pub use process::{CONTENT_TYPE, MAX_MESSAGE_LEN, decode, encode, encode_pair};
pub use request::{ClaimHeader, OfferRequest, ReserveReply, ReserveRequest};
pub use version::{ServiceSubset, SyncReply, SyncRequest, Update};
