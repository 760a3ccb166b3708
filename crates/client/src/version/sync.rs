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

/// Path of the sync exchange.
const PATH: &str = "/v1/sync";

/// How a node syncs.
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
    /// Services that the node wants to know.
    pub subset: ServiceSubset,
    /// Longest time that the leader holds a request.
    pub hold: Duration,
    /// Time without an answer after which the next host is tried. Longer
    /// than `hold`.
    pub reply_timeout: Duration,
    /// Longest pause after a failed exchange; the pause is drawn at random,
    /// so that nodes do not come back all at once.
    pub max_retry_delay: Duration,
}

impl SyncSettings {
    /// Settings of a node with the default times.
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
            subset: Subset::All,
            hold: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(2),
            max_retry_delay: Duration::from_millis(300),
        }
    }
}

/// What a node tells of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NodeAnnouncement {
    /// The upstream of an agent.
    pub upstream: Option<UpstreamAnnouncement>,
    /// The sockets of a balancer.
    pub balancer: Option<BalancerAnnouncement>,
}

/// One step that the node's owner applies.
#[derive(Debug)]
pub enum SyncEvent {
    /// A newer version. The owner answers once it is in force.
    Update(Box<Update>, oneshot::Sender<()>),
    /// New loads of the peers.
    ClassLoads(BTreeMap<UpstreamId, ClassLoads>),
    /// The version in force was current at this instant, when an exchange
    /// began that a majority has confirmed.
    Confirmed(Instant),
}

/// Keeps a node on the newest version.
pub struct SyncTask {
    cfg: SyncSettings,
    http: HttpClient,
    /// The version in force; never goes back while the process lives.
    have: Option<Version>,
    /// Index into `cfg.control_hosts` of the host to ask next.
    next: usize,
    /// Host that another one named as the leader.
    hint: Option<SocketAddr>,
    announcement: watch::Receiver<NodeAnnouncement>,
    tx: mpsc::Sender<SyncEvent>,
}

impl SyncTask {
    /// Creates the task. `announcement` is sent with every request, at once when
    /// it changes; steps go to `tx`.
    #[must_use]
    pub fn new(
        cfg: SyncSettings,
        http: HttpClient,
        announcement: watch::Receiver<NodeAnnouncement>,
        tx: mpsc::Sender<SyncEvent>,
    ) -> Self {
        let next = rand::rng().random_range(0..cfg.control_hosts.len().max(1));
        SyncTask {
            cfg,
            http,
            have: None,
            next,
            hint: None,
            announcement,
            tx,
        }
    }

    /// Runs until the owner of the node goes away.
    pub async fn run(mut self) {
        while !self.tx.is_closed() {
            let host = self.host();
            let began = Instant::now();
            match self.exchange(host).await {
                Some(Ok(reply)) => self.handle(host, began, reply).await,
                Some(Err(e)) => {
                    log::debug!(event = "sync_failed", host:% = host, error:% = e; "sync failed");
                    self.move_on().await;
                }
                // The report changed: ask again with the new one.
                None => {}
            }
        }
    }

    fn host(&self) -> SocketAddr {
        self.hint
            .unwrap_or_else(|| self.cfg.control_hosts[self.next % self.cfg.control_hosts.len()])
    }

    /// One exchange; `None` if the report changed meanwhile.
    async fn exchange(&mut self, host: SocketAddr) -> Option<Result<SyncReply>> {
        let req = self.request();
        let deadline = Instant::now() + self.cfg.reply_timeout;
        tokio::select! {
            reply = self.http.post(host, PATH, &req, deadline) => Some(reply),
            changed = self.announcement.changed() => match changed {
                Ok(()) => None,
                // The owner stopped reporting; keep the last report.
                Err(_) => Some(self.http.post(host, PATH, &req, deadline).await),
            },
        }
    }

    fn request(&mut self) -> SyncRequest {
        let announcement = self.announcement.borrow_and_update().clone();
        SyncRequest {
            host: self.cfg.host.clone(),
            role: self.cfg.role,
            data_centre: self.cfg.data_centre.clone(),
            have: self.have,
            subset: self.cfg.subset.clone(),
            hold: self.cfg.hold,
            upstream: announcement.upstream,
            balancer: announcement.balancer,
        }
    }

    async fn handle(&mut self, host: SocketAddr, began: Instant, reply: SyncReply) {
        // The owner goes away only when the process ends.
        match reply {
            SyncReply::Current { loads, settled } => {
                self.hint = Some(host);
                let _ = self.tx.send(SyncEvent::Loads(loads)).await;
                if settled {
                    let _ = self.tx.send(SyncEvent::Confirmed(began)).await;
                }
            }
            SyncReply::Update(update) => {
                self.hint = Some(host);
                let version = Some(update.version);
                self.apply(update).await;
                if self.have == version {
                    let _ = self.tx.send(SyncEvent::Confirmed(began)).await;
                }
            }
            SyncReply::NotLeader {
                leader: Some(leader),
            } if self.hint != Some(leader) => {
                self.hint = Some(leader);
            }
            SyncReply::NotLeader { .. } | SyncReply::Unconfirmed => self.move_on().await,
        }
    }

    /// Hands an update to the owner and waits until it is in force.
    async fn apply(&mut self, update: Box<Update>) {
        let version = update.version;
        if self.have.is_some_and(|have| version.is_behind(&have)) {
            log::warn!(event = "stale_update", version:% = version; "discarded an update that goes back");
            self.move_on().await;
            return;
        }
        let (tx, rx) = oneshot::channel();
        if self.tx.send(SyncEvent::Update(update, tx)).await.is_ok() && rx.await.is_ok() {
            self.have = Some(version);
        }
    }

    /// Turns to the next host after a pause.
    async fn move_on(&mut self) {
        self.hint = None;
        self.next += 1;
        let pause = rand::rng().random_range(0.0..1.0);
        actix_rt::time::sleep(self.cfg.max_retry_delay.mul_f64(pause)).await;
    }
}
