//! The task that syncs a node with the control group.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::Rng;
use tokio::sync::{mpsc, oneshot, watch};
use types::{
    BalancerAnnouncement, ClassLoads, DataCentre, HostName, Role, UpstreamAnnouncement, UpstreamId,
    Version,
};
use wire::{ServiceSubset, SyncReply, SyncRequest, Update};

use crate::{HttpClient, Result};

/// HTTP path of sync requests.
const SYNC_PATH: &str = "/v1/sync";

/// Settings of the sync task of a node.
#[derive(Debug, Clone)]
pub struct SyncSettings {
    /// Name of the node's host.
    pub host: HostName,
    /// Role of the node.
    pub role: Role,
    /// Data centre of the node.
    pub data_centre: DataCentre,
    /// The control hosts; never empty.
    pub control_hosts: Vec<SocketAddr>,
    /// Services whose configuration and members the node receives.
    pub subset: ServiceSubset,
    /// How long the leader may hold a request while there is no update.
    pub hold: Duration,
    /// Timeout of a request, after which the next host is tried. Must be longer
    /// than `hold`.
    pub reply_timeout: Duration,
    /// Upper bound on the delay after a failed request. The delay is random, so
    /// that the nodes do not all retry at the same time.
    pub max_retry_delay: Duration,
}

impl SyncSettings {
    /// Creates the settings of a node with the default durations.
    #[must_use]
    pub fn new(
        host: HostName,
        role: Role,
        data_centre: DataCentre,
        control_hosts: Vec<SocketAddr>,
    ) -> Self {
        SyncSettings {
            host,
            role,
            data_centre,
            control_hosts,
            subset: ServiceSubset::All,
            hold: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(2),
            max_retry_delay: Duration::from_millis(300),
        }
    }
}

/// What a node announces to the leader with each sync request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeAnnouncement {
    /// The upstream of an agent.
    pub upstream: Option<UpstreamAnnouncement>,
    /// The sockets of a balancer.
    pub balancer: Option<BalancerAnnouncement>,
}

/// An event that the sync task sends to the task that owns the node's state, the
/// receiver.
#[derive(Debug)]
pub enum SyncEvent {
    /// A newer version. The receiver acknowledges it once it is in force.
    Update(Box<Update>, oneshot::Sender<()>),
    /// Current loads of the peers.
    Loads(BTreeMap<UpstreamId, ClassLoads>),
    /// The version in force was current at this instant: the start of a request
    /// whose reply a majority has confirmed.
    Confirmed(Instant),
}

/// Keeps a node on the newest confirmed version.
pub struct SyncTask {
    cfg: SyncSettings,
    http: HttpClient,
    /// The version in force; never decreases during the lifetime of the process.
    have: Option<Version>,
    /// Index into `cfg.control_hosts` of the next host; used when `leader_hint` is empty.
    next_host: usize,
    /// The presumed leader: the last host that answered or that another host
    /// named.
    leader_hint: Option<SocketAddr>,
    announcement: watch::Receiver<NodeAnnouncement>,
    tx: mpsc::Sender<SyncEvent>,
}

impl SyncTask {
    /// Creates the task. `announcement` is sent with every request, and at once
    /// when it changes; events are sent to `tx`.
    #[must_use]
    pub fn new(
        cfg: SyncSettings,
        http: HttpClient,
        announcement: watch::Receiver<NodeAnnouncement>,
        tx: mpsc::Sender<SyncEvent>,
    ) -> Self {
        let next_host = rand::rng().random_range(0..cfg.control_hosts.len().max(1));
        SyncTask {
            cfg,
            http,
            have: None,
            next_host,
            leader_hint: None,
            announcement,
            tx,
        }
    }

    /// Runs until the receiver of the events is dropped.
    pub async fn run(mut self) {
        while !self.tx.is_closed() {
            let host = self.host();
            let started_at = Instant::now();
            match self.send_request(host).await {
                Some(Ok(reply)) => self.handle(host, started_at, reply).await,
                Some(Err(e)) => {
                    log::debug!(event = "sync_failed", host:% = host, error:% = e; "sync request failed; trying the next control host");
                    self.retry_next_host().await;
                }
                // The announcement changed: send a request with the new one.
                None => {}
            }
        }
    }

    fn host(&self) -> SocketAddr {
        self.leader_hint.unwrap_or_else(|| {
            self.cfg.control_hosts[self.next_host % self.cfg.control_hosts.len()]
        })
    }

    /// Sends one request; `None` if the announcement changed meanwhile.
    async fn send_request(&mut self, host: SocketAddr) -> Option<Result<SyncReply>> {
        let req = self.request();
        let deadline = Instant::now() + self.cfg.reply_timeout;
        tokio::select! {
            reply = self.http.post(host, SYNC_PATH, &req, deadline) => Some(reply),
            changed = self.announcement.changed() => match changed {
                Ok(()) => None,
                // The sender was dropped; keep the last announcement.
                Err(_) => Some(self.http.post(host, SYNC_PATH, &req, deadline).await),
            },
        }
    }

    fn request(&mut self) -> SyncRequest {
        let announcement = self.announcement.borrow_and_update().clone();
        SyncRequest {
            host: self.cfg.host.clone(),
            role: self.cfg.role,
            data_centre: self.cfg.data_centre.clone(),
            applied_version: self.have,
            subset: self.cfg.subset.clone(),
            max_wait: self.cfg.hold,
            upstream: announcement.upstream,
            balancer: announcement.balancer,
        }
    }

    async fn handle(&mut self, host: SocketAddr, started_at: Instant, reply: SyncReply) {
        // The receiver is dropped only when the process ends.
        match reply {
            SyncReply::Current {
                loads,
                membership_published,
            } => {
                self.leader_hint = Some(host);
                let _ = self.tx.send(SyncEvent::Loads(loads)).await;
                if membership_published {
                    let _ = self.tx.send(SyncEvent::Confirmed(started_at)).await;
                }
            }
            SyncReply::Update(update) => {
                self.leader_hint = Some(host);
                let version = Some(update.version);
                self.apply(update).await;
                if self.have == version {
                    let _ = self.tx.send(SyncEvent::Confirmed(started_at)).await;
                }
            }
            SyncReply::NotLeader {
                leader: Some(leader),
            } if self.leader_hint != Some(leader) => {
                self.leader_hint = Some(leader);
            }
            SyncReply::NotLeader { .. } | SyncReply::Unconfirmed => self.retry_next_host().await,
        }
    }

    /// Sends an update to the receiver and waits until it is in force.
    async fn apply(&mut self, update: Box<Update>) {
        let version = update.version;
        if self.have.is_some_and(|have| version.is_behind(&have)) {
            log::warn!(event = "stale_update", version:% = version; "discarded an update older than the version in force");
            self.retry_next_host().await;
            return;
        }
        let (tx, rx) = oneshot::channel();
        if self.tx.send(SyncEvent::Update(update, tx)).await.is_ok() && rx.await.is_ok() {
            self.have = Some(version);
        }
    }

    /// Selects the next host and waits for a random delay.
    async fn retry_next_host(&mut self) {
        self.leader_hint = None;
        self.next_host += 1;
        let fraction = rand::rng().random_range(0.0..1.0);
        actix_rt::time::sleep(self.cfg.max_retry_delay.mul_f64(fraction)).await;
    }
}
