//! Connection ids that carry an encrypted upstream id.
//!
//! The layout follows the single-pass encryption of the QUIC-LB drafts
//! (draft-ietf-quic-load-balancers): one octet with the key generation, then
//! one AES-128 block.

use std::fmt;

use aes::{
    Aes128, Block,
    cipher::{BlockDecrypt, BlockEncrypt, KeyInit},
};
use types::{CidKey, KeyGeneration, KeySet, ServiceId, UpstreamId};

use crate::{Result, error::ErrorKind};

/// Length of a connection id in bytes.
pub const CID_LEN: usize = 17;

/// Position of the lowest bit of the key generation in the first octet.
const GENERATION_SHIFT: u32 = 6;

/// Short form of a service id. A connection id contains it so that an id of one
/// service is not accepted for another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceTag(pub u16);

impl From<ServiceId> for ServiceTag {
    fn from(id: ServiceId) -> Self {
        let [a, b, c, d] = id.0.to_be_bytes();
        ServiceTag(u16::from_be_bytes([a ^ c, b ^ d]))
    }
}

impl fmt::Display for ServiceTag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04x}", self.0)
    }
}

/// Decrypted content of a connection id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId {
    /// The upstream that holds the connection.
    pub upstream: UpstreamId,
    /// The service of the upstream.
    pub tag: ServiceTag,
    /// Random number that distinguishes the ids of one upstream.
    pub nonce: u32,
}

/// Encrypts and decrypts connection ids with the valid keys.
#[derive(Clone)]
pub struct CidCodec {
    current: (KeyGeneration, Aes128),
    other: Option<(KeyGeneration, Aes128)>,
}

impl fmt::Debug for CidCodec {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CidCodec")
            .field("current", &self.current.0)
            .field(
                "other",
                &self.other.as_ref().map(|(generation, _)| generation),
            )
            .finish()
    }
}

impl CidCodec {
    /// Creates the ciphers of a key set.
    #[must_use]
    pub fn new(keys: &KeySet) -> Self {
        CidCodec {
            current: cipher(&keys.current),
            other: keys.other.as_ref().map(cipher),
        }
    }

    /// Encrypts an id with the current key. Only the six low bits of
    /// `random` are used; they keep the first octet unpredictable.
    #[must_use]
    pub fn encode(&self, id: &ConnectionId, random: u8) -> [u8; CID_LEN] {
        let (generation, cipher) = &self.current;
        let mut block = Block::default();
        block[..8].copy_from_slice(&id.upstream.0.to_be_bytes());
        block[8..10].copy_from_slice(&id.tag.0.to_be_bytes());
        block[12..].copy_from_slice(&id.nonce.to_be_bytes());
        cipher.encrypt_block(&mut block);

        let mut cid = [0; CID_LEN];
        cid[0] = generation.0 << GENERATION_SHIFT | random >> (u8::BITS - GENERATION_SHIFT);
        cid[1..].copy_from_slice(&block);
        cid
    }

    /// Decrypts an id.
    ///
    /// # Errors
    ///
    /// Fails if the id was not made with a valid key.
    pub fn decode(&self, cid: &[u8]) -> Result<ConnectionId> {
        let (&first, body) = cid.split_first().ok_or(ErrorKind::UnknownId)?;
        let body: [u8; CID_LEN - 1] = body.try_into().map_err(|_| ErrorKind::UnknownId)?;
        let generation = KeyGeneration(first >> GENERATION_SHIFT);
        let cipher = self.cipher(generation).ok_or(ErrorKind::UnknownId)?;
        let mut block = Block::from(body);
        cipher.decrypt_block(&mut block);
        parse_block(&block.into()).ok_or_else(|| ErrorKind::UnknownId.into())
    }

    fn cipher(&self, generation: KeyGeneration) -> Option<&Aes128> {
        std::iter::once(&self.current)
            .chain(&self.other)
            .find(|(valid, _)| *valid == generation)
            .map(|(_, cipher)| cipher)
    }
}

fn cipher(key: &CidKey) -> (KeyGeneration, Aes128) {
    let generation = KeyGeneration(key.generation.0 % KeyGeneration::COUNT);
    (generation, Aes128::new(&key.secret.into()))
}

/// Parses a decrypted block; `None` if its check field is not zero.
fn parse_block(block: &[u8; CID_LEN - 1]) -> Option<ConnectionId> {
    let (upstream, rest) = block.split_first_chunk::<8>()?;
    let (tag, rest) = rest.split_first_chunk::<2>()?;
    let (check, rest) = rest.split_first_chunk::<2>()?;
    let nonce = rest.first_chunk::<4>()?;
    (*check == [0, 0]).then(|| ConnectionId {
        upstream: UpstreamId(u64::from_be_bytes(*upstream)),
        tag: ServiceTag(u16::from_be_bytes(*tag)),
        nonce: u32::from_be_bytes(*nonce),
    })
}
