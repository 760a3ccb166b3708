//! A slot that a peer has reserved for a hedge.

use hedge::Withdrawal;
use types::{ReservationId, UpstreamId};

use super::{AdmissionCommand, AdmissionHandle};
use crate::version::Peer;

/// A slot that a peer has reserved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSlot {
    /// Id of the peer's upstream.
    pub upstream: UpstreamId,
    /// The peer.
    pub peer: Peer,
    /// Reservation of the slot.
    pub reservation: ReservationId,
}

/// Returns on drop what a hedge did not use, so that a request that is dropped at any
/// point leaks nothing: its part of the budget unless it was sent, and the slot unless
/// the peer answered. A slot that the peer has given to the request already is not
/// affected; it ends with the connection.
#[derive(Debug)]
pub struct HedgeSlot {
    slot: PeerSlot,
    /// `None` once the hedge was sent.
    withdrawal: Option<Withdrawal>,
    is_answered: bool,
    admission: AdmissionHandle,
}

impl HedgeSlot {
    /// Creates the slot of a hedge that has not been sent.
    #[must_use]
    pub fn new(slot: PeerSlot, withdrawal: Withdrawal, admission: AdmissionHandle) -> Self {
        HedgeSlot {
            slot,
            withdrawal: Some(withdrawal),
            is_answered: false,
            admission,
        }
    }

    /// Records that the hedge is sent, and returns the slot to send it to.
    pub fn send(&mut self) -> PeerSlot {
        if let Some(withdrawal) = self.withdrawal.take() {
            self.admission.send(AdmissionCommand::HedgeSent(withdrawal));
        }
        self.slot.clone()
    }

    /// Records that the peer has answered.
    pub fn answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for HedgeSlot {
    fn drop(&mut self) {
        if !self.is_answered {
            let returned = AdmissionCommand::HedgeUnused(self.slot.clone(), self.withdrawal.take());
            self.admission.send(returned);
        }
    }
}
