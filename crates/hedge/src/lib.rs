//! Decides when a request is also sent to a second upstream (hedged).
//!
//! The crate does no I/O, reads no clock and draws no random numbers. The task
//! that owns a process's [`Hedging`] passes it each event with its instant:
//!
//! - [`Hedging::arrive`] counts a request and returns the delay after which it
//!   may be hedged: a high percentile of the latencies of its class;
//! - [`Hedging::decide`] decides, once that delay has passed, whether a hedge is
//!   sent and to which upstream;
//! - [`Hedging::complete`] records the latency of a request;
//! - [`Hedging::observe_load`] and [`Hedging::mark_saturated`] stop all hedges
//!   while the service is saturated.
//!
//! The parts by life span:
//!
//! - [`process`]: [`Hedging`], the [`BudgetWindow`] and [`LatencyWindow`] of each
//!   class, and [`Settings`];
//! - [`request`]: the candidates of one hedge and the reasons to send none.
//!
//! ```
//! use std::{collections::BTreeMap, time::{Duration, Instant}};
//! use hedge::{Candidate, CandidateState, Hedging, Repeatable, Settings};
//! use types::{ClassLoad, ClassName, Slots, UpstreamId};
//!
//! let now = Instant::now();
//! let class = ClassName::default();
//! let mut hedging = Hedging::new(Settings::default(), now);
//! hedging.set_budgets(&BTreeMap::from([(class.clone(), "2".parse()?)]));
//! for _ in 0..200 {
//!     hedging.arrive(now, &class, Repeatable::Yes);
//!     hedging.complete(now, &class, Duration::from_millis(10));
//! }
//! let delay = hedging.arrive(now, &class, Repeatable::Yes).unwrap();
//! assert!(delay >= Duration::from_millis(10));
//!
//! let load = ClassLoad { slots: Slots(4), in_flight: Slots(1), queued: Slots(0) };
//! let candidate = Candidate { id: UpstreamId(7), state: CandidateState::Warm, load };
//! let (upstream, withdrawal) = hedging.decide(now + delay, &class, &[candidate]).unwrap();
//! assert_eq!(upstream, UpstreamId(7));
//! // The request was answered before the hedge was sent.
//! hedging.refund(&withdrawal);
//! # Ok::<(), types::Error>(())
//! ```

pub mod process;
pub mod request;

pub use process::{BudgetWindow, Hedging, LatencyWindow, Settings};
pub use request::{Candidate, CandidateState, Denial, Repeatable, Withdrawal};
