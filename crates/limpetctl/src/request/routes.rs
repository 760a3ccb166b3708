//! Routing sets: the services that take the new flows of each address.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use serde::Serialize;
use types::{
    Change, Revision, RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber, ServiceName,
};
use wire::request::{Query, QueryReply};

use super::{Context, change::Submission, resend::command_args};
use crate::{
    error::{Error, Result},
    process::{Exit, Report, RoutesCommand, RuleArg, table},
};

/// A routing set.
#[derive(Debug, Serialize)]
struct RoutesView {
    /// 0 before the first set.
    number: u64,
    rules: BTreeMap<SocketAddr, BTreeMap<ServiceName, u32>>,
}

impl From<&RoutingSet> for RoutesView {
    fn from(set: &RoutingSet) -> Self {
        let weights = |rule: &RoutingRule| {
            let weights = rule.weights.iter();
            weights
                .map(|(name, weight)| (name.clone(), weight.0))
                .collect()
        };
        let rules = set.rules.iter();
        RoutesView {
            number: set.number.0,
            rules: rules.map(|(at, rule)| (*at, weights(rule))).collect(),
        }
    }
}

impl Report for RoutesView {
    fn text(&self) -> String {
        let rows = self.rules.iter().flat_map(|(address, weights)| {
            let rows = weights.iter();
            rows.map(|(name, weight)| [address.to_string(), name.to_string(), weight.to_string()])
        });
        let table = table(&["ADDRESS", "SERVICE", "PART"], rows);
        format!("set {}\n{table}", self.number)
    }
}

pub async fn run(cx: &Context<'_>, command: &RoutesCommand) -> Result<Exit> {
    match command {
        RoutesCommand::Show => show_routes(cx).await,
        RoutesCommand::Set {
            number,
            rules,
            flags,
        } => {
            let mut command_args = command_args!["routes", "set", number];
            for rule in rules {
                command_args.extend(command_args!["--rule", rule]);
            }
            let submission = Submission {
                change: Change::ReplaceRoutes(Arc::new(routing_set(*number, rules))),
                flags,
                // Routing sets are ordered by number, not by revision.
                base: flags.base.unwrap_or(Revision(0)),
                command_args,
            };
            Ok(cx.submit_and_show(submission).await)
        }
    }
}

async fn show_routes(cx: &Context<'_>) -> Result<Exit> {
    let QueryReply::Routes(set) = cx.query(&Query::Routes).await? else {
        return Err(Error::UnexpectedReply);
    };
    let empty = RoutingSet::default();
    cx.show_result(&RoutesView::from(set.as_deref().unwrap_or(&empty)))
}

/// Merges the arguments of one address into a rule with a weight for each service.
fn routing_set(number: RoutingSetNumber, rules: &[RuleArg]) -> RoutingSet {
    let mut set = RoutingSet {
        number,
        ..RoutingSet::default()
    };
    let mut weights: BTreeMap<SocketAddr, BTreeMap<ServiceName, RouteWeight>> = BTreeMap::new();
    for rule in rules {
        let weights = weights.entry(rule.address).or_default();
        weights.insert(rule.service.clone(), RouteWeight(rule.weight));
    }
    let rule = |(address, weights): (_, BTreeMap<_, _>)| {
        let weights = weights.into();
        (
            address,
            RoutingRule {
                weights,
                ..RoutingRule::default()
            },
        )
    };
    set.rules = weights.into_iter().map(rule).collect();
    set
}
