//! Requests on open flows at an agent: they wait while the upstream is full.

use std::time::{Duration, Instant};

use flow::{NextWaiting, Segment};

use super::{Agent, CallerDatagram, OVERDUE_DELAY, TICK_INTERVAL};
use crate::Codec;

/// Longest time from one delivery of overdue requests to the next.
const OVERDUE_INTERVAL: Duration = TICK_INTERVAL.saturating_add(OVERDUE_DELAY);

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

    /// Delivers the openings that go before requests that must be delivered now, whether the
    /// upstream has room or not, but no more than the cold limit allows. Returns whether
    /// there were any.
    pub(super) async fn open_before_overdue(&mut self, now: Instant) -> bool {
        let max = if self.accepts_flows(now) {
            self.flow_table.cold_allowance(now).unwrap_or(usize::MAX)
        } else {
            0
        };
        let pace = self.flow_table.pace();
        let openings = &mut self.opening_queue;
        let until = now + OVERDUE_INTERVAL;
        let taken = self
            .request_queue
            .take_openings_before_overdue(openings, pace, now, until, max);
        let any = !taken.is_empty();
        for arrival in taken {
            self.deliver_opening(arrival, now).await;
        }
        any
    }

    /// Delivers the requests that may not wait until the next time.
    pub(super) async fn deliver_overdue_requests(&mut self, now: Instant) {
        let until = now + OVERDUE_INTERVAL;
        loop {
            let pace = self.flow_table.pace();
            let openings = &mut self.opening_queue;
            let request = self.request_queue.pop_overdue(openings, pace, now, until);
            let Some(arrival) = request else {
                return;
            };
            self.deliver_request(arrival, now).await;
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
