//! What an upstream may be given.

use types::Share;

use super::PARTS;

/// Whether and how far an upstream takes new work.
///
/// An upstream is usable if its lease runs, its agent says that it is ready
/// and no operator marked its host. One that leaves on purpose is neither
/// usable nor failing and does not count for the rule of [`is_frozen`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Takes new work, of at most this many parts of a full share.
    Usable(u8),
    /// Leaves by itself or by an operator's mark.
    Leaving,
    /// Refuses connections, or its lease ended unannounced.
    Failing,
}

impl Standing {
    /// The share of an upstream whose present share is `present`.
    ///
    /// In a frozen service no share is lowered, except that an upstream that
    /// leaves has none. A ramp may still raise a share: it moves work away
    /// from the failing upstreams onto one that has room.
    pub(crate) fn share(self, present: Option<Share>, frozen: bool) -> Share {
        let kept = present.filter(|_| frozen).unwrap_or(Share(0));
        match self {
            Standing::Usable(parts) => full_share_parts(parts).max(kept),
            Standing::Leaving => Share(0),
            Standing::Failing => kept,
        }
    }
}

fn full_share_parts(parts: u8) -> Share {
    Share(Share::FULL.0 / u32::from(PARTS) * u32::from(parts))
}

/// Whether under half of a service's upstreams are usable.
///
/// So many failures at once are more likely a fault of the reports, and if
/// they are real, the few that are left could not carry the work of all.
pub(crate) fn is_frozen(standings: impl IntoIterator<Item = Standing>) -> bool {
    let (mut usable, mut failing) = (0, 0);
    for standing in standings {
        match standing {
            Standing::Usable(_) => usable += 1,
            Standing::Failing => failing += 1,
            Standing::Leaving => {}
        }
    }
    usable < failing
}
