//! New flows that wait for room on the link of a balancer.

use std::time::Instant;

use bytes::Bytes;
use flow::Segment;

use super::{Balancer, HeldOpening};
use crate::Codec;

impl<C: Codec> Balancer<C> {
    /// Places a new flow, or keeps its opening datagram until the link has room.
    pub(super) async fn admit_to_link(&mut self, seg: &Segment, payload: Bytes, now: Instant) {
        let key = seg.key_from_caller();
        let targets = self.steering.targets(key.service);
        let opening = HeldOpening {
            payload,
            arrived_at: now,
        };
        if let Some(opening) = self.link_admission.admit(seg, targets, opening, now) {
            return self.place_opening(seg, opening, now).await;
        }
        log::info!(
            event = "held_by_link", flow:% = key, copy = seg.ack,
            waiting = self.link_admission.waiting(),
            transfers = self.link_admission.transfers(now);
            "the link has no room for another large flow; the new flow waits"
        );
        self.metrics
            .flow_events
            .with_label_values(&["held_by_link"])
            .inc();
        self.serve_link(now).await;
    }

    pub(super) async fn place_opening(
        &mut self,
        seg: &Segment,
        opening: HeldOpening,
        now: Instant,
    ) {
        let steer = self.steering.steer(seg, &opening.payload, now);
        if let Some(placement) = self.steering.take_placement() {
            self.metrics.record_placement(placement);
        }
        let waited = now.saturating_duration_since(opening.arrived_at);
        self.apply_decision_after(steer, seg, opening.payload, waited)
            .await;
    }

    /// Places the flows that the link has room for now, and resets those that it cannot
    /// serve in time.
    pub(super) async fn serve_link(&mut self, now: Instant) {
        while let Some(opening) = self.link_admission.take_admitted(now) {
            if let Some(seg) = self.codec.parse(&opening.payload) {
                self.place_opening(&seg, opening, now).await;
            }
        }
        for opening in self.link_admission.take_refused(now) {
            self.metrics
                .flow_events
                .with_label_values(&["refused_by_link"])
                .inc();
            self.reset_flow(&opening.payload, "link_saturated").await;
        }
    }
}
