//! Connection ids that route packets to this agent.

use std::time::Duration;

use quinn::{ConnectionId, ConnectionIdGenerator};
use quinn_proto::InvalidCid;
use rand::Rng;
use tokio::sync::watch;
use types::UpstreamId;
use wire::{CID_LEN, CidCodec, ServiceTag};

/// Time after which a connection id is replaced, so that connections switch to
/// a rotated key within this time.
const CID_LIFETIME: Duration = Duration::from_mins(10);

/// Parameters of generated connection ids.
#[derive(Debug, Clone)]
pub struct CidConfig {
    /// Keys of the version in force.
    pub codec: CidCodec,
    /// Tag of the agent's service.
    pub tag: ServiceTag,
}

/// Generates connection ids that route packets to this agent.
#[derive(Debug, Clone)]
pub struct CidGenerator {
    own_id: UpstreamId,
    config: watch::Receiver<CidConfig>,
}

impl CidGenerator {
    /// Creates a generator for the agent of the upstream `own_id`.
    #[must_use]
    pub fn new(own_id: UpstreamId, config: watch::Receiver<CidConfig>) -> Self {
        CidGenerator { own_id, config }
    }
}

impl ConnectionIdGenerator for CidGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut rng = rand::rng();
        let config = self.config.borrow();
        let id = wire::ConnectionId {
            upstream: self.own_id,
            tag: config.tag,
            nonce: rng.random(),
        };
        ConnectionId::new(&config.codec.encode(&id, rng.random()))
    }

    fn validate(&self, cid: &ConnectionId) -> Result<(), InvalidCid> {
        match self.config.borrow().codec.decode(cid) {
            Ok(id) if id.upstream == self.own_id => Ok(()),
            _ => Err(InvalidCid),
        }
    }

    fn cid_len(&self) -> usize {
        CID_LEN
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        Some(CID_LIFETIME)
    }
}
