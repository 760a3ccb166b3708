//! Soft-state membership of upstreams and balancers, kept by the control
//! leader.
//!
//! Agents and balancers announce themselves again and again; every
//! announcement holds for one lease. [`Registry`] turns them, together with
//! the configured services and drain marks, into numbered versions of the
//! membership: which upstreams each service has and which share of new flows
//! each of them gets. It has no clock: every call names the instant.
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
//! let settled = registry.settle_until();
//! assert!(registry.tick(settled).is_some());
//! assert_eq!(registry.version(), Some((Term(3), 1)));
//! assert!(registry.members(ServiceId(0)).contains_key(&UpstreamId(7)));
//! # Ok::<(), types::Error>(())
//! ```

mod process;
mod version;

pub use process::{Registry, Settings};
pub use version::{ClassStatus, Publication, ServiceStatus};
