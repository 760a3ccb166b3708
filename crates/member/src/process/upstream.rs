//! One incarnation of an upstream's agent.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use types::{
    ClassName, HostName, Share, Slots, UpstreamAnnouncement, UpstreamMember, UpstreamState,
};

use super::Settings;
use crate::version::{Availability, LoadLevel, Ramp, requested_level};

/// An upstream that announced itself.
#[derive(Debug)]
pub(crate) struct Upstream {
    pub(crate) host: HostName,
    /// The last announcement.
    pub(crate) announcement: UpstreamAnnouncement,
    /// Instant at which the last announcement was received.
    announced_at: Instant,
    /// Instant at which the lease expires.
    pub(crate) lease_until: Instant,
    /// Whether an operator has drained the host.
    pub(crate) drained: bool,
    /// Whether an operator has evacuated the data centre.
    pub(crate) evacuated: bool,
    /// `None` until the upstream is listed.
    ramp: Option<Ramp>,
    load: LoadLevel,
    /// Scheduled check of the upstream by the registry; not later than `due`.
    pub(crate) next_check: Option<Instant>,
}

impl Upstream {
    pub(crate) fn new(
        now: Instant,
        host: &HostName,
        announcement: &UpstreamAnnouncement,
        settings: &Settings,
    ) -> Self {
        Upstream {
            host: host.clone(),
            announcement: announcement.clone(),
            announced_at: now,
            lease_until: now + settings.lease,
            drained: false,
            evacuated: false,
            ramp: None,
            load: LoadLevel::default(),
            next_check: None,
        }
    }

    /// Applies a further announcement and renews the lease. Returns true if the
    /// members may change because of it.
    ///
    /// `has_share` tells that the upstream currently has a share. It keeps it
    /// when it recovers from a failure in a frozen service, because its removal
    /// would shift the work to the few upstreams that did not fail.
    pub(crate) fn renew(
        &mut self,
        now: Instant,
        host: &HostName,
        announcement: &UpstreamAnnouncement,
        has_share: bool,
        settings: &Settings,
    ) -> bool {
        let listed_as = |a: &UpstreamAnnouncement| {
            (
                a.data_centre.clone(),
                a.data_address,
                a.peer_address,
                a.state,
            )
        };
        let changed = self.is_lease_expired(now)
            || self.host != *host
            || listed_as(&self.announcement) != listed_as(announcement);
        let recovers = (self.announcement.state, announcement.state)
            == (UpstreamState::Down, UpstreamState::Ready);
        if recovers && !has_share && self.ramp.is_some() {
            // The ramp starts again. The delay also bounds the number of versions
            // that an upstream causes which repeatedly fails and recovers.
            let first_share_at = now + settings.propagation_delay;
            self.ramp = Some(Ramp::start(first_share_at, Duration::ZERO, settings));
        }
        self.host.clone_from(host);
        self.announcement.clone_from(announcement);
        self.announced_at = now;
        self.lease_until = now + settings.lease;
        changed
    }

    /// Updates the load level from the loads of the last announcement.
    pub(crate) fn apply_loads(
        &mut self,
        now: Instant,
        carry: &BTreeMap<ClassName, Slots>,
        settings: &Settings,
    ) {
        let requested = requested_level(&self.announcement.loads, carry);
        self.load.report(now, requested, settings.load_hold_time);
    }

    /// Returns true if the lease has expired.
    pub(crate) fn is_lease_expired(&self, now: Instant) -> bool {
        self.lease_until <= now
    }

    /// Returns true if the upstream announced that it leaves, its host has a drain
    /// mark, or its data centre is evacuated.
    pub(crate) fn is_leaving(&self) -> bool {
        self.drained || self.evacuated || self.announcement.state == UpstreamState::Leaving
    }

    /// Returns true if the upstream must be removed even if its service is
    /// frozen.
    pub(crate) fn must_be_removed(&self, now: Instant, settings: &Settings) -> bool {
        let retained = self.ramp.is_some() && !self.is_leaving();
        let retention = if retained {
            settings.lapsed_retention
        } else {
            Duration::ZERO
        };
        self.lease_until + retention <= now
    }

    /// Starts the ramp of the upstream if it is not listed yet.
    ///
    /// `is_first_publication` tells that this is the first publication of a term.
    /// Nodes then still have the membership of the former leader, so an upstream
    /// that has been ready for `propagation_delay` gets its share at once.
    pub(crate) fn mark_listed(
        &mut self,
        now: Instant,
        is_first_publication: bool,
        settings: &Settings,
    ) {
        if self.ramp.is_some() {
            return;
        }
        let age = self.announcement.ready_for + (now - self.announced_at);
        let is_propagated =
            is_first_publication && self.announcement.ready_for >= settings.propagation_delay;
        let wait = if is_propagated {
            Duration::ZERO
        } else {
            settings.propagation_delay
        };
        // The age counts only for agents that were ready before: a new one
        // starts the whole ramp, however long it waited to be listed.
        let age = if self.announcement.ready_for.is_zero() {
            Duration::ZERO
        } else {
            age + wait
        };
        self.ramp = Some(Ramp::start(now + wait, age, settings));
    }

    /// Resets the ramp: the upstream is no longer listed.
    pub(crate) fn mark_unlisted(&mut self) {
        self.ramp = None;
    }

    /// Advances the ramp and the load level to `now`.
    pub(crate) fn advance(&mut self, now: Instant, settings: &Settings) {
        if let Some(ramp) = &mut self.ramp {
            ramp.advance(now, settings);
        }
        self.load.advance(now);
    }

    /// Returns whether and how far the upstream takes new work at `now`.
    pub(crate) fn availability(&self, now: Instant) -> Availability {
        if self.is_leaving() {
            return Availability::Leaving;
        }
        if self.is_lease_expired(now) || self.announcement.state == UpstreamState::Down {
            return Availability::Failing;
        }
        let ramp_level = self.ramp.as_ref().map_or(0, Ramp::level);
        Availability::Usable(ramp_level.min(self.load.level()))
    }

    /// Returns the upstream as a member with this share.
    pub(crate) fn member(&self, share: Share) -> UpstreamMember {
        let state = match self.announcement.state {
            UpstreamState::Ready if self.is_leaving() => UpstreamState::Leaving,
            state => state,
        };
        UpstreamMember {
            host: self.host.clone(),
            data_centre: self.announcement.data_centre.clone(),
            data_address: self.announcement.data_address,
            peer_address: self.announcement.peer_address,
            state,
            share,
            previous_share: Share(0),
            evacuated: self.evacuated,
        }
    }

    /// Next instant at which the availability or the listing may change without
    /// an announcement.
    pub(crate) fn due(&self, now: Instant, settings: &Settings) -> Instant {
        let end = if self.is_lease_expired(now) {
            self.lease_until + settings.lapsed_retention
        } else {
            self.lease_until
        };
        let steps = [self.ramp.as_ref().and_then(Ramp::due), self.load.due()];
        steps.into_iter().flatten().fold(end, Instant::min)
    }
}
