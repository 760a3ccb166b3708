//! Services and their targets.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::Serialize;
use types::{HedgeBudget, Service, Target};

use crate::process::{Report, table};

/// A service and its targets.
#[derive(Debug, Serialize)]
pub struct ServiceView {
    pub name: String,
    pub id: u32,
    pub address: SocketAddr,
    pub revision: u64,
    pub author: String,
    pub targets: BTreeMap<String, TargetView>,
}

/// Target of a class of work.
#[derive(Debug, Serialize)]
pub struct TargetView {
    pub carry: u32,
    pub connections: u32,
    pub leave_within_ms: u128,
    pub path_prefix: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_budget_percent: Option<f64>,
}

/// Every service.
#[derive(Debug, Serialize)]
pub struct ServicesView {
    pub services: Vec<ServiceView>,
}

impl From<&Target> for TargetView {
    fn from(target: &Target) -> Self {
        TargetView {
            carry: target.carry.0,
            connections: target.connections.0,
            leave_within_ms: target.leave_within.as_millis(),
            path_prefix: target.path_prefix.to_string(),
            hedge_budget_percent: target.hedge_budget.map(HedgeBudget::percent),
        }
    }
}

impl From<&Service> for ServiceView {
    fn from(service: &Service) -> Self {
        let target = |(class, t): (&types::ClassName, &Target)| (class.to_string(), t.into());
        ServiceView {
            name: service.name.to_string(),
            id: service.id.0,
            address: service.address,
            revision: service.revision.0,
            author: service.author.to_string(),
            targets: service.targets.iter().map(target).collect(),
        }
    }
}

impl Report for ServiceView {
    fn text(&self) -> String {
        let head = [
            "CLASS",
            "CARRY",
            "CONNECTIONS",
            "LEAVE WITHIN",
            "PATH PREFIX",
        ];
        let targets = self.targets.iter().map(|(class, t)| {
            [
                class.clone(),
                t.carry.to_string(),
                t.connections.to_string(),
                format!("{} ms", t.leave_within_ms),
                t.path_prefix.clone(),
            ]
        });
        let budgets = self.targets.iter().filter_map(|(class, t)| {
            let percent = t.hedge_budget_percent?;
            Some(format!("\nhedge budget of {class}: {percent}%"))
        });
        format!(
            "service {} at {}, revision {} by {}\n\n{}{}",
            self.name,
            self.address,
            self.revision,
            self.author,
            table(&head, targets),
            budgets.collect::<String>()
        )
    }
}

impl Report for ServicesView {
    fn text(&self) -> String {
        let head = ["SERVICE", "ADDRESS", "REVISION", "AUTHOR", "CLASSES"];
        table(
            &head,
            self.services.iter().map(|s| {
                let classes: Vec<_> = s.targets.keys().map(String::as_str).collect();
                [
                    s.name.clone(),
                    s.address.to_string(),
                    s.revision.to_string(),
                    s.author.clone(),
                    classes.join(","),
                ]
            }),
        )
    }
}
