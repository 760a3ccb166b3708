//! Requests, states and random logs for the tests of this crate.
#![allow(dead_code)]

use arbtest::arbitrary::{Result, Unstructured};
use config::ConfigState;
use std::sync::Arc;
use types::{
    Answer, Change, ChangeId, ChangeRequest, CidKey, ClassName, KeyGeneration, Revision,
    RouteWeight, RoutingRule, RoutingSet, RoutingSetNumber, Slots, Target, UnixMillis,
};

/// Log time at the start of a test.
pub const START: UnixMillis = UnixMillis(1_800_000_000_000);

pub const MINUTE: u64 = 60_000;
pub const HOUR: u64 = 60 * MINUTE;

/// A change id with timestamp `at`, unique for each `n`.
pub fn id(at: UnixMillis, n: u64) -> ChangeId {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&n.to_be_bytes());
    let uuid = uuid::Builder::from_unix_timestamp_millis(at.0, &random).into_uuid();
    uuid.to_string().parse().unwrap()
}

pub fn create(name: &str, port: u16) -> Change {
    Change::CreateService {
        name: name.parse().unwrap(),
        address: ([127, 0, 0, 1], port).into(),
    }
}

pub fn delete(name: &str) -> Change {
    let name = name.parse().unwrap();
    Change::DeleteService { name }
}

pub fn set_target(service: &str, class: &str, carry: u32, prefix: &str) -> Change {
    Change::SetTarget {
        service: service.parse().unwrap(),
        class: class.parse().unwrap(),
        target: Target {
            carry: Slots(carry),
            path_prefix: prefix.parse().unwrap(),
            ..Target::default()
        },
    }
}

pub fn delete_target(service: &str, class: &str) -> Change {
    Change::DeleteTarget {
        service: service.parse().unwrap(),
        class: class.parse::<ClassName>().unwrap(),
    }
}

pub fn drain(host: &str, drain: bool) -> Change {
    let host = host.parse().unwrap();
    Change::SetDrain { host, drain }
}

pub fn evacuate(data_centre: &str, evacuated: bool) -> Change {
    Change::SetEvacuation {
        data_centre: data_centre.parse().unwrap(),
        evacuated,
    }
}

pub fn add_key(generation: u8) -> Change {
    let key = CidKey {
        generation: KeyGeneration(generation),
        secret: [generation; 16],
    };
    Change::AddKey { key }
}

/// A routing set with one rule, in which `part` is the part of the only service.
pub fn replace_routes(number: u64, service: &str, part: u32) -> Change {
    let rule = RoutingRule {
        weights: [(service.parse().unwrap(), RouteWeight(part))].into(),
        ..RoutingRule::default()
    };
    Change::ReplaceRoutes(Arc::new(RoutingSet {
        number: RoutingSetNumber(number),
        rules: [(([198, 18, 0, 1], 443).into(), rule)].into(),
        ..RoutingSet::default()
    }))
}

/// A state with its log: each request is applied as the next entry.
pub struct Log {
    pub state: ConfigState,
    pub now: UnixMillis,
    next_index: u64,
}

impl Default for Log {
    fn default() -> Self {
        Log {
            state: ConfigState::default(),
            now: START,
            next_index: 1,
        }
    }
}

impl Log {
    pub fn request(&self, author: &str, base: u64, change: Change) -> ChangeRequest {
        ChangeRequest {
            id: id(self.now, self.next_index),
            author: author.parse().unwrap(),
            base: Revision(base),
            change,
        }
    }

    /// Applies `req` as the next entry.
    pub fn apply(&mut self, req: &ChangeRequest) -> Answer {
        let index = Revision(self.next_index);
        self.next_index += 1;
        self.state.apply(index, self.now, req)
    }

    /// Applies a new request as the next entry.
    pub fn apply_new(&mut self, author: &str, base: u64, change: Change) -> Answer {
        let req = self.request(author, base, change);
        self.apply(&req)
    }

    pub fn advance_time(&mut self, millis: u64) {
        self.now.0 += millis;
    }
}

pub fn snapshot(state: &ConfigState) -> Vec<u8> {
    let mut bytes = Vec::new();
    state.encode(&mut bytes).unwrap();
    bytes
}

/// An entry of a random log.
pub type Entry = (Revision, UnixMillis, ChangeRequest);

/// A random log over few objects, with conflicting bases, retries, reused ids
/// and timestamps that decrease or jump.
pub fn random_log(u: &mut Unstructured) -> Result<Vec<Entry>> {
    let mut log: Vec<Entry> = Vec::new();
    let mut state = ConfigState::default();
    let mut now = START;
    for index in 1..=u.int_in_range(1..=60)? {
        now.0 = (now.0 + u.int_in_range(0..=30 * MINUTE)?) - u.int_in_range(0..=5 * MINUTE)?;
        let index = Revision(index * 2);
        let req = random_request(u, &log, &state, now)?;
        state.apply(index, now, &req);
        log.push((index, now, req));
    }
    Ok(log)
}

fn random_request(
    u: &mut Unstructured,
    log: &[Entry],
    state: &ConfigState,
    now: UnixMillis,
) -> Result<ChangeRequest> {
    let change = random_change(u)?;
    let created = UnixMillis(now.0 - u.int_in_range(0..=HOUR)?);
    let new = ChangeRequest {
        id: id(created, state.last_applied().0),
        author: u.choose(&["ana", "boris"])?.parse().unwrap(),
        base: if u.ratio(3, 4)? {
            current_revision(state, &change)
        } else {
            Revision(2 * u.int_in_range(0..=60)?)
        },
        change,
    };
    if log.is_empty() || u.ratio(3, 4)? {
        return Ok(new);
    }
    let previous = &u.choose(log)?.2;
    let id = previous.id;
    Ok(if u.arbitrary()? {
        previous.clone()
    } else {
        ChangeRequest { id, ..new }
    })
}

/// Current revision of the object of a change; 0 if it does not exist.
fn current_revision(state: &ConfigState, change: &Change) -> Revision {
    let revision = match change {
        Change::CreateService { .. } | Change::NoteGroup { .. } | Change::ReplaceRoutes(_) => None,
        Change::DeleteService { name }
        | Change::SetTarget { service: name, .. }
        | Change::DeleteTarget { service: name, .. } => state.service(name).map(|s| s.revision),
        Change::SetDrain { host, .. } => state.drains().get(host).map(|m| m.revision),
        Change::SetEvacuation { data_centre, .. } => {
            state.evacuations().get(data_centre).map(|m| m.revision)
        }
        Change::AddKey { .. } | Change::ActivateKey => state.keys().map(|k| k.revision),
    };
    revision.unwrap_or_default()
}

fn random_change(u: &mut Unstructured) -> Result<Change> {
    let name = *u.choose(&["a", "b"])?;
    Ok(match u.int_in_range(0..=8)? {
        0 => create(name, u.int_in_range(1..=2)?),
        1 => delete(name),
        2 => set_target(name, u.choose(&["x", "y"])?, u.int_in_range(0..=2)?, "/"),
        3 => delete_target(name, u.choose(&["x", "y"])?),
        4 => drain(name, u.arbitrary()?),
        5 => add_key(u.int_in_range(0..=3)?),
        6 => replace_routes(u.int_in_range(0..=9)?, name, u.int_in_range(0..=2)?),
        7 => evacuate(name, u.arbitrary()?),
        _ => Change::ActivateKey,
    })
}
