//! The configuration as a deterministic state machine.
//!
//! The replicated log hands every committed change to [`State::apply`]; all
//! members of the control group that applied the same entries hold equal
//! states. What lives as long as a version of the configuration is in
//! `version`, what belongs to one change in `request`.
//!
//! ```
//! use config::{Delta, State};
//! use types::{Answer, Change, ChangeId, ChangeRequest, Revision};
//!
//! let id = ChangeId::generate();
//! let req = ChangeRequest {
//!     id,
//!     author: "mira".parse()?,
//!     base: Revision(0),
//!     change: Change::CreateService {
//!         name: "vouchers".parse()?,
//!         address: ([127, 0, 0, 1], 4433).into(),
//!     },
//! };
//! let mut state = State::default();
//! assert_eq!(state.apply(Revision(7), id.created(), &req), Answer::Accepted(Revision(7)));
//! // A resend gets the first answer and changes nothing.
//! assert_eq!(state.apply(Revision(8), id.created(), &req), Answer::Accepted(Revision(7)));
//! assert_eq!(state.revision(), Revision(7));
//! assert!(matches!(state.delta_since(Revision(7)), Delta::Changes(c) if c.is_empty()));
//! # Ok::<(), types::Error>(())
//! ```

mod error;
mod request;
mod version;

pub use error::{Category, Error, Result};
pub use request::{ANSWER_KEPT, AUDIT_KEPT, ID_AHEAD, KEY_RETIRES_AFTER, Record, Summary};
pub use version::{Changes, Delta, DrainMark, FORMAT, Keys, REMOVED_KEPT, State};
