//! The operator who changes the configuration.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use client::Operator;
use tokio::sync::watch;
use types::{
    Answer, Change, ChangeId, ChangeRequest, CidKey, ClassName, Connections, Revision, Service,
    ServiceName, Slots, Target,
};
use wire::request::{ChangeReply, Query, QueryReply};

use super::site::{SERVICE, holds_by};

/// Slots of each upstream; a change adds up to 4.
const CARRY: u32 = 16;

/// Pause between two changes.
const PAUSE: Duration = Duration::from_secs(2);

/// Time for a change to get its final answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// Changes between adding the new key and activating it. Both come once, since
/// agents renew ids only every few minutes.
const ADD_KEY_AT: u64 = 5;
const ACTIVATE_KEY_AT: u64 = 12;

/// What came of the changes.
#[derive(Debug, Default)]
pub struct Outcome {
    /// Changes that were accepted.
    pub accepted: u64,
    /// Changes that were refused or lost against another.
    pub refused: u64,
    /// Changes without a final answer.
    pub unknown: u64,
    /// Accepted changes that the configuration no longer has, or that got
    /// another answer later.
    pub lost: u64,
    /// What was lost.
    pub details: Vec<String>,
}

/// Makes changes and remembers what was accepted.
pub struct Operations {
    operator: Operator,
    outcome: Outcome,
    accepted: BTreeMap<ChangeId, Revision>,
    /// Last accepted target and its revision.
    last_target: Option<(Revision, Slots)>,
}

impl Operations {
    /// Creates the service. `false` if it does not get upstreams in time.
    pub async fn prepare(operator: Operator, service: std::net::SocketAddr) -> Option<Operations> {
        let mut operations = Operations {
            operator,
            outcome: Outcome::default(),
            accepted: BTreeMap::new(),
            last_target: None,
        };
        let create = Change::CreateService {
            name: service_name(),
            address: service,
        };
        operations.change(Revision(0), create).await;
        operations.set_target(0).await;
        let deadline = Instant::now() + PATIENCE;
        let upstreams = usize::from(super::site::UPSTREAMS);
        let operator = operations.operator.clone();
        let ready = async || shared(&operator).await >= upstreams;
        holds_by(deadline, ready).await.then_some(operations)
    }

    /// Makes changes until `stop` is set, and checks them.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> Outcome {
        let mut n = 0;
        while !*stop.borrow() {
            n += 1;
            match n {
                ADD_KEY_AT => self.add_key().await,
                ACTIVATE_KEY_AT => self.change_keys(Change::ActivateKey).await,
                _ => self.set_target(n).await,
            }
            sleep(PAUSE).await;
        }
        self.check().await;
        self.outcome
    }

    async fn change(&mut self, base: Revision, change: Change) -> Option<Revision> {
        let req = ChangeRequest {
            id: ChangeId::generate(),
            author: "soak".parse().expect("name"),
            base,
            change,
        };
        let reply = self.operator.change(&req, Instant::now() + PATIENCE).await;
        match &reply {
            ChangeReply::Final(Answer::Accepted(revision)) => {
                self.outcome.accepted += 1;
                self.accepted.insert(req.id, *revision);
                let again = self.operator.change(&req, Instant::now() + PATIENCE).await;
                if matches!(&again, ChangeReply::Final(_)) && again != reply {
                    self.lose(format!("{} was {reply:?}, then {again:?}", req.id));
                }
                return Some(*revision);
            }
            ChangeReply::Final(_) => self.outcome.refused += 1,
            _ => self.outcome.unknown += 1,
        }
        None
    }

    async fn set_target(&mut self, n: u64) {
        let Some(service) = self.service().await else {
            return;
        };
        let carry = Slots(CARRY + u32::try_from(n % 5).unwrap_or_default());
        let change = Change::SetTarget {
            service: service_name(),
            class: ClassName::default(),
            target: Target {
                carry,
                connections: Connections(2000),
                ..Target::default()
            },
        };
        if let Some(revision) = self.change(service.revision, change).await {
            self.last_target = Some((revision, carry));
        }
    }

    async fn add_key(&mut self) {
        let Some(keys) = self.keys().await else {
            return;
        };
        let key = CidKey {
            generation: keys.current.next(),
            secret: rand::random(),
        };
        self.change_keys(Change::AddKey { key }).await;
    }

    async fn change_keys(&mut self, change: Change) {
        if let Some(keys) = self.keys().await {
            self.change(keys.revision, change).await;
        }
    }

    async fn query(&self, query: Query) -> Option<QueryReply> {
        let deadline = Instant::now() + PATIENCE;
        self.operator
            .query("/v1/query", &query, deadline)
            .await
            .ok()
    }

    async fn service(&self) -> Option<Service> {
        let name = service_name();
        match self.query(Query::Service(name)).await {
            Some(QueryReply::Service(service)) => service,
            _ => None,
        }
    }

    async fn keys(&self) -> Option<wire::request::KeysReport> {
        match self.query(Query::Keys).await {
            Some(QueryReply::Keys(keys)) => keys,
            _ => None,
        }
    }

    /// Compares the configuration and the audit trail with what was accepted.
    async fn check(&mut self) {
        let service = self.service().await;
        let limit = 10_000;
        let Some(QueryReply::Audit(records)) = self.query(Query::Audit { limit }).await else {
            return self.lose("the control group does not answer at the end".into());
        };
        for (id, revision) in self.accepted.clone() {
            let expected = Answer::Accepted(revision);
            if !records.iter().any(|r| r.id == id && r.answer == expected) {
                self.lose(format!("{id} is not in the audit trail as {expected:?}"));
            }
        }
        let Some((revision, carry)) = self.last_target else {
            return;
        };
        let target = service
            .as_ref()
            .and_then(|s| s.targets.get(&ClassName::default()));
        let carries = target.is_some_and(|target| target.carry == carry);
        let reverted = service.as_ref().is_none_or(|s| s.revision < revision);
        // A change without an answer may have been made after the last one.
        if reverted || (!carries && self.outcome.unknown == 0) {
            self.lose(format!(
                "the target of {revision} is not in force: {service:?}"
            ));
        }
    }

    fn lose(&mut self, detail: String) {
        self.outcome.lost += 1;
        self.outcome.details.push(detail);
    }
}

fn service_name() -> ServiceName {
    SERVICE.parse().expect("a valid name")
}

/// Upstreams that get new flows.
async fn shared(operator: &Operator) -> usize {
    let deadline = Instant::now() + PATIENCE;
    match operator.query("/v1/query", &Query::Status, deadline).await {
        Ok(QueryReply::Status(status)) => {
            let upstreams = status.services.iter().flat_map(|s| &s.upstreams);
            upstreams.filter(|upstream| upstream.share.0 > 0).count()
        }
        _ => 0,
    }
}
