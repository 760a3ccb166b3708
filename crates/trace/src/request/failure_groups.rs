//! Refusals and resets of many flows or requests, grouped by what they share.

use std::collections::BTreeMap;

use serde::Serialize;

/// What failures share that probably have one reason.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct FailureKey {
    /// The cause in the log line.
    pub cause: String,
    /// Log source or address of the agent that failed the flow or that it was placed at;
    /// empty if none is known.
    pub agent: String,
    /// Address that the callers sent to; empty if the id names none.
    pub route: String,
    /// The second in which the flows failed, in RFC 3339, by corrected clocks.
    pub second: String,
}

/// The failures of one caller's address in a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CallerFailures {
    /// The address, without the port.
    pub address: String,
    /// Number of flows and requests.
    pub failures: usize,
}

/// Failures that share a key.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FailureGroup {
    /// What they share.
    #[serde(flatten)]
    pub key: FailureKey,
    /// Number of flows and requests.
    pub failures: usize,
    /// Number of callers' addresses among them.
    pub callers: usize,
    /// The caller's address with the most of them.
    pub largest_caller: Option<CallerFailures>,
    /// Share of all failures in the logs, in percent.
    pub percent: f64,
}

/// The failures in the logs of several processes.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct FailureGroups {
    /// The groups, the largest first.
    pub groups: Vec<FailureGroup>,
    /// Number of flows and requests that failed.
    pub failures: usize,
    /// Number of lines on failures that the rate limits of the logs suppressed.
    pub left_out: u64,
    /// The key of each failed flow or request, by its id.
    #[serde(skip)]
    keys: BTreeMap<String, FailureKey>,
}

impl FailureGroups {
    /// Groups the failures by their keys. Each id counts once.
    pub(crate) fn new(keys: BTreeMap<String, FailureKey>, left_out: u64) -> Self {
        let mut ids: BTreeMap<&FailureKey, Vec<&str>> = BTreeMap::new();
        for (id, key) in &keys {
            ids.entry(key).or_default().push(id);
        }
        let failures = keys.len();
        let groups = ids.into_iter().map(|(key, ids)| {
            let mut callers: BTreeMap<&str, usize> = BTreeMap::new();
            for caller in ids.iter().filter_map(|id| caller_of(id)) {
                *callers.entry(caller).or_default() += 1;
            }
            let largest = callers.iter().max_by_key(|(_, failures)| **failures);
            FailureGroup {
                key: key.clone(),
                failures: ids.len(),
                callers: callers.len(),
                largest_caller: largest.map(|(address, failures)| CallerFailures {
                    address: (*address).to_owned(),
                    failures: *failures,
                }),
                percent: percent(ids.len(), failures),
            }
        });
        let mut groups: Vec<FailureGroup> = groups.collect();
        // The sort is stable: groups of one size stay in the order of their keys.
        groups.sort_by_key(|group| std::cmp::Reverse(group.failures));
        FailureGroups {
            groups,
            failures,
            left_out,
            keys,
        }
    }

    /// The group of a flow or request.
    #[must_use]
    pub fn group_of(&self, id: &str) -> Option<&FailureGroup> {
        let key = self.keys.get(id)?;
        self.groups.iter().find(|group| group.key == *key)
    }
}

/// A share in percent, rounded to a tenth.
#[expect(
    clippy::cast_precision_loss,
    reason = "numbers of log lines are far below 2^52"
)]
fn percent(part: usize, whole: usize) -> f64 {
    (part as f64 / whole as f64 * 1000.0).round() / 10.0
}

/// The address of the caller, without its port, in the id of a flow:
/// `CALLER:PORT-ADDRESS:PORT`.
fn caller_of(id: &str) -> Option<&str> {
    let (caller, _) = id.split_once('-')?;
    caller.rsplit_once(':').map(|(host, _)| host)
}

/// The address that the caller sent to, in the id of a flow.
pub(crate) fn route_of(id: &str) -> Option<&str> {
    id.split_once('-').map(|(_, route)| route)
}
