//! Version numbers.

use std::fmt;

use serde::{Deserialize, Serialize};

decimal! {
    /// Index of a committed entry of the configuration log; 0 before the first.
    Revision(u64)
}

decimal! {
    /// Term of a leader of the control group.
    Term(u64)
}

/// Version of the configuration and the membership that a node receives.
///
/// The configuration is ordered by `revision`, the membership by
/// `(epoch, seq)`. A node applies an update only if neither decreases.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct Version {
    /// Last entry of the configuration log that the version includes.
    pub revision: Revision,
    /// Term of the leader that published the membership.
    pub epoch: Term,
    /// Number of membership changes published in that term.
    pub seq: u64,
}

impl Version {
    /// Whether the configuration or the membership of `self` is older than that
    /// of `other`.
    ///
    /// ```
    /// use types::{Revision, Term, Version};
    ///
    /// let old = Version { revision: Revision(4), epoch: Term(2), seq: 9 };
    /// let new = Version { revision: Revision(4), epoch: Term(3), seq: 0 };
    /// assert!(old.is_behind(&new));
    /// assert!(!new.is_behind(&old));
    /// ```
    #[must_use]
    pub fn is_behind(&self, other: &Version) -> bool {
        self.revision < other.revision || self.membership() < other.membership()
    }

    /// The pair by which memberships are ordered.
    #[must_use]
    pub fn membership(&self) -> (Term, u64) {
        (self.epoch, self.seq)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}.{}", self.revision, self.epoch, self.seq)
    }
}
