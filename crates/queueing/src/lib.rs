//! The order in which waiting requests get the slots of an upstream or a link.
//!
//! Both front ends use it. The crate has no sockets, clock or randomness: the user passes
//! the current time.
//!
//! - [`WaitingQueue`] holds requests that wait, and finds the next one and those to refuse;
//! - [`Order`] is the rule by which they are compared, and [`FairOrder`] the rule in use:
//!   first the requests that can still meet their objective, then by priority, then by
//!   shares of routes and callers, then by arrival;
//! - [`OvertakingDebt`] bounds for how long a priority is overtaken by more urgent ones;
//! - [`RetrySchedule`] says when refused callers should return.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use queueing::{FairOrder, FreeSlot, Ties, Urgency, WaitingQueue};
//! use types::Priority;
//!
//! let now = Instant::now();
//! let urgency = |caller: &'static str| Urgency {
//!     share: caller,
//!     priority: Priority(1),
//!     since: now,
//!     objective_until: None,
//!     given_up_at: None,
//! };
//! let mut order = FairOrder::with_shares(Ties::OldestFirst);
//! let mut queue = WaitingQueue::default();
//! queue.push(1, urgency("heavy"), ());
//! queue.push(2, urgency("heavy"), ());
//! queue.push(3, urgency("light"), ());
//! let slot = FreeSlot { at: now, answer_time: Duration::ZERO };
//! let served: Vec<i32> = std::iter::from_fn(|| queue.pop(&mut order, slot)).map(|(id, ())| id).collect();
//! assert_eq!(served, [1, 3, 2]);
//! ```

pub mod process;
pub mod request;

pub use process::{
    FairOrder, Order, OvertakingDebt, RetrySchedule, SlotSchedule, Ties, WaitingQueue,
};
pub use request::{Arrival, FreeSlot, Place, Urgency};
