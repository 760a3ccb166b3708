//! State of one flow in the flow table of an agent.

use std::{net::SocketAddrV4, time::Instant};

use crate::{Segment, request::RequestProgress};

/// State of a flow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The opening datagram was delivered to the upstream.
    Opening,
    /// The upstream accepted the flow or sent data on it.
    Open,
    /// The upstream accepted the flow, and has announced another incarnation since.
    /// Only the upstream knows whether it did so before it restarted or after: it
    /// announces itself some time after its start. It gets the flow's datagrams. If it
    /// returns one, no upstream holds the flow.
    Unverified,
    /// A datagram was delivered without knowing whether the upstream holds the
    /// flow; the upstream has not answered yet.
    Unconfirmed,
    /// Both ends have closed the flow, or one of them has reset it.
    Closed,
    /// The upstream accepted the flow and does not hold it any more, for example because
    /// of a restart: it has returned a datagram of the flow.
    Lost,
    /// The upstream returned a datagram of the flow: it does not hold the flow.
    NotHeld,
}

/// State of a flow, built from the datagrams of both directions.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flow {
    pub stage: Stage,
    /// Incarnation that the upstream had announced last when it got the flow's opening, or
    /// when it last sent a datagram of the flow; `None` if it had announced none. It may
    /// have restarted before that without having announced itself.
    pub incarnation: Option<u64>,
    /// Sequence number of the opening datagram, if it was seen.
    pub opening_seq: Option<u32>,
    /// Initial sequence number of the upstream and the sequence number after
    /// its last byte, if its answer to the opening datagram was seen.
    pub upstream_range: Option<(u32, u32)>,
    /// Bytes that the upstream may have sent beyond `upstream_range`, while no agent
    /// recorded them.
    pub unrecorded_bytes: u32,
    /// Highest sequence number of the caller's data.
    pub caller_seq: Option<u32>,
    /// Progress of the latest request.
    pub request: RequestProgress,
    /// Datagrams with data that were delivered while the flow was unconfirmed.
    pub unconfirmed_data: u8,
    pub caller_ended: bool,
    pub upstream_ended: bool,
    pub opened_at: Instant,
    pub last_datagram_at: Instant,
    /// The balancer that forwarded the caller's last datagram.
    pub via: Option<SocketAddrV4>,
}

impl Flow {
    pub fn new(stage: Stage, now: Instant) -> Self {
        Flow {
            stage,
            incarnation: None,
            opening_seq: None,
            upstream_range: None,
            unrecorded_bytes: 0,
            caller_seq: None,
            request: RequestProgress::Idle,
            unconfirmed_data: 0,
            caller_ended: false,
            upstream_ended: false,
            opened_at: now,
            last_datagram_at: now,
            via: None,
        }
    }

    /// Whether the acknowledgement is within the range that this upstream has
    /// sent. Copies of one opening datagram may reach two upstreams; the caller
    /// continues with only one of them.
    pub fn acknowledges_upstream(&self, seg: &Segment) -> bool {
        match self.upstream_range {
            // The opening and the closing datagram take one sequence number
            // each.
            Some((first, next)) if seg.acknowledges => {
                let recorded = next.wrapping_sub(first).saturating_add(2);
                let sent = recorded.saturating_add(self.unrecorded_bytes);
                seg.ack.wrapping_sub(first) <= sent
            }
            _ => true,
        }
    }

    pub fn record_upstream_data(&mut self, seg: &Segment) {
        // A retransmitted answer to the opening datagram must not reset the
        // range.
        let first = self.upstream_range.map(|(first, _)| first);
        if seg.opens && first != Some(seg.seq) {
            self.upstream_range = Some((seg.seq, seg.seq));
        }
        if let Some((first, next)) = &mut self.upstream_range {
            let end = seg.seq.wrapping_add(u32::from(seg.len));
            if end.wrapping_sub(*first) > next.wrapping_sub(*first) {
                *next = end;
            }
        }
    }

    /// Whether the datagram has data beyond what the caller has sent before.
    pub fn is_new_data(&self, seg: &Segment) -> bool {
        let newer = |seq: u32| seg.seq.wrapping_sub(seq) < u32::MAX / 2 && seg.seq != seq;
        seg.len > 0 && self.caller_seq.is_none_or(newer)
    }

    /// Records data of the caller. A higher sequence number starts or continues
    /// a request.
    pub fn record_caller_data(&mut self, seg: &Segment, now: Instant) {
        self.caller_ended |= seg.ends;
        if seg.len == 0 {
            return;
        }
        if self.is_new_data(seg) {
            self.caller_seq = Some(seg.seq);
            self.request = RequestProgress::after_data(seg, now);
        }
    }

    /// Records an announcement of the upstream. What the upstream accepted before an
    /// announcement of another incarnation has to be verified by its datagrams.
    pub fn record_announcement(&mut self, incarnation: u64) {
        let former = self.incarnation.replace(incarnation);
        if former.is_none_or(|former| former == incarnation) {
            return;
        }
        match self.stage {
            // The former incarnation may not have accepted the opening, and another
            // upstream a copy of it.
            Stage::Opening => self.stage = Stage::Unconfirmed,
            Stage::Open => self.stage = Stage::Unverified,
            Stage::Unverified
            | Stage::Unconfirmed
            | Stage::Closed
            | Stage::Lost
            | Stage::NotHeld => return,
        }
        self.request = RequestProgress::Idle;
    }

    pub fn close_if_both_ended(&mut self) {
        if self.caller_ended && self.upstream_ended {
            self.stage = Stage::Closed;
            self.request = RequestProgress::Idle;
        }
    }
}
