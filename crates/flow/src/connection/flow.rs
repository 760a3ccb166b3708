//! A flow as its agent sees it.

use std::{net::SocketAddrV4, time::Instant};

use crate::Segment;

/// How far a flow has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// The opening datagram went to the upstream.
    Opening,
    /// The upstream has agreed, or has sent on the flow.
    Open,
    /// A datagram was tried; the upstream has not reacted yet.
    Tried,
    /// Both ends have said that they end, or one has reset the flow.
    Closed,
    /// The upstream does not hold the flow any more.
    Lost,
    /// The upstream has returned a datagram that was tried.
    Foreign,
}

/// A flow as its agent sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flow {
    pub stage: Stage,
    /// Number of the opening datagram, if it was seen.
    pub opening: Option<u32>,
    /// First number of the upstream and the one after its last byte, if its
    /// agreement was seen.
    pub upstream_seq: Option<(u32, u32)>,
    /// Highest number of the caller's data so far.
    pub caller_seq: Option<u32>,
    /// A request waits for the first byte of its answer.
    pub waiting: bool,
    pub caller_ended: bool,
    pub upstream_ended: bool,
    pub opened_at: Instant,
    pub last: Instant,
    /// The balancer that took the caller's last datagram.
    pub via: Option<SocketAddrV4>,
}

impl Flow {
    pub fn new(stage: Stage, now: Instant) -> Self {
        Flow {
            stage,
            opening: None,
            upstream_seq: None,
            caller_seq: None,
            waiting: false,
            caller_ended: false,
            upstream_ended: false,
            opened_at: now,
            last: now,
            via: None,
        }
    }

    /// Whether the caller acknowledges what this upstream has sent. Two
    /// upstreams may have answered copies of one opening datagram; the caller
    /// goes on with one of them.
    pub fn fits(&self, seg: &Segment) -> bool {
        match self.upstream_seq {
            // The numbers also count the opening and the end.
            Some((first, next)) if seg.acknowledges => {
                let sent = next.wrapping_sub(first) + 2;
                seg.ack.wrapping_sub(first) <= sent
            }
            _ => true,
        }
    }

    pub fn note_upstream(&mut self, seg: &Segment) {
        // A copy of the agreement does not take back what was sent since.
        let first = self.upstream_seq.map(|(first, _)| first);
        if seg.opens && first != Some(seg.seq) {
            self.upstream_seq = Some((seg.seq, seg.seq));
        }
        if let Some((first, next)) = &mut self.upstream_seq {
            let end = seg.seq.wrapping_add(u32::from(seg.len));
            if end.wrapping_sub(*first) > next.wrapping_sub(*first) {
                *next = end;
            }
        }
    }

    /// Notes the caller's data; a higher number starts or goes on with a request.
    pub fn note_caller(&mut self, seg: &Segment) {
        self.caller_ended |= seg.ends;
        if seg.len == 0 {
            return;
        }
        let newer = |seq: u32| seg.seq.wrapping_sub(seq) < u32::MAX / 2 && seg.seq != seq;
        if self.caller_seq.is_none_or(newer) {
            self.caller_seq = Some(seg.seq);
            self.waiting = true;
        }
    }

    pub fn note_end(&mut self) {
        if self.caller_ended && self.upstream_ended {
            self.stage = Stage::Closed;
            self.waiting = false;
        }
    }
}
