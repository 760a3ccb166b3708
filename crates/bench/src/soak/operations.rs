//! The operator task, which changes the configuration during a run.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use client::OperatorClient;
use tokio::sync::watch;
use types::{
    Answer, Change, ChangeId, ChangeRequest, CidKey, ClassName, Connections, Revision, Service,
    ServiceName, Slots, Target,
};
use wire::request::{ChangeReply, Query, QueryReply};

use super::site::{SERVICE, wait_until};

/// Slots of each upstream in the first target; later targets add up to 4.
const UPSTREAM_SLOTS: u32 = 16;

/// Interval between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Timeout for the final answer to a change and for the reply to a query.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);

/// Numbers of the changes that add a key and activate it. Each is made once,
/// because agents renew connection ids only every few minutes.
const ADD_KEY_AT_CHANGE: u64 = 5;
const ACTIVATE_KEY_AT_CHANGE: u64 = 12;

/// Counts of the outcomes of the changes.
#[derive(Debug, Default)]
pub struct ChangeOutcomes {
    /// Changes that were accepted.
    pub accepted: u64,
    /// Changes that were refused or that conflicted with another one.
    pub refused: u64,
    /// Changes without a final answer.
    pub unknown: u64,
    /// Accepted changes that are missing in the configuration or the audit
    /// trail, or that got another answer later.
    pub lost: u64,
    /// Description of each lost change.
    pub details: Vec<String>,
}

/// Makes changes and keeps the accepted ones for the check at the end.
pub struct Operations {
    operator: OperatorClient,
    outcomes: ChangeOutcomes,
    accepted: BTreeMap<ChangeId, Revision>,
    /// Last accepted target and its revision.
    last_target: Option<(Revision, Slots)>,
}

impl Operations {
    /// Creates the service and waits until its upstreams have a share. `None` if
    /// that takes longer than [`CHANGE_TIMEOUT`].
    pub async fn create_service(
        operator: OperatorClient,
        service: std::net::SocketAddr,
    ) -> Option<Operations> {
        let mut operations = Operations {
            operator,
            outcomes: ChangeOutcomes::default(),
            accepted: BTreeMap::new(),
            last_target: None,
        };
        let create = Change::CreateService {
            name: service_name(),
            address: service,
        };
        operations.change(Revision(0), create).await;
        operations.set_target(0).await;
        let deadline = Instant::now() + CHANGE_TIMEOUT;
        let upstreams = usize::from(super::site::UPSTREAMS);
        let operator = operations.operator.clone();
        let ready = async || upstreams_with_share(&operator).await >= upstreams;
        wait_until(deadline, ready).await.then_some(operations)
    }

    /// Makes changes until `stop` is set, then checks the accepted ones.
    pub async fn run(mut self, stop: watch::Receiver<bool>) -> ChangeOutcomes {
        let mut n = 0;
        while !*stop.borrow() {
            n += 1;
            match n {
                ADD_KEY_AT_CHANGE => self.add_key().await,
                ACTIVATE_KEY_AT_CHANGE => self.change_keys(Change::ActivateKey).await,
                _ => self.set_target(n).await,
            }
            sleep(CHANGE_INTERVAL).await;
        }
        self.check_accepted_changes().await;
        self.outcomes
    }

    async fn change(&mut self, base: Revision, change: Change) -> Option<Revision> {
        let req = ChangeRequest {
            id: ChangeId::generate(),
            author: "soak".parse().expect("name"),
            base,
            change,
        };
        let reply = self
            .operator
            .change(&req, Instant::now() + CHANGE_TIMEOUT)
            .await;
        match &reply {
            ChangeReply::Final(Answer::Accepted(revision)) => {
                self.outcomes.accepted += 1;
                self.accepted.insert(req.id, *revision);
                let again = self
                    .operator
                    .change(&req, Instant::now() + CHANGE_TIMEOUT)
                    .await;
                if matches!(&again, ChangeReply::Final(_)) && again != reply {
                    self.record_lost_change(format!(
                        "{} was answered {reply:?}, then {again:?}",
                        req.id
                    ));
                }
                return Some(*revision);
            }
            ChangeReply::Final(_) => self.outcomes.refused += 1,
            _ => self.outcomes.unknown += 1,
        }
        None
    }

    async fn set_target(&mut self, n: u64) {
        let Some(service) = self.service().await else {
            return;
        };
        let carry = Slots(UPSTREAM_SLOTS + u32::try_from(n % 5).unwrap_or_default());
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
        let deadline = Instant::now() + CHANGE_TIMEOUT;
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

    /// Compares the configuration and the audit trail with the accepted changes.
    async fn check_accepted_changes(&mut self) {
        let service = self.service().await;
        let limit = 10_000;
        let Some(QueryReply::Audit(records)) = self.query(Query::Audit { limit }).await else {
            return self.record_lost_change(
                "the control group did not answer the audit query at the end of the run".into(),
            );
        };
        for (id, revision) in self.accepted.clone() {
            let expected = Answer::Accepted(revision);
            if !records.iter().any(|r| r.id == id && r.answer == expected) {
                self.record_lost_change(format!("{id} is not in the audit trail as {expected:?}"));
            }
        }
        let Some((revision, carry)) = self.last_target else {
            return;
        };
        let target = service
            .as_ref()
            .and_then(|s| s.targets.get(&ClassName::default()));
        let target_matches = target.is_some_and(|target| target.carry == carry);
        let reverted = service.as_ref().is_none_or(|s| s.revision < revision);
        // A change without an answer may have been applied after the last
        // accepted one.
        if reverted || (!target_matches && self.outcomes.unknown == 0) {
            self.record_lost_change(format!(
                "the target of {revision} is not in force: {service:?}"
            ));
        }
    }

    fn record_lost_change(&mut self, detail: String) {
        self.outcomes.lost += 1;
        self.outcomes.details.push(detail);
    }
}

fn service_name() -> ServiceName {
    SERVICE.parse().expect("a valid name")
}

/// Number of upstreams with a share above zero, that is, those that get new
/// flows.
async fn upstreams_with_share(operator: &OperatorClient) -> usize {
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    match operator.query("/v1/query", &Query::Status, deadline).await {
        Ok(QueryReply::Status(status)) => {
            let upstreams = status.services.iter().flat_map(|s| &s.upstreams);
            upstreams.filter(|upstream| upstream.share.0 > 0).count()
        }
        _ => 0,
    }
}
