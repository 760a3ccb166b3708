//! Recipients and intervals of an agent's load reports.

use std::{
    collections::BTreeSet,
    net::SocketAddrV4,
    time::{Duration, Instant},
};

use flow::{AdmittedShare, Load};
use types::Slots;

/// Minimum interval between reports of a changed load within the data centre.
const SAME_DATA_CENTRE_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum interval between reports of a changed load to other data centres.
/// Longer, because links between data centres are costly.
const OTHER_DATA_CENTRE_INTERVAL: Duration = Duration::from_millis(200);

/// An unchanged load is reported after this time, as a heartbeat.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Number of recipients up to which these minimum intervals apply. With more
/// recipients the interval grows in proportion, which bounds an agent's report rate.
const FULL_RATE_RECIPIENTS: u32 = 8;

/// Recipients of an agent's load reports and the time of their last report.
#[derive(Debug)]
pub(super) struct ReportSchedule {
    same_data_centre: RecipientGroup,
    other_data_centres: RecipientGroup,
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

/// Slots, load, whether new flows are accepted, and the upstream's share of them.
type ReportedState = (Slots, Load, bool, AdmittedShare);

impl ReportSchedule {
    /// Creates a schedule without recipients.
    pub fn new(now: Instant) -> Self {
        ReportSchedule {
            same_data_centre: RecipientGroup::new(SAME_DATA_CENTRE_INTERVAL, now),
            other_data_centres: RecipientGroup::new(OTHER_DATA_CENTRE_INTERVAL, now),
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
        }
    }

    /// Removes a recipient from both groups.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.same_data_centre.addresses.remove(&address);
        self.other_data_centres.addresses.remove(&address);
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
        let (_, _, accepting, share) = state;
        let urgent = (reported.2, reported.3) != (accepting, share);
        let changed = reported != state && now >= self.reported_at + self.interval();
        urgent || changed || now >= self.reported_at + HEARTBEAT_INTERVAL
    }

    fn interval(&self) -> Duration {
        let count = u32::try_from(self.addresses.len()).unwrap_or(u32::MAX);
        self.min_interval * count.max(FULL_RATE_RECIPIENTS) / FULL_RATE_RECIPIENTS
    }
}
