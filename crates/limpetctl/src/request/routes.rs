//! Routing sets: which services take the flows to an address.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Serialize;
use types::{
    Change, Revision, RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber, ServiceName,
};
use wire::request::{Query, QueryReply};

use super::{Context, change::Ask, resend::words};
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
        let parts = |rule: &RoutingRule| {
            let parts = rule.weights.iter();
            parts.map(|(name, part)| (name.clone(), part.0)).collect()
        };
        let rules = set.rules.iter();
        RoutesView {
            number: set.number.0,
            rules: rules.map(|(at, rule)| (*at, parts(rule))).collect(),
        }
    }
}

impl Report for RoutesView {
    fn text(&self) -> String {
        let rows = self.rules.iter().flat_map(|(address, parts)| {
            let rows = parts.iter();
            rows.map(|(name, part)| [address.to_string(), name.to_string(), part.to_string()])
        });
        let table = table(&["ADDRESS", "SERVICE", "PART"], rows);
        format!("set {}\n{table}", self.number)
    }
}

pub async fn run(cx: &Context<'_>, command: &RoutesCommand) -> Result<Exit> {
    match command {
        RoutesCommand::Show => show(cx).await,
        RoutesCommand::Set {
            number,
            rules,
            flags,
        } => {
            let mut words = words!["routes", "set", number];
            for rule in rules {
                words.extend(words!["--rule", rule]);
            }
            let ask = Ask {
                change: Change::ReplaceRoutes(Box::new(routing_set(*number, rules))),
                flags,
                // Sets are ordered by their numbers, not by revisions.
                base: flags.base.unwrap_or(Revision(0)),
                words,
            };
            Ok(cx.change(ask).await)
        }
    }
}

async fn show(cx: &Context<'_>) -> Result<Exit> {
    let QueryReply::Routes(set) = cx.query(&Query::Routes).await? else {
        return Err(Error::Mismatch);
    };
    let none = RoutingSet::default();
    cx.show(&RoutesView::from(set.as_deref().unwrap_or(&none)))
}

/// Several rules of one address make one with a part for each service.
fn routing_set(number: RoutingSetNumber, rules: &[RuleArg]) -> RoutingSet {
    let mut set = RoutingSet {
        number,
        ..RoutingSet::default()
    };
    for rule in rules {
        let parts = &mut set.rules.entry(rule.address).or_default().weights;
        parts.insert(rule.service.clone(), RouteWeight(rule.part));
    }
    set
}
