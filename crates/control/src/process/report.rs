//! Replies to queries of operators.

use std::time::Instant;

use consensus::Status;
use types::Service;
use wire::request::{
    ClassReport, EvacuationReport, GroupReport, KeysReport, Query, QueryReply, ServiceReport,
    StatusReport, UpstreamReport,
};

use super::live_nodes::LiveNodes;
use crate::version::LeaderView;

/// Computes the reply to a query after a majority has confirmed the read.
pub fn answer_query(
    query: &Query,
    view: LeaderView<'_>,
    nodes: &LiveNodes,
    status: &Status,
) -> QueryReply {
    let now = Instant::now();
    let state = view.state;
    match query {
        Query::Services => QueryReply::Services(state.services().values().cloned().collect()),
        Query::Service(name) => QueryReply::Service(state.service(name).cloned()),
        Query::Drain(host) => QueryReply::Drain(state.drains().get(host).cloned()),
        Query::Evacuations => QueryReply::Evacuations(state.evacuations().clone()),
        Query::Keys => QueryReply::Keys(keys_report(view)),
        Query::Audit { limit } => {
            QueryReply::Audit(state.audit().rev().take(*limit).cloned().collect())
        }
        // A new leader has not received a sync from every live node yet, so an
        // empty list would wrongly claim that every node has the revision.
        Query::Lagging(_) if view.version().is_none() => QueryReply::Unsettled,
        Query::Lagging(revision) => QueryReply::Lagging(nodes.lagging(now, *revision)),
        Query::Routes => QueryReply::Routes(state.routes().cloned()),
        Query::Status => QueryReply::Status(Box::new(StatusReport {
            version: view.version().unwrap_or_default(),
            group: group_report(status),
            nodes: nodes.report(now).collect(),
            services: state
                .services()
                .values()
                .map(|s| service_report(view, s))
                .collect(),
            evacuation: EvacuationReport {
                evacuated: view.state.evacuated_data_centres().cloned().collect(),
                services_without_upstreams: view.registry.services_without_upstreams(),
            },
        })),
    }
}

fn keys_report(view: LeaderView<'_>) -> Option<KeysReport> {
    let keys = view.state.keys()?;
    Some(KeysReport {
        current: keys.set.current.generation,
        pending: keys.pending().map(|key| key.generation),
        revision: keys.revision,
    })
}

fn group_report(status: &Status) -> GroupReport {
    let group = status.group.clone().unwrap_or_default();
    GroupReport {
        leader: status.id,
        term: status.term,
        voters: group.voters,
        learners: group.learners,
        caught_up: status
            .caught_up
            .iter()
            .copied()
            .chain([status.id])
            .collect(),
    }
}

fn service_report(view: LeaderView<'_>, service: &Service) -> ServiceReport {
    let status = view.registry.status(service.id);
    let classes = status.classes.iter().map(|(name, class)| {
        let report = ClassReport {
            carry: class.carry,
            slots: class.slots,
            in_flight: class.in_flight,
            queued: class.queued,
        };
        (name.clone(), report)
    });
    let members = view.registry.members(service.id);
    let upstreams = members.iter().map(|(&id, member)| UpstreamReport {
        id,
        host: member.host.clone(),
        state: member.state,
        share: member.share,
    });
    ServiceReport {
        name: service.name.clone(),
        classes: classes.collect(),
        upstreams: upstreams.collect(),
        leaving_connections: status.leaving_connections,
    }
}
