//! Availability of an upstream for new work.

use types::Share;

use super::SHARE_PARTS;

/// Whether and how far an upstream takes new work.
///
/// An upstream is usable if its lease is valid, its agent reports it as ready
/// and no operator has drained its host or evacuated its data centre. A leaving upstream is neither usable nor
/// failing, and [`is_frozen`] does not count it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Availability {
    /// Takes new work, up to this many parts of a full share.
    Usable(u8),
    /// Leaves on its own or because an operator drained its host or evacuated its
    /// data centre.
    Leaving,
    /// Refuses connections, or its lease expired without an announced leave.
    Failing,
}

impl Availability {
    /// Returns the new share of an upstream whose current share is `present`.
    ///
    /// In a frozen service no share is lowered, except that a leaving upstream
    /// has none. A ramp may still raise a share, because that moves work from
    /// failing upstreams to one with free capacity.
    pub(crate) fn share(self, present: Option<Share>, frozen: bool) -> Share {
        let kept = present.filter(|_| frozen).unwrap_or(Share(0));
        match self {
            Availability::Usable(parts) => full_share_parts(parts).max(kept),
            Availability::Leaving => Share(0),
            Availability::Failing => kept,
        }
    }
}

fn full_share_parts(parts: u8) -> Share {
    Share(Share::FULL.0 / u32::from(SHARE_PARTS) * u32::from(parts))
}

/// Returns true if fewer upstreams of a service are usable than failing.
///
/// So many simultaneous failures are more likely caused by wrong reports, and if
/// they are real, the remaining upstreams could not carry the load of all.
pub(crate) fn is_frozen(availabilities: impl IntoIterator<Item = Availability>) -> bool {
    let (mut usable, mut failing) = (0, 0);
    for availability in availabilities {
        match availability {
            Availability::Usable(_) => usable += 1,
            Availability::Failing => failing += 1,
            Availability::Leaving => {}
        }
    }
    usable < failing
}
