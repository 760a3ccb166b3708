//! One run of an upstream's agent.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{Announcement, ClassName, HostName, Member, Share, Slots, UpstreamState};

use super::Settings;
use crate::version::{LoadLevel, Ramp, Standing, wished_level};

/// An upstream that announced itself.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) host: HostName,
    /// The last announcement.
    pub(crate) ann: Announcement,
    /// When the last announcement came.
    heard: Instant,
    /// End of the lease.
    pub(crate) lease_until: Instant,
    /// Whether an operator wants the host's upstream to leave.
    pub(crate) drained: bool,
    /// `None` until the upstream is listed.
    ramp: Option<Ramp>,
    load: LoadLevel,
    /// When the registry looks at the upstream again; at most `due`.
    pub(crate) wake: Option<Instant>,
}

impl Upstream {
    pub(crate) fn new(
        now: Instant,
        host: &HostName,
        ann: &Announcement,
        settings: &Settings,
    ) -> Self {
        Upstream {
            host: host.clone(),
            ann: ann.clone(),
            heard: now,
            lease_until: now + settings.lease,
            drained: false,
            ramp: None,
            load: LoadLevel::default(),
            wake: None,
        }
    }

    /// Takes a further announcement. Returns whether the list of members may
    /// change because of it.
    ///
    /// `has_share` says that the upstream has a share at present, which it
    /// keeps when it recovers from a failure in a frozen service: taking it
    /// away would push the work onto the few that did not fail.
    pub(crate) fn renew(
        &mut self,
        now: Instant,
        host: &HostName,
        ann: &Announcement,
        has_share: bool,
        settings: &Settings,
    ) -> bool {
        let listed_as = |a: &Announcement| (a.data_centre.clone(), a.data, a.peer, a.state);
        let changed =
            self.is_lapsed(now) || self.host != *host || listed_as(&self.ann) != listed_as(ann);
        let recovers = (self.ann.state, ann.state) == (UpstreamState::Down, UpstreamState::Ready);
        if recovers && !has_share && self.ramp.is_some() {
            // Cold again. The wait also bounds the versions that an upstream
            // costs that goes up and down all the time.
            let known_at = now + settings.propagation_delay;
            self.ramp = Some(Ramp::start(known_at, Duration::ZERO, settings));
        }
        self.host.clone_from(host);
        self.ann.clone_from(ann);
        self.heard = now;
        self.lease_until = now + settings.lease;
        changed
    }

    /// Takes the loads of the last announcement.
    pub(crate) fn weigh(
        &mut self,
        now: Instant,
        carry: &BTreeMap<ClassName, Slots>,
        settings: &Settings,
    ) {
        let wish = wished_level(&self.ann.loads, carry);
        self.load.report(now, wish, settings.load_hold_time);
    }

    /// Whether the lease is over.
    pub(crate) fn is_lapsed(&self, now: Instant) -> bool {
        self.lease_until <= now
    }

    /// Whether the upstream leaves on purpose.
    pub(crate) fn is_leaving(&self) -> bool {
        self.drained || self.ann.state == UpstreamState::Leaving
    }

    /// Whether the upstream has to go although its service is frozen.
    pub(crate) fn is_gone(&self, now: Instant, settings: &Settings) -> bool {
        let held = self.ramp.is_some() && !self.is_leaving();
        let until = if held {
            settings.lapsed_retention
        } else {
            Duration::ZERO
        };
        self.lease_until + until <= now
    }

    /// Lists the upstream, if it is not yet listed.
    ///
    /// `first_list` says that this is the first publication of a term. Nodes
    /// then know the upstreams of the former leader already, so one that was
    /// ready long enough to be known gets its share at once.
    pub(crate) fn list(&mut self, now: Instant, first_list: bool, settings: &Settings) {
        if self.ramp.is_some() {
            return;
        }
        let age = self.ann.ready_for + (now - self.heard);
        let is_known = first_list && self.ann.ready_for >= settings.propagation_delay;
        let wait = if is_known {
            Duration::ZERO
        } else {
            settings.propagation_delay
        };
        // The age counts only for agents that were ready before: a new one
        // is cold however long it waited to be listed.
        let age = if self.ann.ready_for.is_zero() {
            Duration::ZERO
        } else {
            age + wait
        };
        self.ramp = Some(Ramp::start(now + wait, age, settings));
    }

    /// Forgets that the upstream was listed.
    pub(crate) fn unlist(&mut self) {
        self.ramp = None;
    }

    /// Moves the ramp and the load level on.
    pub(crate) fn advance(&mut self, now: Instant, settings: &Settings) {
        if let Some(ramp) = &mut self.ramp {
            ramp.advance(now, settings);
        }
        self.load.advance(now);
    }

    /// What the upstream may be given.
    pub(crate) fn standing(&self, now: Instant) -> Standing {
        if self.is_leaving() {
            return Standing::Leaving;
        }
        if self.is_lapsed(now) || self.ann.state == UpstreamState::Down {
            return Standing::Failing;
        }
        let ramped = self.ramp.as_ref().map_or(0, Ramp::level);
        Standing::Usable(ramped.min(self.load.level()))
    }

    /// The upstream as a member with this share.
    pub(crate) fn member(&self, share: Share) -> Member {
        let state = match self.ann.state {
            UpstreamState::Ready if self.drained => UpstreamState::Leaving,
            state => state,
        };
        Member {
            host: self.host.clone(),
            data_centre: self.ann.data_centre.clone(),
            data: self.ann.data,
            peer: self.ann.peer,
            state,
            share,
            former_share: Share(0),
        }
    }

    /// When the standing or the place in the list may next change by itself.
    pub(crate) fn due(&self, now: Instant, settings: &Settings) -> Instant {
        let end = if self.is_lapsed(now) {
            self.lease_until + settings.lapsed_retention
        } else {
            self.lease_until
        };
        let steps = [self.ramp.as_ref().and_then(Ramp::due), self.load.due()];
        steps.into_iter().flatten().fold(end, Instant::min)
    }
}
