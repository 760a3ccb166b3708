//! Keys that encrypt connection ids.

use std::fmt;

use serde::{Deserialize, Serialize};

decimal! {
    /// Generation of a key; connection ids carry its two low bits.
    KeyGeneration(u8)
}

impl KeyGeneration {
    /// Number of generations that the two bits in a connection id distinguish.
    pub const COUNT: u8 = 4;

    /// The generation after this one.
    #[must_use]
    pub fn next(self) -> Self {
        KeyGeneration((self.0 + 1) % Self::COUNT)
    }
}

/// An AES-128 key for connection ids.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CidKey {
    /// Always below [`KeyGeneration::COUNT`].
    pub generation: KeyGeneration,
    /// Key material; never printed.
    pub secret: [u8; 16],
}

impl fmt::Debug for CidKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CidKey")
            .field("generation", &self.generation)
            .finish_non_exhaustive()
    }
}

/// The keys that are valid at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeySet {
    /// Key that encrypts new connection ids.
    pub current: CidKey,
    /// Second key that is accepted: not yet activated, or replaced by
    /// `current`. Its generation differs from that of `current`.
    pub other: Option<CidKey>,
}

impl KeySet {
    /// The valid keys, the current one first.
    pub fn iter(&self) -> impl Iterator<Item = &CidKey> {
        std::iter::once(&self.current).chain(&self.other)
    }
}
