//! Evacuation of data centres, for front ends of a control host.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use config::EvacuationMark;
use tokio::{sync::oneshot, time::timeout_at};
use types::{Answer, Change, ChangeId, ChangeRequest, DataCentre, OperatorName, ServiceName};
use wire::request::{ChangeReply, QueryReply};

use super::{leader::RETRY_DELAY, replica::ReplicaHandle};
use crate::request::{ChangeOutcome, EncodedChange, ReadTarget, UnservedServicesRequest};

impl ReplicaHandle {
    /// Starts or ends the evacuation of a data centre. Works on any member. It may be
    /// requested again after a lost reply.
    ///
    /// Each attempt is based on the last request that this host knows of, so that one
    /// that is delayed on the network does not undo a later request. After a conflict,
    /// the next attempt is based on the request that came first: until this call
    /// returns, it takes precedence.
    pub async fn set_evacuation(
        &self,
        author: OperatorName,
        data_centre: DataCentre,
        evacuated: bool,
        deadline: Instant,
    ) -> ChangeOutcome {
        let timer = self.metrics.change_seconds.start_timer();
        let mut base = self.placement.borrow().requested_at(&data_centre);
        let mut outcome_unknown = false;
        let outcome = loop {
            let req = ChangeRequest {
                id: ChangeId::generate(),
                author: author.clone(),
                base,
                change: Change::SetEvacuation {
                    data_centre: data_centre.clone(),
                    evacuated,
                },
            };
            let Ok(change) = EncodedChange::encode(&req) else {
                // Not expected: all changes can be encoded.
                break ChangeOutcome::Unavailable;
            };
            match self.leader.change(&change, deadline).await {
                ChangeReply::Final(Answer::Accepted(_)) => break ChangeOutcome::Accepted,
                ChangeReply::Final(Answer::Refused(refusal)) => {
                    break ChangeOutcome::Refused(refusal);
                }
                ChangeReply::Final(Answer::Conflict(conflict)) => {
                    base = conflict.winner;
                    if Instant::now() < deadline {
                        continue;
                    }
                }
                ChangeReply::Unknown => outcome_unknown = true,
                ChangeReply::NotLeader { .. } | ChangeReply::Unavailable => {}
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                break if outcome_unknown {
                    ChangeOutcome::Unknown
                } else {
                    ChangeOutcome::Unavailable
                };
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        };
        timer.observe_duration();
        outcome
    }

    /// Reads the evacuation marks, confirmed by a quorum after this call began. Returns
    /// `None` if no quorum confirmed the read before the deadline.
    pub async fn read_evacuations(
        &self,
        deadline: Instant,
    ) -> Option<BTreeMap<DataCentre, EvacuationMark>> {
        loop {
            match self.leader.read(ReadTarget::Evacuations, deadline).await {
                Some(QueryReply::Evacuations(marks)) => return Some(marks),
                _ if Instant::now() + RETRY_DELAY >= deadline => return None,
                _ => actix_rt::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// The services that have agents, but none outside `data_centre` and the data
    /// centres that are evacuated already. Returns none if this host does not know
    /// before the deadline.
    pub async fn services_without_upstreams(
        &self,
        data_centre: &DataCentre,
        deadline: Instant,
    ) -> BTreeSet<ServiceName> {
        let mut evacuated = self.placement.borrow().evacuated().clone();
        evacuated.insert(data_centre.clone());
        let (reply, services) = oneshot::channel();
        let request = UnservedServicesRequest { evacuated, reply };
        if self.unserved_services.try_send(request).is_err() {
            return BTreeSet::new();
        }
        let services = timeout_at(deadline.into(), services).await;
        services.ok().and_then(Result::ok).unwrap_or_default()
    }
}
