//! Slot reservations for peers, and offers of free slots to them.

use std::time::Instant;

use rand::Rng;
use types::{ClassName, RequestId, ReservationId, UpstreamId};

use super::state::Reservation;
use crate::{Admission, ClaimAnswer, Decision, DeferredDecision, Offer, ReservationAnswer};

impl Admission {
    /// Reserves a slot for a request of the peer `from` until `deadline`, at
    /// most for `reservation_timeout`. A repeated id gets the same answer. A
    /// refused peer may get an [`Offer`] within `offer_window`.
    pub fn reserve(
        &mut self,
        now: Instant,
        id: ReservationId,
        from: UpstreamId,
        class: &ClassName,
        deadline: Instant,
    ) -> ReservationAnswer {
        if let Some(reservation) = self.reservations.get(&id) {
            return ReservationAnswer::Granted {
                expires: reservation.expires,
            };
        }
        // A peer that asks counts as full: it asks because its own slots are in
        // use.
        self.peers.record_full(now, from, class, &self.settings);
        let serving = self.is_serving();
        let may_start = serving && now < deadline && self.cold_room(now) > 0;
        match self.classes.get_mut(class) {
            Some(class_state) if may_start && class_state.has_free_slot() => {
                let expires = deadline.min(now + self.settings.reservation_timeout);
                class_state.reserved += 1;
                let class = class.clone();
                self.reservations.insert(id, Reservation { class, expires });
                ReservationAnswer::Granted { expires }
            }
            Some(class_state) if serving => {
                class_state.record_refused_peer(from, now + self.settings.offer_window);
                ReservationAnswer::Refused(self.loads())
            }
            _ => ReservationAnswer::Refused(self.loads()),
        }
    }

    /// Reserves slots that are free while no local request is queued for peers
    /// that were refused within `offer_window`. Call this after each event that
    /// can free a slot, and send each offer to its peer.
    pub fn take_offers(&mut self, now: Instant) -> Vec<Offer> {
        let mut offers = Vec::new();
        if !self.is_serving() {
            return offers;
        }
        let expires = now + self.settings.reservation_timeout;
        let cold_room = self.cold_room(now);
        for (name, class_state) in &mut self.classes {
            while offers.len() < cold_room
                && class_state.has_free_slot()
                && let Some(peer) = class_state.take_refused_peer(now)
            {
                let id = ReservationId(self.rng.random());
                class_state.reserved += 1;
                let class = name.clone();
                self.reservations.insert(id, Reservation { class, expires });
                let class = name.clone();
                offers.push(Offer { peer, class, id });
            }
        }
        offers
    }

    /// Accepts a slot that `peer` offers. Returns the queued request to forward
    /// to it, or `None` if the offered reservation is to be released.
    pub fn accept_offer(
        &mut self,
        peer: UpstreamId,
        class: &ClassName,
    ) -> Option<DeferredDecision> {
        let id = self.classes.get(class)?.oldest_queued(|_| true)?;
        self.peers.record_granted(peer, class);
        self.stop_waiting(id);
        let decision = Decision::Forward { peer };
        Some(DeferredDecision { id, decision })
    }

    /// Converts a reservation into the running request `request`. A leaving
    /// upstream still accepts it; one that is down does not.
    pub fn claim(&mut self, now: Instant, id: ReservationId, request: RequestId) -> ClaimAnswer {
        let valid = self
            .reservations
            .get(&id)
            .is_some_and(|reservation| now < reservation.expires);
        let is_held = self
            .cold_start
            .as_ref()
            .is_some_and(|cold| cold.allowance(now) == 0);
        if !valid || is_held || self.health.is_down() || self.requests.contains_key(&request) {
            return ClaimAnswer::Lapsed;
        }
        if let Some(reservation) = self.reservations.remove(&id) {
            if let Some(class) = self.classes.get_mut(&reservation.class) {
                class.reserved -= 1;
            }
            self.start(now, request, reservation.class);
        }
        ClaimAnswer::Run
    }

    /// Releases a reservation that the peer does not need.
    pub fn release(&mut self, now: Instant, id: ReservationId) -> Vec<DeferredDecision> {
        let Some(reservation) = self.reservations.remove(&id) else {
            return Vec::new();
        };
        if let Some(class) = self.classes.get_mut(&reservation.class) {
            class.reserved -= 1;
        }
        self.start_queued(now, &reservation.class)
    }
}
