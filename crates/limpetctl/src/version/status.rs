//! Status of the whole system.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Display,
};

use serde::Serialize;
use types::Share;
use wire::request::{ClassReport, ServiceReport, StatusReport, UpstreamReport};

use super::{GroupView, NodeView};
use crate::process::{Report, table};

/// Status of the whole system.
#[derive(Debug, Serialize)]
pub struct StatusView {
    /// Published version, as `revision/epoch.seq`.
    pub version: String,
    pub revision: u64,
    /// Number of nodes that lack the published version.
    pub lagging: usize,
    pub group: GroupView,
    pub nodes: Vec<NodeView>,
    pub services: Vec<ServiceLoadView>,
    /// Data centres whose upstreams get no new work.
    pub evacuated_data_centres: Vec<String>,
    /// Services whose upstreams are all in these data centres.
    pub services_without_upstreams: Vec<String>,
}

/// Load of a service.
#[derive(Debug, Serialize)]
pub struct ServiceLoadView {
    pub name: String,
    pub classes: BTreeMap<String, ClassLoadView>,
    pub upstreams: Vec<UpstreamView>,
    /// Connections that leaving upstreams still hold.
    pub leaving_connections: u64,
}

/// Load of a class of work against its target.
#[derive(Debug, Serialize)]
pub struct ClassLoadView {
    pub carry: u32,
    pub slots: u32,
    pub in_flight: u32,
    pub queued: u32,
}

/// An upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamView {
    pub id: String,
    pub host: String,
    pub state: String,
    /// Weight in the placement of new flows; `full_share` once warmed up.
    pub share: u32,
    pub full_share: u32,
}

impl From<&StatusReport> for StatusView {
    fn from(status: &StatusReport) -> Self {
        let nodes: Vec<_> = status
            .nodes
            .iter()
            .map(|node| NodeView::new(node, &status.version))
            .collect();
        StatusView {
            version: status.version.to_string(),
            revision: status.version.revision.0,
            lagging: nodes.iter().filter(|n| n.lags).count(),
            group: GroupView::from(&status.group),
            nodes,
            services: status.services.iter().map(ServiceLoadView::from).collect(),
            evacuated_data_centres: names(&status.evacuation.evacuated),
            services_without_upstreams: names(&status.evacuation.services_without_upstreams),
        }
    }
}

fn names<T: Display>(names: &BTreeSet<T>) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

/// The names, separated by commas.
pub fn join_names<T: Display>(set: &BTreeSet<T>) -> String {
    names(set).join(", ")
}

impl From<&ServiceReport> for ServiceLoadView {
    fn from(service: &ServiceReport) -> Self {
        let classes = service.classes.iter();
        ServiceLoadView {
            name: service.name.to_string(),
            classes: classes.map(|(c, l)| (c.to_string(), l.into())).collect(),
            upstreams: service.upstreams.iter().map(UpstreamView::from).collect(),
            leaving_connections: service.leaving_connections,
        }
    }
}

impl From<&ClassReport> for ClassLoadView {
    fn from(class: &ClassReport) -> Self {
        ClassLoadView {
            carry: class.carry.0,
            slots: class.slots.0,
            in_flight: class.in_flight.0,
            queued: class.queued.0,
        }
    }
}

impl From<&UpstreamReport> for UpstreamView {
    fn from(upstream: &UpstreamReport) -> Self {
        UpstreamView {
            id: upstream.id.to_string(),
            host: upstream.host.to_string(),
            state: upstream.state.to_string(),
            share: upstream.share.0,
            full_share: Share::FULL.0,
        }
    }
}

impl StatusView {
    fn summary(&self) -> String {
        format!(
            "published version {}, in force on {} of {} nodes",
            self.version,
            self.nodes.len() - self.lagging,
            self.nodes.len()
        )
    }

    fn classes(&self) -> String {
        let head = ["SERVICE", "CLASS", "IN FLIGHT", "TARGET", "SLOTS", "QUEUED"];
        let rows = self.services.iter().flat_map(|service| {
            service.classes.iter().map(|(class, load)| {
                [
                    service.name.clone(),
                    class.clone(),
                    load.in_flight.to_string(),
                    load.carry.to_string(),
                    load.slots.to_string(),
                    load.queued.to_string(),
                ]
            })
        });
        table(&head, rows)
    }

    fn upstreams(&self) -> String {
        let head = ["SERVICE", "UPSTREAM", "HOST", "STATE", "SHARE"];
        let rows = self.services.iter().flat_map(|service| {
            service.upstreams.iter().map(|upstream| {
                [
                    service.name.clone(),
                    upstream.id.clone(),
                    upstream.host.clone(),
                    upstream.state.clone(),
                    format!("{}/{}", upstream.share, upstream.full_share),
                ]
            })
        });
        table(&head, rows)
    }

    /// The evacuated data centres, and the services that have no other upstreams.
    fn evacuation(&self) -> Option<String> {
        if self.evacuated_data_centres.is_empty() {
            return None;
        }
        let evacuated = self.evacuated_data_centres.join(", ");
        let mut lines = format!("evacuated data centres: {evacuated}");
        if !self.services_without_upstreams.is_empty() {
            let services = self.services_without_upstreams.join(", ");
            lines.push_str("\nservices without upstreams: ");
            lines.push_str(&services);
        }
        Some(lines)
    }

    /// A line for each service whose leaving upstreams still hold connections.
    fn leaving(&self) -> Option<String> {
        let held: Vec<_> = self
            .services
            .iter()
            .filter(|s| s.leaving_connections > 0)
            .map(|s| {
                let count = s.leaving_connections;
                format!(
                    "leaving upstreams of {} still hold {count} connections",
                    s.name
                )
            })
            .collect();
        (!held.is_empty()).then(|| held.join("\n"))
    }
}

impl Report for StatusView {
    fn text(&self) -> String {
        let mut parts = vec![
            self.summary(),
            self.group.text(),
            NodeView::table(&self.nodes),
            self.classes(),
            self.upstreams(),
        ];
        parts.extend(self.leaving());
        parts.extend(self.evacuation());
        parts.join("\n\n")
    }
}
