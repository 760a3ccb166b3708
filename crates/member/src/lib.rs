//! Soft-state membership of upstreams and balancers, kept by the control
//! leader.
//!
//! Agents and balancers send announcements periodically; each announcement
//! renews a lease. From them, the configured services, the drain marks and the
//! evacuated data centres, [`Registry`] builds numbered versions of the membership: the upstreams of
//! each service and the share of new flows that each of them gets. It reads no
//! clock: every call passes the instant.
//!
//! # Shares
//!
//! An upstream is *usable* if its lease is valid, its agent reports it as ready
//! and neither its host has a drain mark nor its data centre is evacuated. Its share
//! is the lower of
//!
//! - its ramp: 0 until it has been listed for two seconds, then 1/8, 1/4, 1/2
//!   and the whole of [`Share::FULL`](types::Share::FULL) over ten seconds;
//! - its load level, in eighths: the part of its targets that it offers, lowered
//!   if more requests are in flight and queued than it offers slots. A level
//!   changes only after all reports of five seconds were on one side of it.
//!
//! An upstream that leaves, on its own, because of a drain mark or because of an
//! evacuation, has share 0 in the next version and stays listed until its lease
//! expires, so that its flows are still forwarded. An upstream that is down, or
//! whose lease expired, is failing: it has share 0 or is no longer listed, unless fewer upstreams of
//! its service are usable than failing. The service is then *frozen*: failing
//! upstreams stay listed and keep their shares, those with an expired lease for
//! at most [`Settings::lapsed_retention`], and only the shares of leaving
//! upstreams are lowered.
//!
//! # Example
//!
//! ```
//! use std::{collections::BTreeMap, time::{Duration, Instant}};
//! use member::{Registry, Settings};
//! use types::{Connections, ServiceId, Term, UpstreamAnnouncement, UpstreamId, UpstreamState};
//!
//! let start = Instant::now();
//! let mut registry = Registry::new(Settings::default(), start, Term(3));
//! registry.set_service(ServiceId(0), &"badges".parse()?, &BTreeMap::new());
//! let announced_at = start + Duration::from_secs(1);
//! registry.announce(announced_at, &"host-1".parse()?, &UpstreamAnnouncement {
//!     id: UpstreamId(7),
//!     service: "badges".parse()?,
//!     data_centre: "dar-1".parse()?,
//!     data_address: ([127, 0, 0, 1], 7001).into(),
//!     peer_address: ([127, 0, 0, 1], 7002).into(),
//!     state: UpstreamState::Ready,
//!     connections: Connections(0),
//!     loads: BTreeMap::new(),
//!     ready_for: Duration::ZERO,
//! });
//! // A new leader publishes nothing for one lease.
//! assert_eq!(registry.tick(announced_at), None);
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
