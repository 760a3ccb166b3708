//! Finds the refusals and resets in the logs of several processes.

use std::{
    collections::BTreeMap,
    time::{Duration, UNIX_EPOCH},
};

use super::{Incarnation, LogCollection, clock_correction};
use crate::{
    FailureGroups, LogLine,
    request::{FailureKey, route_of},
};

/// Events by which a flow or request fails; their lines have the field `cause`.
const FAILURE_EVENTS: [&str; 2] = ["reset", "refused"];

/// Fields with the id of a flow or request.
const ID_FIELDS: [&str; 2] = ["flow", "request"];

impl LogCollection {
    /// Groups the refusals and resets by cause, agent, route and second. A flow that was
    /// reset several times counts by its first reset.
    #[must_use]
    pub fn failure_groups(&self) -> FailureGroups {
        let mut incarnations = self.incarnations.clone();
        clock_correction::correct_clocks(&mut incarnations);
        let placed = placements(&incarnations);
        let mut keys: BTreeMap<String, (i64, FailureKey)> = BTreeMap::new();
        let mut left_out = 0;
        for incarnation in &incarnations {
            for line in &incarnation.lines {
                left_out += suppressed_failures(line);
                if !FAILURE_EVENTS.contains(&line.event.as_str()) {
                    continue;
                }
                let Some(id) = id_of(line) else {
                    continue;
                };
                let at = incarnation.corrected_time_ms(line);
                if keys.get(id).is_some_and(|(earlier, _)| *earlier <= at) {
                    continue;
                }
                let agent = agent_of(incarnation, line).or(placed.get(id).copied());
                let key = FailureKey {
                    cause: line.str_field("cause").unwrap_or_default().to_owned(),
                    agent: agent.unwrap_or_default().to_owned(),
                    route: route_of(id).unwrap_or_default().to_owned(),
                    second: format_second(at),
                };
                keys.insert(id.to_owned(), (at, key));
            }
        }
        let keys = keys.into_iter().map(|(id, (_, key))| (id, key));
        FailureGroups::new(keys.collect(), left_out)
    }
}

fn id_of(line: &LogLine) -> Option<&str> {
    ID_FIELDS
        .into_iter()
        .find_map(|field| line.str_field(field))
}

/// The agent that a line names or that wrote it.
fn agent_of<'a>(incarnation: &'a Incarnation, line: &'a LogLine) -> Option<&'a str> {
    let wrote_it = incarnation.role.as_deref() == Some(clock_correction::AGENT_ROLE);
    let named = line.str_field("agent");
    named.or(wrote_it.then_some(incarnation.source_name.as_str()))
}

/// The agent at which each flow was last placed: the name of its log source if it is
/// among the logs, otherwise its address.
fn placements(incarnations: &[Incarnation]) -> BTreeMap<&str, &str> {
    let agents = incarnations.iter().filter_map(|incarnation| {
        let is_agent = incarnation.role.as_deref() == Some(clock_correction::AGENT_ROLE);
        let ip = incarnation.ip.as_deref().filter(|_| is_agent)?;
        Some((ip, incarnation.source_name.as_str()))
    });
    let agents: BTreeMap<&str, &str> = agents.collect();
    let mut placed: BTreeMap<&str, (i64, &str)> = BTreeMap::new();
    for incarnation in incarnations {
        for line in &incarnation.lines {
            let to = match line.event.as_str() {
                "placed" => "agent",
                "passed_on" => "to",
                _ => continue,
            };
            let (Some(id), Some(address)) = (id_of(line), line.str_field(to)) else {
                continue;
            };
            let at = incarnation.corrected_time_ms(line);
            let name = line.host_field(to).and_then(|ip| agents.get(ip));
            let agent = name.copied().unwrap_or(address);
            let last = placed.entry(id).or_insert((at, agent));
            if last.0 <= at {
                *last = (at, agent);
            }
        }
    }
    let placed = placed.into_iter();
    placed.map(|(id, (_, agent))| (id, agent)).collect()
}

/// The second of a time in RFC 3339.
fn format_second(at_ms: i64) -> String {
    let at = Duration::from_millis(u64::try_from(at_ms).unwrap_or_default());
    humantime::format_rfc3339_seconds(UNIX_EPOCH + at).to_string()
}

/// The number of lines on failures that a line reports as suppressed.
fn suppressed_failures(line: &LogLine) -> u64 {
    let counts = line.fields.get("counts").and_then(|c| c.as_object());
    let counts = counts.into_iter().flatten();
    counts
        .filter(|(kind, _)| FAILURE_EVENTS.contains(&kind.as_str()))
        .filter_map(|(_, count)| count.as_u64())
        .fold(0, u64::saturating_add)
}
