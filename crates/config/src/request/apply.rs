//! Application of a change to the configuration.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use types::{
    Answer, Change, ChangeRequest, CidKey, ClassName, Conflict, DataCentre, HostName,
    KeyGeneration, KeySet, OperatorName, Refusal, Revision, RoutingSet, Service, ServiceName,
    Target, UnixMillis,
};

use super::{
    audit::AuditRecord,
    first_answers::{check_id_time, request_digest},
};
use crate::version::{
    ConfigState, DrainMark, EvacuationMark, KeyRotationState, MAX_EVACUATION_MARKS,
    ServiceTombstone, VersionedObjects,
};

/// Log time for which a superseded key must stay before it may be replaced.
///
/// Agents renew connection ids at least every 10 minutes; removing a key sooner
/// breaks flows that still use its ids. Twice that time allows for slow
/// distribution of keys and for callers that are late to switch to a new id.
pub const KEY_RETIREMENT_DELAY: Duration = Duration::from_mins(20);

/// Reason for which a change is not accepted.
enum Rejection {
    Conflict(Conflict),
    Refused(Refusal),
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Rejection::Refused(refusal)
    }
}

impl From<Rejection> for Answer {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::Conflict(conflict) => Answer::Conflict(conflict),
            Rejection::Refused(refusal) => Answer::Refused(refusal),
        }
    }
}

/// Log position, author and base revision of a change.
struct ChangeContext<'a> {
    index: Revision,
    log_time: UnixMillis,
    author: &'a OperatorName,
    base: Revision,
}

impl ChangeContext<'_> {
    /// Checks that the change is based on the current revision of the object.
    /// `author` made that revision and is named in the conflict.
    fn check_base(&self, current: Revision, author: &OperatorName) -> Result<(), Rejection> {
        if self.base == current {
            return Ok(());
        }
        Err(Rejection::Conflict(Conflict {
            winner: current,
            author: author.clone(),
        }))
    }

    /// Checks that a change of an object that does not exist has base 0.
    fn check_no_base(&self) -> Result<(), Rejection> {
        if self.base == Revision(0) {
            return Ok(());
        }
        Err(Refusal::UnknownBase(self.base).into())
    }
}

impl ConfigState {
    /// Applies the change of the log entry `index`, to which the leader
    /// assigned the timestamp `at`, and returns its final answer.
    ///
    /// Indexes must increase from call to call; gaps are allowed. After a
    /// restart, replay must resume after
    /// [`last_applied`](ConfigState::last_applied): an entry that is applied
    /// again is recorded as a retry. Timestamps may decrease, as the clock of
    /// a new leader may be behind: log time is the highest timestamp so far.
    /// The cost is logarithmic in the size of the configuration, plus one clone
    /// of the changed object.
    pub fn apply(&mut self, index: Revision, at: UnixMillis, req: &ChangeRequest) -> Answer {
        self.advance_to(index, at);
        let digest = request_digest(req);
        let now = self.log_time();
        let (answer, resend) = match self.first_answers.get(req.id, digest) {
            Some(first) => first,
            None => (self.apply_new(index, req, digest), false),
        };
        self.append_audit(AuditRecord::new(index, now, req, answer.clone(), resend));
        answer
    }

    /// Applies a change whose id has no retained answer.
    fn apply_new(&mut self, index: Revision, req: &ChangeRequest, digest: u64) -> Answer {
        let now = self.log_time();
        let answer = match check_id_time(req.id, now) {
            // The answer need not be stored: log time never decreases, so the
            // id stays expired.
            Err(expired @ Refusal::IdExpired(_)) => return Answer::Refused(expired),
            Err(refusal) => Answer::Refused(refusal),
            Ok(()) => {
                let cx = ChangeContext {
                    index,
                    log_time: now,
                    author: &req.author,
                    base: req.base,
                };
                match self.objects.apply_change(&cx, &req.change) {
                    Ok(()) => Answer::Accepted(index),
                    Err(rejection) => rejection.into(),
                }
            }
        };
        self.first_answers
            .insert(req.id, digest, now, answer.clone());
        answer
    }
}

impl VersionedObjects {
    fn apply_change(&mut self, cx: &ChangeContext, change: &Change) -> Result<(), Rejection> {
        match change {
            Change::CreateService { name, address } => self.create_service(cx, name, *address),
            Change::DeleteService { name } => self.delete_service(cx, name),
            Change::SetTarget {
                service,
                class,
                target,
            } => self.set_target(cx, service, class, target),
            Change::DeleteTarget { service, class } => self.delete_target(cx, service, class),
            Change::SetDrain { host, drain } => self.set_drain(cx, host, *drain),
            Change::SetEvacuation {
                data_centre,
                evacuated,
            } => self.set_evacuation(cx, data_centre, *evacuated),
            Change::AddKey { key } => self.add_key(cx, key),
            Change::ActivateKey => self.activate_key(cx),
            Change::ReplaceRoutes(set) => self.replace_routes(cx, set),
            Change::NoteGroup { refused, .. } => match refused {
                Some(refusal) => Err(Refusal::Group(*refusal).into()),
                None => Ok(()),
            },
        }
    }

    fn create_service(
        &mut self,
        cx: &ChangeContext,
        name: &ServiceName,
        address: SocketAddr,
    ) -> Result<(), Rejection> {
        if let Some(present) = self.service(name) {
            return Err(Rejection::Conflict(Conflict {
                winner: present.revision,
                author: present.author.clone(),
            }));
        }
        cx.check_no_base()?;
        if let Some(owner) = self.service_at(address) {
            return Err(Refusal::AddressInUse(address, owner.name.clone()).into());
        }
        let id = self.allocate_service_id();
        self.put_service(Service {
            id,
            name: name.clone(),
            address,
            revision: cx.index,
            author: cx.author.clone(),
            targets: BTreeMap::new(),
        });
        Ok(())
    }

    /// Returns the rejection of a change to a service that does not exist: a
    /// conflict with the removal if the operator had read the service before it
    /// and the removal is still retained.
    fn missing_service(&self, cx: &ChangeContext, name: &ServiceName) -> Rejection {
        match self.tombstone(name) {
            Some((revision, tombstone)) if cx.base != Revision(0) => {
                Rejection::Conflict(Conflict {
                    winner: revision,
                    author: tombstone.author.clone(),
                })
            }
            _ => Refusal::UnknownService(name.clone()).into(),
        }
    }

    /// Returns the service if its current revision is the base of the change.
    fn service_at_base(
        &self,
        cx: &ChangeContext,
        name: &ServiceName,
    ) -> Result<Service, Rejection> {
        let Some(service) = self.service(name) else {
            return Err(self.missing_service(cx, name));
        };
        cx.check_base(service.revision, &service.author)?;
        Ok(service.clone())
    }

    fn delete_service(&mut self, cx: &ChangeContext, name: &ServiceName) -> Result<(), Rejection> {
        let service = self.service_at_base(cx, name)?;
        self.remove_service(
            &service,
            cx.index,
            ServiceTombstone {
                id: service.id,
                name: name.clone(),
                author: cx.author.clone(),
            },
        );
        Ok(())
    }

    fn set_target(
        &mut self,
        cx: &ChangeContext,
        name: &ServiceName,
        class: &ClassName,
        target: &Target,
    ) -> Result<(), Rejection> {
        let mut service = self.service_at_base(cx, name)?;
        if target.carry.0 == 0 || target.connections.0 == 0 {
            return Err(Refusal::EmptyTarget.into());
        }
        let uses_same_prefix = |(other, t): &(&ClassName, &Target)| {
            *other != class && t.path_prefix == target.path_prefix
        };
        if let Some((other, _)) = service.targets.iter().find(uses_same_prefix) {
            return Err(Refusal::PrefixInUse(other.clone()).into());
        }
        service.targets.insert(class.clone(), target.clone());
        self.update_service(cx, service);
        Ok(())
    }

    fn delete_target(
        &mut self,
        cx: &ChangeContext,
        name: &ServiceName,
        class: &ClassName,
    ) -> Result<(), Rejection> {
        let mut service = self.service_at_base(cx, name)?;
        if service.targets.remove(class).is_none() {
            return Err(Refusal::UnknownClass(name.clone(), class.clone()).into());
        }
        self.update_service(cx, service);
        Ok(())
    }

    /// Routing sets are ordered by their own numbers instead of a base
    /// revision. A set whose number is not higher than the current one is
    /// accepted without effect, because it is superseded.
    fn replace_routes(
        &mut self,
        cx: &ChangeContext,
        set: &Arc<RoutingSet>,
    ) -> Result<(), Rejection> {
        set.check()?;
        if self
            .routes()
            .is_none_or(|current| current.number < set.number)
        {
            self.put_routes(set.clone(), cx.index);
        }
        Ok(())
    }

    fn update_service(&mut self, cx: &ChangeContext, service: Service) {
        self.put_service(Service {
            revision: cx.index,
            author: cx.author.clone(),
            ..service
        });
    }

    fn set_drain(
        &mut self,
        cx: &ChangeContext,
        host: &HostName,
        drain: bool,
    ) -> Result<(), Rejection> {
        match self.drain_mark(host) {
            Some(mark) => cx.check_base(mark.revision, &mark.author)?,
            None => cx.check_no_base()?,
        }
        self.put_drain(
            host.clone(),
            DrainMark {
                drain,
                revision: cx.index,
                author: cx.author.clone(),
            },
        );
        Ok(())
    }

    /// A request that repeats the state is accepted whatever its base, and renews the
    /// revision of the mark, so that a delayed copy of an earlier request for the
    /// opposite conflicts with it.
    fn set_evacuation(
        &mut self,
        cx: &ChangeContext,
        data_centre: &DataCentre,
        evacuated: bool,
    ) -> Result<(), Rejection> {
        if let Some(mark) = self.evacuations().get(data_centre)
            && mark.evacuated != evacuated
            && mark.revision > cx.base
        {
            return Err(Rejection::Conflict(Conflict {
                winner: mark.revision,
                author: mark.author.clone(),
            }));
        }
        let mark = EvacuationMark {
            evacuated,
            revision: cx.index,
            author: cx.author.clone(),
        };
        if self.put_evacuation(data_centre.clone(), mark) {
            return Ok(());
        }
        Err(Refusal::TooManyEvacuations(MAX_EVACUATION_MARKS).into())
    }

    fn keys_at_base(&self, cx: &ChangeContext) -> Result<Option<KeyRotationState>, Rejection> {
        match self.keys() {
            Some(keys) => cx.check_base(keys.revision, &keys.author)?,
            None => cx.check_no_base()?,
        }
        Ok(self.keys().cloned())
    }

    fn add_key(&mut self, cx: &ChangeContext, key: &CidKey) -> Result<(), Rejection> {
        let keys = match self.keys_at_base(cx)? {
            None if key.generation.0 < KeyGeneration::COUNT => KeyRotationState {
                set: KeySet {
                    current: key.clone(),
                    other: None,
                },
                activated_at: cx.log_time,
                revision: cx.index,
                author: cx.author.clone(),
            },
            Some(keys) if keys.may_add(key, cx.log_time) => KeyRotationState {
                set: KeySet {
                    current: keys.set.current,
                    other: Some(key.clone()),
                },
                revision: cx.index,
                author: cx.author.clone(),
                ..keys
            },
            _ => return Err(Refusal::KeyRotation.into()),
        };
        self.put_keys(keys);
        Ok(())
    }

    fn activate_key(&mut self, cx: &ChangeContext) -> Result<(), Rejection> {
        let keys = self.keys_at_base(cx)?.ok_or(Refusal::KeyRotation)?;
        let Some(pending) = keys.pending().cloned() else {
            return Err(Refusal::KeyRotation.into());
        };
        self.put_keys(KeyRotationState {
            set: KeySet {
                current: pending,
                other: Some(keys.set.current),
            },
            activated_at: cx.log_time,
            revision: cx.index,
            author: cx.author.clone(),
        });
        Ok(())
    }
}
