//! Requests that wait for a slot.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::Priority;

use crate::{Arrival, FreeSlot, Place, Urgency};

/// A rule for which of several waiting requests gets a slot.
pub trait Order<K> {
    /// Place of a request; the least goes first.
    type Rank: Ord;

    /// The place of a request.
    fn rank(&self, place: &Place<'_, K>) -> Self::Rank;

    /// Records that a request got a slot. `waiting_in_time` are the priorities of the
    /// requests that still wait and can meet their objectives, possibly repeated.
    fn record_served(
        &mut self,
        served: &Urgency<K>,
        waiting_in_time: impl Iterator<Item = Priority>,
    );
}

/// When slots become free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotSchedule {
    /// When the first one does.
    pub first_at: Instant,
    /// Time from one to the next.
    pub interval: Duration,
    /// Time that a request needs after it got a slot to be of use to its caller.
    pub lead_time: Duration,
}

#[derive(Debug, Clone)]
struct Waiting<K, T> {
    urgency: Urgency<K>,
    arrival: Arrival,
    item: T,
}

impl<K, T> Waiting<K, T> {
    fn place(&self, slot: FreeSlot, ahead: u64) -> Place<'_, K> {
        Place {
            urgency: &self.urgency,
            is_late: self.urgency.is_late(slot),
            arrival: self.arrival,
            ahead,
        }
    }
}

/// Requests with ids of type `I` that wait for a slot, with an item of type `T` for each.
#[derive(Debug, Clone)]
pub struct WaitingQueue<I, K, T> {
    requests: BTreeMap<I, Waiting<K, T>>,
    next_arrival: u64,
}

impl<I, K, T> Default for WaitingQueue<I, K, T> {
    fn default() -> Self {
        WaitingQueue {
            requests: BTreeMap::new(),
            next_arrival: 0,
        }
    }
}

impl<I: Ord + Copy, K: Ord + Clone, T> WaitingQueue<I, K, T> {
    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request, in place of one with the same id.
    pub fn push(&mut self, id: I, urgency: Urgency<K>, item: T) {
        let arrival = Arrival(urgency.since, self.next_arrival);
        self.next_arrival += 1;
        let waiting = Waiting {
            urgency,
            arrival,
            item,
        };
        self.requests.insert(id, waiting);
    }

    /// Removes a request that gets no slot here.
    pub fn remove(&mut self, id: &I) -> Option<T> {
        Some(self.requests.remove(id)?.item)
    }

    /// The ids, and since when each request waits.
    pub fn iter(&self) -> impl Iterator<Item = (I, Arrival)> + '_ {
        self.requests
            .iter()
            .map(|(id, waiting)| (*id, waiting.arrival))
    }

    /// Priorities of the requests that can meet their objective with the slot, one for each.
    pub fn priorities_in_time(&self, slot: FreeSlot) -> impl Iterator<Item = Priority> + '_ {
        let requests = self.requests.values();
        requests
            .filter(move |waiting| !waiting.urgency.is_late(slot))
            .map(|waiting| waiting.urgency.priority)
    }

    /// The request that gets a free slot, with its rank.
    #[must_use]
    pub fn first<O: Order<K>>(&self, order: &O, slot: FreeSlot) -> Option<(I, O::Rank)> {
        self.first_of(order, slot, |_| true)
    }

    /// As [`first`](WaitingQueue::first), of the requests for which `of` returns true.
    #[must_use]
    pub fn first_of<O: Order<K>>(
        &self,
        order: &O,
        slot: FreeSlot,
        of: impl Fn(&I) -> bool,
    ) -> Option<(I, O::Rank)> {
        let ranked = self.requests.iter().filter(|(id, _)| of(id));
        let ranked = ranked.map(|(id, waiting)| (*id, order.rank(&waiting.place(slot, 0))));
        ranked.min_by(|(_, a), (_, b)| a.cmp(b))
    }

    /// The request that is the last to get a slot.
    #[must_use]
    pub fn last<O: Order<K>>(&self, order: &O, slot: FreeSlot) -> Option<I> {
        self.arranged(order, slot).last().copied()
    }

    /// Takes a request that gets the slot. `others_in_time` are the priorities of requests
    /// that wait in another queue for the same slots.
    pub fn serve<O: Order<K>>(
        &mut self,
        id: &I,
        order: &mut O,
        slot: FreeSlot,
        others_in_time: impl Iterator<Item = Priority>,
    ) -> Option<T> {
        let served = self.requests.remove(id)?;
        let waiting = self.priorities_in_time(slot).chain(others_in_time);
        order.record_served(&served.urgency, waiting);
        Some(served.item)
    }

    /// Takes the request that gets a free slot.
    pub fn pop<O: Order<K>>(&mut self, order: &mut O, slot: FreeSlot) -> Option<(I, T)> {
        let (id, _) = self.first(order, slot)?;
        let item = self.serve(&id, order, slot, std::iter::empty())?;
        Some((id, item))
    }

    /// Takes the requests to refuse: those that get no slot before their callers give
    /// up, and those above `max_waiting`. Of the requests of a priority, those beyond a
    /// share go first.
    pub fn take_hopeless<O: Order<K>>(
        &mut self,
        order: &O,
        slot: FreeSlot,
        schedule: SlotSchedule,
        max_waiting: usize,
    ) -> Vec<(I, T)> {
        let mut slot_at = schedule.first_at;
        let mut kept = 0;
        let mut hopeless = Vec::new();
        for id in self.arranged(order, slot) {
            let given_up_at = self.requests.get(&id).and_then(|w| w.urgency.given_up_at);
            let in_time = given_up_at.is_none_or(|at| slot_at + schedule.lead_time < at);
            if in_time && kept < max_waiting {
                slot_at += schedule.interval;
                kept += 1;
            } else if let Some(item) = self.remove(&id) {
                hopeless.push((id, item));
            }
        }
        hopeless
    }

    /// The requests in the order in which they get slots.
    fn arranged<O: Order<K>>(&self, order: &O, slot: FreeSlot) -> Vec<I> {
        let requests = self.requests.iter();
        let mut ranked: Vec<_> = requests
            .map(|(id, waiting)| (order.rank(&waiting.place(slot, 0)), *id, waiting))
            .collect();
        ranked.sort_by(|(a, ..), (b, ..)| a.cmp(b));
        let mut ahead: BTreeMap<&K, u64> = BTreeMap::new();
        for (rank, _, waiting) in &mut ranked {
            let ahead = ahead.entry(&waiting.urgency.share).or_default();
            *rank = order.rank(&waiting.place(slot, *ahead));
            *ahead += 1;
        }
        ranked.sort_by(|(a, ..), (b, ..)| a.cmp(b));
        ranked.into_iter().map(|(_, id, _)| id).collect()
    }

    /// Takes all requests.
    pub fn take_all(&mut self) -> Vec<(I, T)> {
        let requests = std::mem::take(&mut self.requests);
        requests.into_iter().map(|(id, w)| (id, w.item)).collect()
    }
}
