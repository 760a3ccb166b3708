//! Queries of searches that go to the same agent within a short time.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use types::ServiceName;

/// Queries to an agent that arise within this time go together.
pub(super) const BATCH_WINDOW: Duration = Duration::from_millis(20);

/// Flows in one message, so that its reply fits in a packet.
pub const MAX_BATCH: usize = 40;

/// Where a batch goes: an agent, its service, and the address of the flows.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct BatchTarget {
    /// The agent.
    pub agent: SocketAddrV4,
    /// Its service.
    pub service: ServiceName,
    /// The address that the callers of all flows send to.
    pub address: SocketAddrV4,
}

/// Queries to send now, at most [`MAX_BATCH`].
pub type DueBatch<Q> = (BatchTarget, Vec<Q>);

/// Collects queries for the same agent. The first goes at once; those that follow
/// within [`BATCH_WINDOW`] go together.
#[derive(Debug)]
pub struct QueryBatches<Q> {
    batches: BTreeMap<BatchTarget, Batch<Q>>,
    /// When batches are due, in order. A batch that went before because it was full
    /// leaves its entry behind.
    deadlines: VecDeque<(Instant, BatchTarget)>,
}

#[derive(Debug)]
struct Batch<Q> {
    sent_at: Instant,
    pending: Vec<Q>,
}

impl<Q> Default for QueryBatches<Q> {
    fn default() -> Self {
        QueryBatches {
            batches: BTreeMap::new(),
            deadlines: VecDeque::new(),
        }
    }
}

impl<Q> QueryBatches<Q> {
    /// Adds queries that arise at the same time, and returns those to send now.
    pub fn push(
        &mut self,
        target: &BatchTarget,
        queries: Vec<Q>,
        now: Instant,
    ) -> Vec<DueBatch<Q>> {
        let Some(batch) = self.batches.get_mut(target) else {
            let batch = Batch {
                sent_at: now,
                pending: Vec::new(),
            };
            self.batches.insert(target.clone(), batch);
            return divide(target, queries);
        };
        if batch.pending.is_empty() {
            if now >= batch.sent_at + BATCH_WINDOW {
                batch.sent_at = now;
                return divide(target, queries);
            }
            let deadline = now + BATCH_WINDOW;
            self.deadlines.push_back((deadline, target.clone()));
        }
        batch.pending.extend(queries);
        if batch.pending.len() < MAX_BATCH {
            return Vec::new();
        }
        batch.sent_at = now;
        divide(target, std::mem::take(&mut batch.pending))
    }

    /// When the next batch is due.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.front().map(|(deadline, _)| *deadline)
    }

    /// Returns the batches that are due.
    pub fn take_due(&mut self, now: Instant) -> Vec<DueBatch<Q>> {
        let mut due = Vec::new();
        while let Some((_, target)) = self.deadlines.pop_front_if(|(at, _)| *at <= now) {
            if let Some(batch) = self.batches.get_mut(&target)
                && !batch.pending.is_empty()
            {
                batch.sent_at = now;
                due.extend(divide(&target, std::mem::take(&mut batch.pending)));
            }
        }
        due
    }

    /// Removes targets without queries.
    pub fn expire(&mut self, now: Instant) {
        self.batches
            .retain(|_, batch| !batch.pending.is_empty() || now < batch.sent_at + BATCH_WINDOW);
    }
}

fn divide<Q>(target: &BatchTarget, mut queries: Vec<Q>) -> Vec<DueBatch<Q>> {
    let mut batches = Vec::new();
    while !queries.is_empty() {
        let rest = queries.split_off(queries.len().min(MAX_BATCH));
        batches.push((target.clone(), std::mem::replace(&mut queries, rest)));
    }
    batches
}
