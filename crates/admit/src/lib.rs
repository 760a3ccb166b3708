//! Decides what an agent does with each request: run it on its upstream, hand
//! it off to a peer, queue it or refuse it.
//!
//! The crate does no I/O and reads no clock; its random numbers come from a
//! seeded generator. The agent's task owns one [`Admission`], passes it each
//! event with its instant and carries out the returned [`Decision`]s.
//!
//! - [`process`]: [`Admission`], [`Settings`] and [`RetryBudget`];
//! - [`version`]: state that a configuration or membership version sets: the
//!   slots of each class of work, and the peers;
//! - [`request`]: the decisions, and [`decide_retry`], which decides whether a
//!   failed attempt is retried without running a request twice.
//!
//! Invariants: requests in progress plus reservations never exceed the slots
//! of a class, except after the slots were lowered, when the sum only decreases;
//! each request gets exactly one final decision; a handed-off request is neither
//! queued nor handed off again; no more requests start at a cold upstream than
//! [`ColdSettings`] allow, if they are set.
//!
//! ```
//! use std::{collections::BTreeMap, time::Instant};
//! use admit::{Admission, Decision, RequestOutcome, RequestInfo, Settings, DeferredDecision};
//! use types::{ClassName, RequestId, Slots, Target};
//!
//! let now = Instant::now();
//! let target = Target { carry: Slots(1), ..Target::default() };
//! let mut admission = Admission::new(Settings::default(), 1);
//! admission.set_targets(now, &BTreeMap::from([(ClassName::default(), target)]));
//!
//! let first = RequestInfo::new(RequestId(1), ClassName::default());
//! let second = RequestInfo::new(RequestId(2), ClassName::default());
//! assert_eq!(admission.arrive(now, first), Decision::Run);
//! assert!(matches!(admission.arrive(now, second), Decision::Queue { .. }));
//! assert_eq!(
//!     admission.finish(now, RequestId(1), RequestOutcome::Completed),
//!     [DeferredDecision { id: RequestId(2), decision: Decision::Run }],
//! );
//! ```

pub mod process;
pub mod request;
pub mod version;

pub use process::{Admission, ColdSettings, QueueOrder, RetryBudget, Settings};
pub use request::{
    Attempt, ClaimAnswer, Decision, DeferredDecision, Failure, Offer, PeerAnswer, Progress,
    Refusal, RefusalReason, RequestInfo, RequestOutcome, ReservationAnswer, RetryDecision,
    decide_retry,
};
pub use version::LoadReport;
