//! Recipients and intervals of an agent's messages about its load and performance.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use flow::{AdmittedShare, Load, ServiceTime};
use types::Slots;

/// Minimum interval between reports of a changed load within the data centre.
const SAME_DATA_CENTRE_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between reports of a changed load to other data centres.
/// Longer, because links between data centres are costly.
const OTHER_DATA_CENTRE_INTERVAL: Duration = Duration::from_millis(200);

/// An unchanged load is reported after this time, as a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between messages about a changed performance, except for a fall of
/// the share.
const PERFORMANCE_INTERVAL: Duration = Duration::from_millis(250);

/// An unchanged performance is sent after this time, as a heartbeat.
const PERFORMANCE_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A service time that has changed by less than its value divided by this is not sent
/// before the heartbeat.
const SERVICE_TIME_STEPS: u64 = 8;

/// Number of recipients up to which these minimum intervals apply. With more
/// recipients the interval grows in proportion, which bounds an agent's report rate.
const FULL_RATE_RECIPIENTS: u32 = 8;

/// Recipients of an agent's load reports and the time of their last report.
#[derive(Debug)]
pub(super) struct ReportSchedule {
    same_data_centre: RecipientGroup,
    other_data_centres: RecipientGroup,
    performance: PerformanceSchedule,
}

/// Recipients that share a minimum report interval.
#[derive(Debug)]
struct RecipientGroup {
    addresses: BTreeSet<SocketAddrV4>,
    min_interval: Duration,
    reported_at: Instant,
    /// `None` if a recipient has received no report yet.
    last_report: Option<ReportedState>,
}

/// Slots, load, and whether new flows are accepted.
type ReportedState = (Slots, Load, bool);

/// Service time of the upstream and its share of new flows.
type PerformanceState = (Option<ServiceTime>, AdmittedShare);

/// When the performance was sent to all recipients.
#[derive(Debug)]
struct PerformanceSchedule {
    sent: PerformanceState,
    sent_at: Option<Instant>,
    /// Recipients that were added since.
    added: BTreeSet<SocketAddrV4>,
}

impl ReportSchedule {
    /// Creates a schedule without recipients.
    pub fn new(now: Instant) -> Self {
        ReportSchedule {
            same_data_centre: RecipientGroup::new(SAME_DATA_CENTRE_INTERVAL, now),
            other_data_centres: RecipientGroup::new(OTHER_DATA_CENTRE_INTERVAL, now),
            performance: PerformanceSchedule {
                sent: PerformanceState::default(),
                sent_at: None,
                added: BTreeSet::new(),
            },
        }
    }

    /// Adds a recipient; its group is due at once.
    pub fn insert(&mut self, address: SocketAddrV4, same_data_centre: bool) {
        let group = if same_data_centre {
            &mut self.same_data_centre
        } else {
            &mut self.other_data_centres
        };
        if group.addresses.insert(address) {
            group.last_report = None;
            self.performance.added.insert(address);
        }
    }

    /// Removes a recipient from both groups.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.same_data_centre.addresses.remove(&address);
        self.other_data_centres.addresses.remove(&address);
        self.performance.added.remove(&address);
    }

    /// Returns the recipients whose report is due and records it as sent.
    pub fn take_due(&mut self, state: ReportedState, now: Instant) -> Vec<SocketAddrV4> {
        let mut due = Vec::new();
        for group in [&mut self.same_data_centre, &mut self.other_data_centres] {
            if group.is_due(state, now) {
                group.reported_at = now;
                group.last_report = Some(state);
                due.extend(group.addresses.iter().copied());
            }
        }
        due
    }

    /// Returns the recipients to which the performance is due and records it as sent.
    pub fn take_due_performance(
        &mut self,
        state: PerformanceState,
        now: Instant,
    ) -> Vec<SocketAddrV4> {
        let (near, far) = (
            &self.same_data_centre.addresses,
            &self.other_data_centres.addresses,
        );
        let min_interval = scaled(PERFORMANCE_INTERVAL, near.len() + far.len());
        if self.performance.is_due(state, min_interval, now) {
            self.performance.sent = state;
            self.performance.sent_at = Some(now);
            self.performance.added.clear();
            near.iter().chain(far).copied().collect()
        } else {
            let added = std::mem::take(&mut self.performance.added);
            added.into_iter().collect()
        }
    }
}

impl PerformanceSchedule {
    fn is_due(&self, state: PerformanceState, min_interval: Duration, now: Instant) -> bool {
        let (service_time, share) = state;
        let Some(sent_at) = self.sent_at else {
            return true;
        };
        let service_time_changed = match (self.sent.0, service_time) {
            (Some(sent), Some(new)) => {
                let difference = u64::from(new.0.abs_diff(sent.0));
                difference * SERVICE_TIME_STEPS >= sent.0.max(1).into()
            }
            (sent, new) => sent != new,
        };
        let changed = service_time_changed || share != self.sent.1;
        share < self.sent.1
            || (changed && now >= sent_at + min_interval)
            || now >= sent_at + PERFORMANCE_HEARTBEAT_INTERVAL
    }
}

/// The interval between messages to this many recipients.
fn scaled(min_interval: Duration, recipients: usize) -> Duration {
    let count = u32::try_from(recipients).unwrap_or(u32::MAX);
    min_interval.saturating_mul(count.max(FULL_RATE_RECIPIENTS)) / FULL_RATE_RECIPIENTS
}

impl RecipientGroup {
    fn new(min_interval: Duration, now: Instant) -> Self {
        RecipientGroup {
            addresses: BTreeSet::new(),
            min_interval,
            reported_at: now,
            last_report: None,
        }
    }

    fn is_due(&self, state: ReportedState, now: Instant) -> bool {
        let Some(reported) = self.last_report else {
            return true;
        };
        let urgent = reported.2 != state.2;
        let interval = scaled(self.min_interval, self.addresses.len());
        let changed = reported != state && now >= self.reported_at + interval;
        urgent || changed || now >= self.reported_at + HEARTBEAT_INTERVAL
    }
}
