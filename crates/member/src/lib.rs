//! Soft-state membership of upstreams and balancers, kept by the control
//! leader.
//!
//! Agents and balancers announce themselves again and again; every
//! announcement holds for one lease. [`Registry`] turns them, together with
//! the configured services and drain marks, into numbered versions of the
//! membership: which upstreams each service has and which share of new flows
//! each of them gets. It has no clock: every call names the instant.
//!
//! # Shares
//!
//! An upstream is *usable* if its lease runs, its agent says that it is ready
//! and no operator marked its host. Its share is the lower one of
//!
//! - its ramp: 0 until it was listed for two seconds, then 1/8, 1/4, 1/2 and
//!   the whole of [`Share::FULL`](types::Share::FULL) over ten seconds;
//! - its load level, in eighths: what it offers of its targets, lowered by
//!   what waits beyond that. A level changes only after all reports of five
//!   seconds were on one side of it.
//!
//! One that leaves, by itself or by a mark, has share 0 in the next version
//! and stays listed until its lease ends, so that its flows are forwarded.
//! One that is down, or whose lease ended, counts as failing and has share 0
//! or is no longer listed, unless under half of its service is usable. The
//! service is then *frozen*: failing upstreams keep their place and share,
//! silent ones for at most [`Settings::lapsed_retention`], and no share is lowered
//! but those of upstreams that leave.
//!
//! # Example
//!
//! ```
//! use std::{collections::BTreeMap, time::{Duration, Instant}};
//! use member::{Registry, Settings};
//! use types::{Announcement, Connections, ServiceId, Term, UpstreamId, UpstreamState};
//!
//! let start = Instant::now();
//! let mut registry = Registry::new(Settings::default(), start, Term(3));
//! registry.set_service(ServiceId(0), &"badges".parse()?, &BTreeMap::new());
//! let heard = start + Duration::from_secs(1);
//! registry.announce(heard, &"host-1".parse()?, &Announcement {
//!     id: UpstreamId(7),
//!     service: "badges".parse()?,
//!     data_centre: "dar-1".parse()?,
//!     data: ([127, 0, 0, 1], 7001).into(),
//!     peer: ([127, 0, 0, 1], 7002).into(),
//!     state: UpstreamState::Ready,
//!     connections: Connections(0),
//!     loads: BTreeMap::new(),
//!     ready_for: Duration::ZERO,
//! });
//! // A new leader publishes nothing for one lease.
//! assert_eq!(registry.tick(heard), None);
//! let settled = registry.first_publish_at();
//! assert!(registry.tick(settled).is_some());
//! assert_eq!(registry.version(), Some((Term(3), 1)));
//! assert!(registry.members(ServiceId(0)).contains_key(&UpstreamId(7)));
//! # Ok::<(), types::Error>(())
//! ```

mod process;
mod version;

pub use process::{Registry, Settings};
pub use version::{ClassStatus, Publication, ServiceStatus};
