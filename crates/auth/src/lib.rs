//! Who a process or an operator is, and what it may ask for.
//!
//! The HTTP between the system's own processes and for operators is
//! authenticated by mutual TLS. A certificate says what its holder is by a DNS
//! name:
//!
//! | Name | Holder |
//! |---|---|
//! | `control.limpetplank.internal` | a control host |
//! | `node.limpetplank.internal` | a balancer or an agent |
//! | `NAME.operator.limpetplank.internal` | the operator `NAME` |
//!
//! - [`process`]: [`Credentials`], read once at start;
//! - [`connection`]: [`Names`], what the certificate of a peer says;
//! - [`request`]: [`allow`], the decision, and [`Gate`], which enforces it in a
//!   server.
//!
//! ```
//! use auth::{Names, Port, Refusal, allow};
//!
//! let node = Names::read(["node.limpetplank.internal"]);
//! assert_eq!(allow(Port::Control, "/v1/sync", &node), Ok(()));
//! assert_eq!(allow(Port::Control, "/v1/change", &node), Err(Refusal::Role));
//! ```

pub mod connection;
pub mod error;
pub mod process;
pub mod request;

pub use connection::Names;
pub use error::{Error, Result};
pub use process::{Credentials, Files};
pub use request::{Gate, Port, Refusal, allow, enforce, may_author, refuse_author};
