//! The configuration as a deterministic state machine.
//!
//! Every committed entry of the replicated log is applied by
//! [`ConfigState::apply`]; members of the control group that applied the same
//! entries have equal states. Module `version` holds the data of a
//! configuration version, module `request` the processing of a single change.
//!
//! # Objects and base revisions
//!
//! The objects are services (with their targets), drain marks, evacuation marks
//! and the key set. Changes use optimistic concurrency: each carries the revision of its
//! object that the operator read (its base, 0 if there was no object) and is
//! accepted only if that revision is still current. The last
//! [`MAX_TOMBSTONES`] removed services and cleared drain marks are retained
//! with their last revision, so that a change based on an earlier state is
//! detected as a conflict.
//!
//! Two kinds of change deviate from this. Routing sets are ordered by their own
//! numbers. A request for an evacuation is accepted whatever its base if it repeats
//! the state of the mark, and otherwise if the mark was not requested after the
//! base: operators repeat such a request until it is answered, and a copy that is
//! delayed on the network must not undo a later request that was answered.
//!
//! # Key rotation
//!
//! `AddKey` adds a key of the next generation next to the current one. Once
//! that revision is in force on every node, `ActivateKey` swaps the two; the
//! state has no data about the nodes, so the leader must check this first. The
//! superseded key is still accepted until the next `AddKey` replaces it, which
//! is refused for [`KEY_RETIREMENT_DELAY`] because flows may still use
//! connection ids of that key. A pending key may be replaced at any time,
//! because no connection id was issued with it.
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
//! // A retry returns the first answer and changes nothing.
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
    Changes, ConfigState, Delta, DrainMark, EvacuationMark, KeyRotationState, MAX_EVACUATION_MARKS,
    MAX_TOMBSTONES, SNAPSHOT_FORMAT,
};
