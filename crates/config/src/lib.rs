//! The configuration as a deterministic state machine.
//!
//! The replicated log hands every committed change to [`ConfigState::apply`]; all
//! members of the control group that applied the same entries hold equal
//! states. What lives as long as a version of the configuration is in
//! `version`, what belongs to one change in `request`.
//!
//! # Objects and bases
//!
//! The objects are services (with their targets), drain marks and the key
//! set. A change names the revision of its object that the operator saw, 0
//! for none, and is accepted only if that is still the present one. Removed
//! services and drain marks that were taken back stay known for a while with
//! their last revision, so a change based on an earlier state conflicts.
//!
//! # Key rotation
//!
//! `AddKey` puts a key of the next generation beside the current one. Once
//! that revision is in force on every node, which the state cannot know and
//! the caller has to check, `ActivateKey` swaps the two. The superseded key is
//! still accepted; the next `AddKey` replaces it, which is refused for
//! [`KEY_RETIREMENT_DELAY`] because flows may still carry its ids. A key that
//! waits for its activation may be replaced at any time: nobody used it.
//!
//! # Example
//!
//! ```
//! use config::{Delta, ConfigState};
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
//! let mut state = ConfigState::default();
//! assert_eq!(state.apply(Revision(7), id.created_at(), &req), Answer::Accepted(Revision(7)));
//! // A resend gets the first answer and changes nothing.
//! assert_eq!(state.apply(Revision(8), id.created_at(), &req), Answer::Accepted(Revision(7)));
//! assert_eq!(state.revision(), Revision(7));
//! assert!(matches!(state.delta_since(Revision(7)), Delta::Changes(c) if c.is_empty()));
//! # Ok::<(), types::Error>(())
//! ```

mod error;
mod request;
mod version;

pub use error::{Category, Error, Result};
pub use request::{
    ANSWER_RETENTION, AuditRecord, ChangeSummary, KEY_RETIREMENT_DELAY, MAX_AUDIT_RECORDS,
    MAX_ID_CLOCK_SKEW,
};
pub use version::{
    Changes, ConfigState, Delta, DrainMark, KeyRotationState, MAX_TOMBSTONES, SNAPSHOT_FORMAT,
};
