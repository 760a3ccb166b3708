//! Hedges of the agent's requests.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use hedge::{Candidate, CandidateState, Denial, Hedging, Repeatable, Settings, Withdrawal};
use types::{ClassLoad, ClassLoads, ClassName, HedgeBudget, Slots, Target, UpstreamId};

use super::HedgeTimer;

/// Decides on hedges with the last known states and loads of the peers.
pub(crate) struct PeerHedging {
    hedging: Hedging,
    budgets: BTreeMap<ClassName, HedgeBudget>,
    states: BTreeMap<UpstreamId, CandidateState>,
    loads: BTreeMap<UpstreamId, ClassLoads>,
}

impl PeerHedging {
    pub(crate) fn new(now: Instant) -> Self {
        PeerHedging {
            hedging: Hedging::new(Settings::default(), now),
            budgets: BTreeMap::new(),
            states: BTreeMap::new(),
            loads: BTreeMap::new(),
        }
    }

    pub(crate) fn configure(
        &mut self,
        targets: &BTreeMap<ClassName, Target>,
        states: BTreeMap<UpstreamId, CandidateState>,
    ) {
        let budget = |(class, target): (&ClassName, &Target)| {
            target.hedge_budget.map(|budget| (class.clone(), budget))
        };
        let budgets: BTreeMap<_, _> = targets.iter().filter_map(budget).collect();
        if budgets != self.budgets {
            for (class, budget) in &budgets {
                log::info!(event = "hedge_budget", class:% = class, percent:% = budget; "requests of the class are hedged");
            }
            if budgets.is_empty() {
                log::info!(event = "hedging_off"; "no class is hedged");
            }
            self.hedging.set_budgets(&budgets);
            self.budgets = budgets;
        }
        self.loads.retain(|id, _| states.contains_key(id));
        self.states = states;
    }

    pub(crate) fn update_loads(&mut self, peer: UpstreamId, loads: ClassLoads) {
        if self.states.contains_key(&peer) {
            self.loads.insert(peer, loads);
        }
    }

    /// Takes note of the load of the service in each class that is hedged.
    pub(crate) fn observe_loads(&mut self, now: Instant, own: &ClassLoads) {
        for class in self.budgets.keys() {
            let total = self.total_load(class, own);
            self.hedging.observe_load(now, &total);
        }
    }

    pub(crate) fn mark_saturated(&mut self, now: Instant) {
        self.hedging.mark_saturated(now);
    }

    pub(crate) fn arrive(
        &mut self,
        now: Instant,
        class: &ClassName,
        repeatable: Repeatable,
    ) -> Option<HedgeTimer> {
        let delay = self.hedging.arrive(now, class, repeatable);
        let hedged = repeatable == Repeatable::Yes && self.budgets.contains_key(class);
        hedged.then(|| HedgeTimer {
            due: delay.map(|delay| now + delay),
        })
    }

    pub(crate) fn answered(&mut self, now: Instant, class: &ClassName, latency: Duration) {
        self.hedging.complete(now, class, latency);
    }

    /// Chooses the peer that gets a hedge. A peer whose load is not known gets none.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        class: &ClassName,
        own: &ClassLoads,
    ) -> Result<(UpstreamId, Withdrawal), Denial> {
        let total = self.total_load(class, own);
        self.hedging.observe_load(now, &total);
        let candidates = self.states.iter().map(|(&id, &state)| Candidate {
            id,
            state,
            load: self.load(id, class),
        });
        let candidates: Vec<_> = candidates.collect();
        self.hedging.decide(now, class, &candidates)
    }

    /// Whether a hedge may still be sent to the peer that was chosen for it. The budget
    /// or the state of the peer may have changed while the peer reserved the slot.
    pub(crate) fn may_send(&self, peer: UpstreamId, withdrawal: &Withdrawal) -> Result<(), Denial> {
        if !self.budgets.contains_key(&withdrawal.class) {
            return Err(Denial::Off);
        }
        match self.states.get(&peer) {
            Some(CandidateState::Warm) => Ok(()),
            _ => Err(Denial::NoUpstream),
        }
    }

    /// Records that a hedge was sent.
    pub(crate) fn confirm(&mut self, withdrawal: &Withdrawal) {
        self.hedging.confirm(withdrawal);
    }

    /// Returns the part of the budget of a hedge that was not sent.
    pub(crate) fn refund(&mut self, withdrawal: &Withdrawal) {
        self.hedging.refund(withdrawal);
    }

    fn load(&self, peer: UpstreamId, class: &ClassName) -> ClassLoad {
        let load = self.loads.get(&peer).and_then(|loads| loads.get(class));
        load.copied().unwrap_or_default()
    }

    /// Load of a class, summed over the own upstream and the peers.
    fn total_load(&self, class: &ClassName, own: &ClassLoads) -> ClassLoad {
        let own = own.get(class).copied().unwrap_or_default();
        let peers = self.states.keys().map(|&id| self.load(id, class));
        peers.fold(own, |sum, load| ClassLoad {
            slots: Slots(sum.slots.0.saturating_add(load.slots.0)),
            in_flight: Slots(sum.in_flight.0.saturating_add(load.in_flight.0)),
            queued: Slots(sum.queued.0.saturating_add(load.queued.0)),
        })
    }
}
