//! The messages by which the seeds agree on the first group.

use std::{fmt, net::Ipv4Addr};

use serde::{Deserialize, Serialize};
use types::MemberId;

/// The voters of the first group, with the addresses of their hosts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FirstGroup(pub Vec<(MemberId, Ipv4Addr)>);

impl FirstGroup {
    /// The group of these voters. Equal groups have their voters in the same order.
    #[must_use]
    pub fn new(mut voters: Vec<(MemberId, Ipv4Addr)>) -> Self {
        voters.sort_unstable();
        FirstGroup(voters)
    }

    /// Whether the member is a voter of the group.
    #[must_use]
    pub fn contains(&self, id: MemberId) -> bool {
        self.0.iter().any(|(voter, _)| *voter == id)
    }
}

/// Number of an attempt to agree on the first group. Each attempt has its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ballot {
    /// Increases with each attempt of a proposer; 0 for no attempt.
    pub round: u64,
    /// The seed that makes the attempt.
    pub proposer: Ipv4Addr,
}

impl Ballot {
    /// Below the ballot of every attempt.
    pub const NONE: Ballot = Ballot {
        round: 0,
        proposer: Ipv4Addr::UNSPECIFIED,
    };
}

impl fmt::Display for Ballot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.round, self.proposer)
    }
}

/// A message between seeds that agree on the first group.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum FormationMessage {
    /// Asks an acceptor to accept nothing below this ballot.
    Prepare(Ballot),
    /// Answer to [`FormationMessage::Prepare`].
    Promise {
        /// Ballot of the request.
        ballot: Ballot,
        /// The group that the acceptor accepted last, with its ballot.
        accepted: Option<(Ballot, FirstGroup)>,
    },
    /// Asks an acceptor to accept a group.
    Accept {
        /// Ballot of the attempt.
        ballot: Ballot,
        /// The proposed group.
        group: FirstGroup,
    },
    /// Answer to [`FormationMessage::Accept`].
    Accepted(Ballot),
    /// Answer of an acceptor that has promised a higher ballot.
    Rejected {
        /// Ballot of the request.
        ballot: Ballot,
        /// The promised ballot.
        promised: Ballot,
    },
}
