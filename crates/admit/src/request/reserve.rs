//! Slots that are held for peers, and slots that are offered to them.

use std::time::Instant;

use rand::Rng;
use types::{ClassName, RequestId, ReservationId, UpstreamId};

use super::state::Reservation;
use crate::{Admission, ClaimAnswer, Decision, DeferredDecision, Offer, ReservationAnswer};

impl Admission {
    /// Holds a slot for a request of the peer `from` until `deadline`, at most
    /// for `reservation_timeout`. The same id again gets the same answer. A peer
    /// that is refused may get an [`Offer`] within `offer_window`.
    pub fn reserve(
        &mut self,
        now: Instant,
        id: ReservationId,
        from: UpstreamId,
        class: &ClassName,
        deadline: Instant,
    ) -> ReservationAnswer {
        if let Some(held) = self.reservations.get(&id) {
            return ReservationAnswer::Granted {
                expires: held.expires,
            };
        }
        // A peer asks because its own slots are taken.
        self.peers.note_full(now, from, class, &self.settings);
        let serving = self.is_serving();
        match self.classes.get_mut(class) {
            Some(known) if serving && now < deadline && known.has_free_slot() => {
                let expires = deadline.min(now + self.settings.reservation_timeout);
                known.reserved += 1;
                let class = class.clone();
                self.reservations.insert(id, Reservation { class, expires });
                ReservationAnswer::Granted { expires }
            }
            Some(known) if serving => {
                known.note_asked(from, now + self.settings.offer_window);
                ReservationAnswer::Refused(self.loads())
            }
            _ => ReservationAnswer::Refused(self.loads()),
        }
    }

    /// Slots that became free while no local request was queued, held for
    /// peers that were refused shortly before. Call it after each input that
    /// can free a slot, and send each offer to its peer.
    pub fn take_offers(&mut self, now: Instant) -> Vec<Offer> {
        let mut offers = Vec::new();
        if !self.is_serving() {
            return offers;
        }
        let expires = now + self.settings.reservation_timeout;
        for (name, known) in &mut self.classes {
            while known.has_free_slot()
                && let Some(peer) = known.take_asker(now)
            {
                let id = ReservationId(self.rng.random());
                known.reserved += 1;
                let class = name.clone();
                self.reservations.insert(id, Reservation { class, expires });
                let class = name.clone();
                offers.push(Offer { peer, class, id });
            }
        }
        offers
    }

    /// Notes that `peer` offers a slot. Returns the queued request that is
    /// passed to it; `None` if the offer is to be released.
    pub fn accept_offer(
        &mut self,
        peer: UpstreamId,
        class: &ClassName,
    ) -> Option<DeferredDecision> {
        let id = self.classes.get(class)?.queued().next()?;
        self.peers.note_granted(peer, class);
        self.stop_waiting(id);
        let decision = Decision::Forward { peer };
        Some(DeferredDecision { id, decision })
    }

    /// Turns a reservation into the request `request` that runs here. An
    /// upstream that began to leave still takes it; one that is down does not.
    pub fn claim(&mut self, now: Instant, id: ReservationId, request: RequestId) -> ClaimAnswer {
        let valid = self
            .reservations
            .get(&id)
            .is_some_and(|held| now < held.expires);
        if !valid || self.health.is_down() || self.requests.contains_key(&request) {
            return ClaimAnswer::Lapsed;
        }
        if let Some(held) = self.reservations.remove(&id) {
            if let Some(class) = self.classes.get_mut(&held.class) {
                class.reserved -= 1;
            }
            self.run(now, request, held.class);
        }
        ClaimAnswer::Run
    }

    /// Gives back a reservation that the peer does not need.
    pub fn release(&mut self, now: Instant, id: ReservationId) -> Vec<DeferredDecision> {
        let Some(held) = self.reservations.remove(&id) else {
            return Vec::new();
        };
        if let Some(class) = self.classes.get_mut(&held.class) {
            class.reserved -= 1;
        }
        self.start_queued(now, &held.class)
    }
}
