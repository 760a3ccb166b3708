//! Agents of a service in the order of the expected time to an answer.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use types::DataCentre;

use super::{AdmittedShare, AgentStatus};

/// Mean service time before an agent has reported one.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(40);

/// Longest service time that counts. A report may hold any number.
const MAX_SERVICE_TIME: Duration = Duration::from_mins(1);

/// Load of an open flow in thousandths of a request: an open flow brings about one more
/// request in a second.
const OPEN_FLOW_LOAD: u128 = 30;

/// Reports that arrive at intervals of up to this many service times count in full. With
/// longer intervals, the requests that a report counts have been answered long before the
/// next one, and all balancers would place their flows on the agents that were idle then.
const FRESH_SERVICE_TIMES: u32 = 2;

/// Requests that a flow placed since the report counts as: the other balancers place
/// flows on the same reports. With 1, balancers with old reports all choose the same
/// agents; with 4, they place more flows in other data centres.
const PLACED_WEIGHT: u32 = 2;

/// Weight of a new report interval in its moving average is one divided by this.
const INTERVAL_SMOOTHING: u32 = 4;

/// Expected time from a new flow's request to its answer.
pub(super) type Cost = Duration;

/// Index of a pool's agents that accept flows. Costs change with reports and placements
/// only, so that a placement looks at the agents of least cost and not at all.
#[derive(Debug, Default)]
pub(super) struct CostIndex {
    data_centres: BTreeMap<DataCentre, DataCentreIndex>,
    entries: BTreeMap<SocketAddrV4, Entry>,
    /// Sum and number of the reported service times.
    reported: (Duration, u32),
    /// Whether an agent has reported a service time. Costs are requests per slot until
    /// then.
    has_service_times: bool,
    /// Agents whose upstreams are to be left out. The first in order are, up to half of
    /// all agents; the others get a reduced share.
    unhealthy: BTreeSet<SocketAddrV4>,
    /// Agents with a free slot by their reports, and when they reported.
    free: BTreeSet<(Instant, SocketAddrV4)>,
}

#[derive(Debug, Default)]
struct DataCentreIndex {
    /// The agents that are not left out.
    by_cost: BTreeSet<(Cost, SocketAddrV4)>,
    /// Sum of the costs of all agents by their reports alone.
    reported_cost: Duration,
    agents: u32,
}

#[derive(Debug)]
struct Entry {
    status: AgentStatus,
    service_time: Option<Duration>,
    /// Cost without the flows placed since the report.
    reported_cost: Cost,
    /// Average interval between reports of different loads.
    report_interval: Duration,
    /// `None` if the agent is left out.
    cost: Option<Cost>,
}

impl CostIndex {
    /// Adds an agent or updates its cost.
    pub fn update(&mut self, address: SocketAddrV4, status: &AgentStatus) {
        let was_unhealthy = self.unhealthy.contains(&address);
        let former = self.detach(address);
        let is_new = former.is_none();
        let service_time = status
            .service_time
            .map(|time| time.duration().min(MAX_SERVICE_TIME));
        if let Some(time) = service_time {
            self.reported.0 += time;
            self.reported.1 += 1;
        }
        let reported_cost = cost(
            status,
            u64::from(status.load.busy_requests) + 1,
            service_time.unwrap_or(self.mean_service_time()),
        );
        let data_centre = self.data_centre(status);
        data_centre.reported_cost = data_centre.reported_cost.saturating_add(reported_cost);
        data_centre.agents += 1;
        let is_unhealthy = status.share == AdmittedShare::None;
        if status.requests() < status.slots.0 && !is_unhealthy {
            self.free.insert((status.reported_at, address));
        }
        if is_unhealthy {
            self.unhealthy.insert(address);
        } else {
            self.unhealthy.remove(&address);
        }
        let entry = Entry {
            status: status.clone(),
            service_time,
            reported_cost,
            report_interval: former.map_or(Duration::ZERO, |former| former.interval_to(status)),
            cost: None,
        };
        self.entries.insert(address, entry);
        self.attach(address);
        if is_new || is_unhealthy != was_unhealthy {
            self.update_unhealthy();
        }
        self.update_rule();
    }

    /// Removes an agent.
    pub fn remove(&mut self, address: SocketAddrV4) {
        if self.detach(address).is_some() {
            self.unhealthy.remove(&address);
            self.update_unhealthy();
            self.update_rule();
        }
    }

    /// Whether the index has no agents.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Agents whose upstreams are to be left out.
    pub fn unhealthy(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.unhealthy.iter().copied()
    }

    /// Agents with a free slot, those that reported last first.
    pub fn free(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.free.iter().rev().map(|(_, address)| *address)
    }

    /// Whether an agent has reported a service time.
    pub fn has_service_times(&self) -> bool {
        self.has_service_times
    }

    /// Mean of the reported service times.
    pub fn mean_service_time(&self) -> Duration {
        let (sum, count) = self.reported;
        sum.checked_div(count).unwrap_or(ASSUMED_SERVICE_TIME)
    }

    /// Agents of each data centre in ascending order of cost.
    pub fn data_centres(
        &self,
    ) -> impl Iterator<Item = (&DataCentre, impl Iterator<Item = (Cost, SocketAddrV4)>)> {
        let data_centres = self.data_centres.iter();
        data_centres.map(|(name, index)| (name, index.by_cost.iter().copied()))
    }

    fn data_centre(&mut self, status: &AgentStatus) -> &mut DataCentreIndex {
        self.data_centres
            .entry(status.data_centre.clone())
            .or_default()
    }

    fn update_unhealthy(&mut self) {
        for address in self.unhealthy.clone() {
            self.unlist(address);
            self.attach(address);
        }
    }

    /// Enters all agents anew when the first service time is known or the last is gone.
    fn update_rule(&mut self) {
        let has_service_times = self.reported.1 > 0;
        if self.has_service_times == has_service_times {
            return;
        }
        self.has_service_times = has_service_times;
        for address in self.entries.keys().copied().collect::<Vec<_>>() {
            self.unlist(address);
            self.attach(address);
        }
    }

    /// Enters an agent in the order of costs, unless it is left out.
    fn attach(&mut self, address: SocketAddrV4) {
        let mean = self.mean_service_time();
        let most_left_out = self.entries.len() / 2;
        let mut left_out = self.unhealthy.iter().take(most_left_out);
        if self.unhealthy.contains(&address) && left_out.any(|other| *other == address) {
            return;
        }
        if let Some(entry) = self.entries.get_mut(&address)
            && let Some(index) = self.data_centres.get_mut(&entry.status.data_centre)
        {
            let mean_cost = index.reported_cost.checked_div(index.agents);
            let cost = if self.has_service_times {
                entry.expected_time(mean, mean_cost.unwrap_or_default())
            } else {
                entry.requests_per_slot()
            };
            entry.cost = Some(cost);
            index.by_cost.insert((cost, address));
        }
    }

    fn unlist(&mut self, address: SocketAddrV4) {
        if let Some(entry) = self.entries.get_mut(&address)
            && let Some(cost) = entry.cost.take()
            && let Some(index) = self.data_centres.get_mut(&entry.status.data_centre)
        {
            index.by_cost.remove(&(cost, address));
        }
    }

    fn detach(&mut self, address: SocketAddrV4) -> Option<Entry> {
        self.unlist(address);
        let entry = self.entries.remove(&address)?;
        self.free.remove(&(entry.status.reported_at, address));
        let data_centre = self.data_centre(&entry.status);
        data_centre.reported_cost = data_centre
            .reported_cost
            .saturating_sub(entry.reported_cost);
        data_centre.agents -= 1;
        if let Some(time) = entry.service_time {
            self.reported.0 -= time;
            self.reported.1 -= 1;
        }
        Some(entry)
    }
}

impl Entry {
    /// Average interval between reports, with a newer state of the same agent.
    fn interval_to(&self, newer: &AgentStatus) -> Duration {
        let interval = newer
            .reported_at
            .saturating_duration_since(self.status.reported_at);
        // An unchanged load is reported rarely, as a heartbeat.
        if interval.is_zero() || newer.load == self.status.load {
            return self.report_interval;
        }
        (self.report_interval * (INTERVAL_SMOOTHING - 1) + interval) / INTERVAL_SMOOTHING
    }

    /// Requests per slot, by the reports of agents that send no service time.
    fn requests_per_slot(&self) -> Cost {
        // The new flow counts only where less than the whole share has to weigh.
        let new = u64::from(self.status.share != AdmittedShare::Full);
        let requests = u64::from(self.status.requests()) + new;
        cost(&self.status, requests, ASSUMED_SERVICE_TIME)
    }

    /// Expected time to the answer, without the path. The older the report may be, the
    /// less it counts beside the mean of the data centre, which changes more slowly.
    fn expected_time(&self, mean_service_time: Duration, mean_cost: Cost) -> Cost {
        let service_time = self.service_time.unwrap_or(mean_service_time);
        let requests = u64::from(self.status.requests()) + 1;
        let with_placed = cost(&self.status, requests, service_time);
        let placed = with_placed.saturating_sub(self.reported_cost);
        let placed = placed.saturating_mul(PLACED_WEIGHT);
        let fresh = service_time * FRESH_SERVICE_TIMES;
        if self.report_interval <= fresh {
            return self.reported_cost.saturating_add(placed);
        }
        let weighted = |cost: Cost, weight: Duration| {
            let micros = cost.as_micros() * weight.as_micros() / self.report_interval.as_micros();
            Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
        };
        weighted(self.reported_cost, fresh)
            .saturating_add(weighted(
                mean_cost,
                self.report_interval.saturating_sub(fresh),
            ))
            .saturating_add(placed)
    }
}

/// Expected time until an agent has answered this many requests and those of its open
/// flows.
fn cost(status: &AgentStatus, requests: u64, service_time: Duration) -> Cost {
    let divisor = match status.share {
        AdmittedShare::Full => 1,
        AdmittedShare::Half => 2,
        AdmittedShare::None | AdmittedShare::Quarter => 4,
    };
    let load = u128::from(requests) * 1000 + u128::from(status.load.open_flows) * OPEN_FLOW_LOAD;
    let slots = u128::from(status.slots.0.max(1)) * 1000;
    let micros = load * service_time.as_micros() * divisor / slots;
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
