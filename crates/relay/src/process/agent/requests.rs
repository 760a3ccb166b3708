//! Requests on open flows at an agent: they wait while the upstream is full.

use std::time::Instant;

use flow::{NextWaiting, Segment};

use super::{Agent, CallerDatagram, TICK_INTERVAL};
use crate::Codec;

impl<C: Codec> Agent<C> {
    /// Keeps a request on an open flow until a slot is free.
    pub(super) fn queue_request(&mut self, seg: &Segment, arrival: CallerDatagram, now: Instant) {
        self.metrics
            .flow_events
            .with_label_values(&["request_queued"])
            .inc();
        log::debug!(
            event = "request_queued", flow:% = seg.key_from_caller(),
            waiting = self.request_queue.len(); "no slot is free; the request on an open flow waits"
        );
        self.request_queue.push(seg, arrival, now);
    }

    /// Delivers the requests that may not wait until the next tick, and openings that go
    /// before them.
    pub(super) async fn deliver_overdue_requests(&mut self, now: Instant) {
        let until = now + TICK_INTERVAL;
        loop {
            let pace = self.flow_table.pace();
            let openings = &mut self.opening_queue;
            let next = self.request_queue.next_overdue(openings, pace, now, until);
            let Some(next) = next else {
                return;
            };
            self.deliver_waiting(next, now).await;
        }
    }

    /// Delivers the openings and requests that come first while the upstream can be given
    /// more.
    pub(super) async fn serve_waiting(&mut self, now: Instant) {
        for _ in 0..self.flow_table.free_admissions(now) {
            let pace = self.flow_table.pace();
            let Some(next) = self.request_queue.pop(&mut self.opening_queue, pace, now) else {
                return;
            };
            self.deliver_waiting(next, now).await;
        }
    }

    async fn deliver_waiting(&mut self, next: NextWaiting<CallerDatagram>, now: Instant) {
        match next {
            NextWaiting::Opening(arrival) => self.deliver_opening(arrival, now).await,
            NextWaiting::Request(arrival) => self.deliver_request(arrival, now).await,
        }
    }

    /// Delivers a request that has waited, if the flow is still open.
    pub(super) async fn deliver_request(&mut self, arrival: CallerDatagram, now: Instant) {
        if let Some(seg) = self.codec.parse(&arrival.payload) {
            self.handle_parsed_datagram(&seg, arrival, now).await;
        }
    }
}
