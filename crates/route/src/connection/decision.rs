//! Decisions about a datagram.

use std::{fmt, net::SocketAddr};

use types::UpstreamId;

/// What to do with a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A balancer forwards it to the agent of this upstream.
    Forward(Hop),
    /// An agent passes it on to the agent of this upstream, marked as passed
    /// on.
    PassOn(Hop),
    /// It is dropped and counted by this reason.
    Drop(DropReason),
}

/// An upstream and the address of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Hop {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Address at which its agent receives datagrams.
    pub address: SocketAddr,
}

/// How a datagram arrived at an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// From a balancer.
    Forwarded,
    /// From another agent; it is never passed on again.
    PassedOn,
}

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// The service is not in the table.
    UnknownService,
    /// The upstream is in no service: it never was, or its lease has expired.
    UnknownUpstream,
    /// The upstream belongs to another service.
    OtherService,
    /// No upstream of the service has a share.
    NoUpstream,
    /// The agent does not hold the flow, and the table names no other owner.
    NotHeld,
    /// The agent does not hold the flow, and the datagram was already passed on
    /// once.
    PassedOnTwice,
}

impl DropReason {
    /// Every reason, in the order of the variants.
    pub const ALL: [DropReason; 6] = [
        DropReason::UnknownService,
        DropReason::UnknownUpstream,
        DropReason::OtherService,
        DropReason::NoUpstream,
        DropReason::NotHeld,
        DropReason::PassedOnTwice,
    ];

    /// The reason as a metric label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            DropReason::UnknownService => "unknown_service",
            DropReason::UnknownUpstream => "unknown_upstream",
            DropReason::OtherService => "other_service",
            DropReason::NoUpstream => "no_upstream",
            DropReason::NotHeld => "not_held",
            DropReason::PassedOnTwice => "passed_on_twice",
        }
    }
}

impl fmt::Display for DropReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}
