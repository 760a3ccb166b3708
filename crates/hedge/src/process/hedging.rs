//! Decisions for all classes of a process.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{ClassLoad, ClassName, HedgeBudget, UpstreamId};

use super::{BudgetWindow, LatencyWindow, Settings};
use crate::request::{Candidate, Denial, Repeatable, Withdrawal};

/// Decides on the hedges of one process for its service.
#[derive(Debug, Clone)]
pub struct Hedging {
    settings: Settings,
    origin: Instant,
    /// The classes that have or had a budget.
    classes: BTreeMap<ClassName, Class>,
    /// End of the time without hedges after a sign of saturation.
    saturated_until: Option<Instant>,
    /// Rotates the choice among equally loaded upstreams.
    next_choice: usize,
}

#[derive(Debug, Clone)]
struct Class {
    budget: BudgetWindow,
    latencies: LatencyWindow,
}

impl Hedging {
    /// Creates the state without any budget. No later instant may be before
    /// `now`.
    #[must_use]
    pub fn new(settings: Settings, now: Instant) -> Self {
        Hedging {
            settings,
            origin: now,
            classes: BTreeMap::new(),
            saturated_until: None,
            next_choice: 0,
        }
    }

    /// Sets the budget of each class; the other classes are not hedged.
    ///
    /// What a class has used and learned is kept, also while it has no budget, so
    /// that turning hedging off and on does not renew the budget.
    pub fn set_budgets(&mut self, budgets: &BTreeMap<ClassName, HedgeBudget>) {
        for (name, class) in &mut self.classes {
            if !budgets.contains_key(name) {
                class.budget.set_budget(None);
            }
        }
        for (name, &budget) in budgets {
            let class = self.classes.entry(name.clone()).or_insert_with(|| Class {
                budget: BudgetWindow::new(self.origin),
                latencies: LatencyWindow::new(
                    self.origin,
                    self.settings.latency_period,
                    self.settings.min_samples,
                ),
            });
            class.budget.set_budget(Some(budget));
            class.latencies.set_budget(budget);
        }
    }

    /// Counts a request. Returns the delay after which [`Hedging::decide`] is to
    /// be asked, or `None` if the request is not hedged.
    pub fn arrive(
        &mut self,
        now: Instant,
        class: &ClassName,
        repeatable: Repeatable,
    ) -> Option<Duration> {
        let class = self.classes.get_mut(class)?;
        class.budget.count_request(now);
        class.budget.budget()?;
        match repeatable {
            Repeatable::Yes => class.latencies.delay(),
            Repeatable::No => None,
        }
    }

    /// Records the latency of a request, or the time that it had waited when its
    /// hedge won.
    pub fn complete(&mut self, now: Instant, class: &ClassName, latency: Duration) {
        if let Some(class) = self.classes.get_mut(class) {
            class.latencies.record(now, latency);
        }
    }

    /// Takes note of the load of a class, summed over the upstreams of the
    /// service. Saturation of one class stops the hedges of all, because the
    /// classes share the upstreams.
    pub fn observe_load(&mut self, now: Instant, load: &ClassLoad) {
        let work = u64::from(load.in_flight.0) + u64::from(load.queued.0);
        let limit = u64::from(load.slots.0) * u64::from(self.settings.saturated_percent);
        if work * 100 >= limit {
            self.mark_saturated(now);
        }
    }

    /// Takes note of a request that was refused or a peer that had no free slot.
    pub fn mark_saturated(&mut self, now: Instant) {
        self.saturated_until = Some(now + self.settings.saturation_hold);
    }

    /// Decides whether a request that has waited for its delay is hedged, and at
    /// which of the candidates. The hedge counts against the budget; it is to
    /// be confirmed once it is sent and refunded otherwise.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is not hedged.
    pub fn decide(
        &mut self,
        now: Instant,
        class: &ClassName,
        candidates: &[Candidate],
    ) -> Result<(UpstreamId, Withdrawal), Denial> {
        let name = class;
        let class = self.classes.get_mut(class).ok_or(Denial::Off)?;
        class.budget.budget().ok_or(Denial::Off)?;
        if self.saturated_until.is_some_and(|until| now < until) {
            return Err(Denial::Saturated);
        }
        let eligible = || candidates.iter().filter(|c| c.is_eligible());
        let least = eligible().map(Candidate::utilization_permille).min();
        let least = least.ok_or(Denial::NoUpstream)?;
        let choices: Vec<_> = eligible()
            .filter(|c| c.utilization_permille() == least)
            .collect();
        if !class.budget.withdraw(now) {
            return Err(Denial::Budget);
        }
        self.next_choice = self.next_choice.wrapping_add(1);
        let withdrawal = Withdrawal {
            class: name.clone(),
            at: now,
        };
        Ok((choices[self.next_choice % choices.len()].id, withdrawal))
    }

    /// Records that a hedge was sent.
    pub fn confirm(&mut self, withdrawal: &Withdrawal) {
        if let Some(class) = self.classes.get_mut(&withdrawal.class) {
            class.budget.confirm();
        }
    }

    /// Returns the part of the budget of a hedge that was decided but not sent.
    pub fn refund(&mut self, withdrawal: &Withdrawal) {
        if let Some(class) = self.classes.get_mut(&withdrawal.class) {
            class.budget.refund(withdrawal.at);
        }
    }
}
