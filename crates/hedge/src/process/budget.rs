//! Budget of extra requests.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use types::HedgeBudget;

/// Resolution of the window.
const BUCKET: Duration = Duration::from_millis(100);

/// Buckets that lie completely within the last ten seconds, together with the
/// current one.
const FULL_BUCKETS: u64 = 100;

/// Largest number of hedges that may follow each other without requests in
/// between. It lets through the hedges of one slow moment and bounds how far a
/// window that begins in that moment exceeds the budget.
const MAX_BURST: u64 = 4;

/// Enforces the budget of one class in one process.
///
/// Two bounds hold at the same time:
///
/// - In the ten seconds that end with any hedge, hedges are at most the budget's
///   share of the requests that arrived in them.
/// - In any interval, hedges are at most the budget's share of its requests, plus
///   `MAX_BURST`. No bound without an addend can hold for all intervals, because
///   an interval may begin right before a hedge and contain no request.
///
/// Since each process applies the share to its own requests, the sums over all
/// processes satisfy the budget too.
#[derive(Debug, Clone)]
pub struct BudgetWindow {
    budget: Option<HedgeBudget>,
    origin: Instant,
    buckets: VecDeque<Bucket>,
    /// Unused share of the requests, in units of [`HedgeBudget::WHOLE`].
    credit: u64,
    /// Hedges that are neither confirmed nor refunded. Their refund must not let more
    /// than `MAX_BURST` hedges follow each other, so the credit leaves room for it.
    pending: u64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Number of the bucket since `origin`.
    number: u64,
    requests: u32,
    hedges: u32,
}

impl BudgetWindow {
    /// Creates a window without a budget. No later instant may be before `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        BudgetWindow {
            budget: None,
            origin: now,
            buckets: VecDeque::new(),
            credit: 0,
            pending: 0,
        }
    }

    /// Sets the budget; `None` turns hedging off.
    pub fn set_budget(&mut self, budget: Option<HedgeBudget>) {
        self.budget = budget;
    }

    /// The budget in force.
    #[must_use]
    pub fn budget(&self) -> Option<HedgeBudget> {
        self.budget
    }

    /// Counts a request.
    pub fn count_request(&mut self, now: Instant) {
        let Some(budget) = self.budget else { return };
        let bucket = self.current_bucket(now);
        bucket.requests = bucket.requests.saturating_add(1);
        let limit = MAX_BURST.saturating_sub(self.pending) * HedgeBudget::WHOLE;
        self.credit = (self.credit + budget.parts()).min(limit);
    }

    /// Takes one hedge from the budget, to be confirmed once it is sent and refunded
    /// otherwise. Returns false if the budget is used up.
    #[must_use]
    pub fn withdraw(&mut self, now: Instant) -> bool {
        let Some(budget) = self.budget else {
            return false;
        };
        let oldest_full = self
            .current_bucket(now)
            .number
            .saturating_sub(FULL_BUCKETS - 1);
        // The oldest bucket lies only partly within the ten seconds. Its hedges
        // count and its requests do not, so that rounding never adds a hedge.
        let full = self.buckets.iter().filter(|b| b.number >= oldest_full);
        let requests: u64 = full.map(|b| u64::from(b.requests)).sum();
        let hedges: u64 = self.buckets.iter().map(|b| u64::from(b.hedges)).sum();
        let allowed = (hedges + 1) * HedgeBudget::WHOLE <= requests * budget.parts()
            && self.credit >= HedgeBudget::WHOLE;
        if allowed {
            self.credit -= HedgeBudget::WHOLE;
            self.pending += 1;
            let bucket = self.current_bucket(now);
            bucket.hedges = bucket.hedges.saturating_add(1);
        }
        allowed
    }

    /// Records that a hedge was sent.
    pub fn confirm(&mut self) {
        self.pending = self.pending.saturating_sub(1);
    }

    /// Returns a hedge that was withdrawn at `at` and not sent. It no longer counts in
    /// the ten seconds after that instant.
    pub fn refund(&mut self, at: Instant) {
        self.pending = self.pending.saturating_sub(1);
        let limit = MAX_BURST.saturating_sub(self.pending) * HedgeBudget::WHOLE;
        self.credit = (self.credit + HedgeBudget::WHOLE).min(limit);
        let number = self.bucket_number(at);
        // The instant of another task's clock reading may have counted in a later bucket.
        let withdrawn = self
            .buckets
            .iter_mut()
            .find(|b| b.number >= number && b.hedges > 0);
        if let Some(bucket) = withdrawn {
            bucket.hedges -= 1;
        }
    }

    fn bucket_number(&self, at: Instant) -> u64 {
        let elapsed = at.saturating_duration_since(self.origin);
        u64::try_from(elapsed.as_millis() / BUCKET.as_millis()).unwrap_or(u64::MAX)
    }

    /// Removes expired buckets and returns the one of `now`.
    fn current_bucket(&mut self, now: Instant) -> &mut Bucket {
        let number = self.bucket_number(now);
        // Clocks of several tasks may be read in one order and reported in
        // another; time never goes back here.
        let number = number.max(self.buckets.back().map_or(0, |b| b.number));
        while self
            .buckets
            .front()
            .is_some_and(|b| b.number + FULL_BUCKETS < number)
        {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|b| b.number < number) {
            self.buckets.push_back(Bucket {
                number,
                requests: 0,
                hedges: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
