//! Runs one change against the configuration.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use types::{
    Answer, Change, ChangeRequest, CidKey, ClassName, Conflict, HostName, KeyGeneration, KeySet,
    OperatorName, Refusal, Revision, RoutingRule, RoutingSet, Service, ServiceName, Target,
    UnixMillis,
};

use super::{
    answers::{check_date, digest},
    audit::AuditRecord,
};
use crate::version::{ConfigState, DrainMark, KeyRotationState, Removed, Versions};

/// Time in the log before a key that was superseded may be replaced.
///
/// Agents renew connection ids at least every 10 minutes; a key that goes
/// sooner would break flows that still carry its ids. Twice that time leaves
/// room for slow distribution and for callers that are late to switch to a new id.
pub const KEY_RETIREMENT_DELAY: Duration = Duration::from_mins(20);

/// Why a change was not made.
enum Failure {
    Conflict(Conflict),
    Refused(Refusal),
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Failure::Refused(refusal)
    }
}

impl From<Failure> for Answer {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Conflict(conflict) => Answer::Conflict(conflict),
            Failure::Refused(refusal) => Answer::Refused(refusal),
        }
    }
}

/// Where and by whom a change is made.
struct Entry<'a> {
    index: Revision,
    at: UnixMillis,
    author: &'a OperatorName,
    base: Revision,
}

impl Entry<'_> {
    /// Checks that the operator saw the present revision of the object.
    fn check_base(&self, present: Revision, author: &OperatorName) -> Result<(), Failure> {
        if self.base == present {
            return Ok(());
        }
        Err(Failure::Conflict(Conflict {
            winner: present,
            author: author.clone(),
        }))
    }

    /// Checks that the operator saw no object where there is none.
    fn check_unseen(&self) -> Result<(), Failure> {
        if self.base == Revision(0) {
            return Ok(());
        }
        Err(Refusal::UnknownBase(self.base).into())
    }
}

impl ConfigState {
    /// Runs the change of the log entry `index`, which the leader stamped
    /// with `at`, and returns its final answer.
    ///
    /// Indexes must rise from call to call; gaps are fine. After a restart the
    /// log goes on behind [`last_applied`](ConfigState::last_applied): an entry that is given
    /// again would be recorded as a resend. Stamps may go back: time in the
    /// log is the latest stamp so far. The cost is
    /// logarithmic in the size of the configuration, apart from one clone of
    /// the changed object.
    pub fn apply(&mut self, index: Revision, at: UnixMillis, req: &ChangeRequest) -> Answer {
        self.advance(index, at);
        let digest = digest(req);
        let now = self.log_time();
        let (answer, resend) = match self.answers.first(req.id, digest) {
            Some(first) => first,
            None => (self.run_first(index, req, digest), false),
        };
        self.record(AuditRecord::new(index, now, req, answer.clone(), resend));
        answer
    }

    /// Runs a change whose id was not seen before.
    fn run_first(&mut self, index: Revision, req: &ChangeRequest, digest: u64) -> Answer {
        let now = self.log_time();
        let answer = match check_date(req.id, now) {
            // Not kept: the id stays expired, as time in the log never goes back.
            Err(expired @ Refusal::IdExpired(_)) => return Answer::Refused(expired),
            Err(refusal) => Answer::Refused(refusal),
            Ok(()) => {
                let entry = Entry {
                    index,
                    at: now,
                    author: &req.author,
                    base: req.base,
                };
                match self.versions.run(&entry, &req.change) {
                    Ok(()) => Answer::Accepted(index),
                    Err(failure) => failure.into(),
                }
            }
        };
        self.answers.keep(req.id, digest, now, answer.clone());
        answer
    }
}

impl Versions {
    fn run(&mut self, entry: &Entry, change: &Change) -> Result<(), Failure> {
        match change {
            Change::CreateService { name, address } => self.create(entry, name, *address),
            Change::DeleteService { name } => self.delete(entry, name),
            Change::SetTarget {
                service,
                class,
                target,
            } => self.set_target(entry, service, class, target),
            Change::DeleteTarget { service, class } => self.delete_target(entry, service, class),
            Change::SetDrain { host, drain } => self.set_drain(entry, host, *drain),
            Change::AddKey { key } => self.add_key(entry, key),
            Change::ActivateKey => self.activate_key(entry),
            Change::ReplaceRoutes(set) => self.replace_routes(set),
            Change::NoteGroup { refused, .. } => match refused {
                Some(refusal) => Err(Refusal::Group(*refusal).into()),
                None => Ok(()),
            },
        }
    }

    fn create(
        &mut self,
        entry: &Entry,
        name: &ServiceName,
        address: SocketAddr,
    ) -> Result<(), Failure> {
        if let Some(present) = self.service(name) {
            return Err(Failure::Conflict(Conflict {
                winner: present.revision,
                author: present.author.clone(),
            }));
        }
        entry.check_unseen()?;
        if let Some(owner) = self.service_at(address) {
            return Err(Refusal::AddressInUse(address, owner.name.clone()).into());
        }
        let id = self.new_id();
        self.put_service(Service {
            id,
            name: name.clone(),
            address,
            revision: entry.index,
            author: entry.author.clone(),
            targets: BTreeMap::new(),
        });
        Ok(())
    }

    /// Why a change of a service that does not exist is not made.
    ///
    /// An operator who saw the service before its removal lost a race.
    fn missing(&self, entry: &Entry, name: &ServiceName) -> Failure {
        match self.removal(name) {
            Some((revision, removed)) if entry.base != Revision(0) => Failure::Conflict(Conflict {
                winner: revision,
                author: removed.author.clone(),
            }),
            _ => Refusal::UnknownService(name.clone()).into(),
        }
    }

    /// The service as the operator saw it.
    fn seen(&self, entry: &Entry, name: &ServiceName) -> Result<Service, Failure> {
        let Some(service) = self.service(name) else {
            return Err(self.missing(entry, name));
        };
        entry.check_base(service.revision, &service.author)?;
        Ok(service.clone())
    }

    fn delete(&mut self, entry: &Entry, name: &ServiceName) -> Result<(), Failure> {
        let service = self.seen(entry, name)?;
        self.remove_service(
            &service,
            entry.index,
            Removed {
                id: service.id,
                name: name.clone(),
                author: entry.author.clone(),
            },
        );
        Ok(())
    }

    fn set_target(
        &mut self,
        entry: &Entry,
        name: &ServiceName,
        class: &ClassName,
        target: &Target,
    ) -> Result<(), Failure> {
        let mut service = self.seen(entry, name)?;
        if target.carry.0 == 0 || target.connections.0 == 0 {
            return Err(Refusal::EmptyTarget.into());
        }
        let same_prefix = |(other, t): &(&ClassName, &Target)| {
            *other != class && t.path_prefix == target.path_prefix
        };
        if let Some((other, _)) = service.targets.iter().find(same_prefix) {
            return Err(Refusal::PrefixInUse(other.clone()).into());
        }
        service.targets.insert(class.clone(), target.clone());
        self.change_service(entry, service);
        Ok(())
    }

    fn delete_target(
        &mut self,
        entry: &Entry,
        name: &ServiceName,
        class: &ClassName,
    ) -> Result<(), Failure> {
        let mut service = self.seen(entry, name)?;
        if service.targets.remove(class).is_none() {
            return Err(Refusal::UnknownClass(name.clone(), class.clone()).into());
        }
        self.change_service(entry, service);
        Ok(())
    }

    /// Sets are ordered by their own numbers, not by a base: a set that a
    /// higher one has overtaken needs no answer but that it is settled.
    fn replace_routes(&mut self, set: &RoutingSet) -> Result<(), Failure> {
        let leads_nowhere = |rule: &RoutingRule| rule.weights.values().all(|part| part.0 == 0);
        if let Some((address, _)) = set.rules.iter().find(|(_, rule)| leads_nowhere(rule)) {
            return Err(Refusal::EmptyRule(set.number, *address).into());
        }
        if self.routes().is_none_or(|held| held.number < set.number) {
            self.put_routes(set.clone());
        }
        Ok(())
    }

    fn change_service(&mut self, entry: &Entry, service: Service) {
        self.put_service(Service {
            revision: entry.index,
            author: entry.author.clone(),
            ..service
        });
    }

    fn set_drain(&mut self, entry: &Entry, host: &HostName, drain: bool) -> Result<(), Failure> {
        match self.drain_mark(host) {
            Some(mark) => entry.check_base(mark.revision, &mark.author)?,
            None => entry.check_unseen()?,
        }
        self.put_drain(
            host.clone(),
            DrainMark {
                drain,
                revision: entry.index,
                author: entry.author.clone(),
            },
        );
        Ok(())
    }

    fn seen_keys(&self, entry: &Entry) -> Result<Option<KeyRotationState>, Failure> {
        match self.keys() {
            Some(keys) => entry.check_base(keys.revision, &keys.author)?,
            None => entry.check_unseen()?,
        }
        Ok(self.keys().cloned())
    }

    fn add_key(&mut self, entry: &Entry, key: &CidKey) -> Result<(), Failure> {
        let keys = match self.seen_keys(entry)? {
            None if key.generation.0 < KeyGeneration::COUNT => KeyRotationState {
                set: KeySet {
                    current: key.clone(),
                    other: None,
                },
                activated_at: entry.at,
                revision: entry.index,
                author: entry.author.clone(),
            },
            Some(keys) if keys.accepts(key, entry.at) => KeyRotationState {
                set: KeySet {
                    current: keys.set.current,
                    other: Some(key.clone()),
                },
                revision: entry.index,
                author: entry.author.clone(),
                ..keys
            },
            _ => return Err(Refusal::KeyRotation.into()),
        };
        self.put_keys(keys);
        Ok(())
    }

    fn activate_key(&mut self, entry: &Entry) -> Result<(), Failure> {
        let keys = self.seen_keys(entry)?.ok_or(Refusal::KeyRotation)?;
        let Some(pending) = keys.pending().cloned() else {
            return Err(Refusal::KeyRotation.into());
        };
        self.put_keys(KeyRotationState {
            set: KeySet {
                current: pending,
                other: Some(keys.set.current),
            },
            activated_at: entry.at,
            revision: entry.index,
            author: entry.author.clone(),
        });
        Ok(())
    }
}
