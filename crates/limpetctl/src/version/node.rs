//! Balancers and agents.

use serde::Serialize;
use types::Version;
use wire::request::NodeReport;

use crate::process::table;

/// A balancer or an agent.
#[derive(Debug, Serialize)]
pub struct NodeView {
    pub role: String,
    pub host: String,
    pub data_centre: String,
    /// Version in force, as `revision/epoch.seq`.
    pub version: Option<String>,
    /// Revision in force.
    pub revision: Option<u64>,
    /// Whether the node lacks the published version.
    pub lags: bool,
    pub silent_ms: u128,
}

impl NodeView {
    /// Compares the version of a node with the published one.
    pub fn new(node: &NodeReport, published: &Version) -> Self {
        NodeView {
            lags: node.version.is_none_or(|v| v.is_behind(published)),
            ..NodeView::lagging(node)
        }
    }

    /// Creates the view of a node that is known to lag.
    pub fn lagging(node: &NodeReport) -> Self {
        NodeView {
            role: node.role.to_string(),
            host: node.host.to_string(),
            data_centre: node.data_centre.to_string(),
            version: node.version.map(|v| v.to_string()),
            revision: node.version.map(|v| v.revision.0),
            lags: true,
            silent_ms: node.silent_for.as_millis(),
        }
    }

    /// A table of nodes.
    pub fn table(nodes: &[NodeView]) -> String {
        let head = ["ROLE", "HOST", "DATA CENTRE", "IN FORCE", "LAGS", "SILENT"];
        table(
            &head,
            nodes.iter().map(|n| {
                [
                    n.role.clone(),
                    n.host.clone(),
                    n.data_centre.clone(),
                    n.version.clone().unwrap_or_else(|| "none".to_owned()),
                    if n.lags { "yes" } else { "no" }.to_owned(),
                    format!("{} ms", n.silent_ms),
                ]
            }),
        )
    }
}

/// The roles and hosts of nodes as a comma-separated list.
pub fn format_nodes(nodes: &[NodeReport]) -> String {
    let name = |n: &NodeReport| format!("{} {}", n.role, n.host);
    nodes.iter().map(name).collect::<Vec<_>>().join(", ")
}
