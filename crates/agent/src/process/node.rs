//! The node task, which applies versions and announces the upstream.

use std::time::{Duration, Instant};

use client::{NodeAnnouncement, SyncEvent};
use tokio::{
    sync::{mpsc, watch},
    time::sleep_until,
};
use types::{ClassLoads, ServiceState, UpstreamAnnouncement, UpstreamId, UpstreamState};
use wire::{CidCodec, ServiceTag, Update};

use super::{
    AdmissionCommand, AdmissionHandle, IdempotencyCommand, IdempotencyHandle, Settings,
    commands::{AdmissionConfig, UpstreamStatus},
    datagram::{DatagramCommand, DatagramConfig},
};
use crate::{connection::CidConfig, version::VersionView};

/// Longest time between updates of the announcement.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);

/// Applies versions to the other tasks, and announces the upstream.
pub struct NodeTask {
    /// Settings of the agent.
    pub cfg: Settings,
    /// Announcement; state, loads and connections are filled in each time.
    pub announcement: UpstreamAnnouncement,
    /// Versions and peer loads from the sync task.
    pub steps: mpsc::Receiver<SyncEvent>,
    /// Report that the sync task sends to the control group.
    pub report: watch::Sender<NodeAnnouncement>,
    /// The admission task.
    pub admission: AdmissionHandle,
    /// The task that stores responses by idempotency key.
    pub idempotency: IdempotencyHandle,
    /// The datagram task.
    pub datagrams: mpsc::Sender<DatagramCommand>,
    /// State of the service, read by request handlers.
    pub service: watch::Sender<Option<ServiceState>>,
    /// Parameters of new connection ids.
    pub cid_config: watch::Sender<Option<CidConfig>>,
    /// Whether the agent is draining, read by connection tasks.
    pub leaving: watch::Sender<bool>,
    /// Changes when the process is asked to stop.
    pub stop: watch::Receiver<bool>,
    /// When a control leader first accepted an announcement of this run as ready,
    /// which shows as a configured service. `None` until then and while the
    /// upstream is down.
    pub ready_since: Option<Instant>,
}

impl NodeTask {
    /// Runs until the sync task ends.
    pub async fn run(mut self) {
        let own_id = self.announcement.id;
        let mut view = VersionView::default();
        let mut stopping = false;
        let mut announce_at = Instant::now();
        loop {
            tokio::select! {
                step = self.steps.recv() => match step {
                    Some(SyncEvent::Update(update, done)) => {
                        view.apply(&update, &self.cfg.service, &self.cfg.host);
                        self.apply(own_id, &view, &update, stopping).await;
                        self.admission.send(AdmissionCommand::PeerLoads(update.loads));
                        let _ = done.send(());
                    }
                    Some(SyncEvent::Loads(loads)) => {
                        self.admission.send(AdmissionCommand::PeerLoads(loads));
                        continue;
                    }
                    Some(SyncEvent::Confirmed(started_at)) => {
                        self.idempotency.send(IdempotencyCommand::VersionConfirmed(started_at));
                        continue;
                    }
                    None => return,
                },
                changed = self.stop.changed(), if !stopping => {
                    stopping = true;
                    if changed.is_ok() {
                        log::info!(event = "leaving"; "agent is draining before it stops");
                    }
                    self.set_leaving(own_id, &view, stopping).await;
                }
                () = sleep_until(announce_at.into()) => {}
            }
            announce_at = Instant::now() + ANNOUNCE_INTERVAL;
            self.announce(view.service.is_some()).await;
        }
    }

    /// Applies a version to all tasks.
    async fn apply(&self, own_id: UpstreamId, view: &VersionView, update: &Update, stopping: bool) {
        let cid_codec = update.keys.as_ref().map(CidCodec::new);
        let service = view.service.clone();
        if let (Some(codec), Some(state)) = (cid_codec.clone(), &service) {
            let tag = ServiceTag::from(state.service.id);
            self.cid_config.send_replace(Some(CidConfig { codec, tag }));
        }
        self.service.send_replace(service.clone());
        self.idempotency
            .send(IdempotencyCommand::Configure(service.clone()));
        let datagrams = DatagramConfig {
            service,
            balancers: view.balancers.clone(),
            cid_codec,
        };
        self.send(DatagramCommand::Configure(Box::new(datagrams)))
            .await;
        self.set_leaving(own_id, view, stopping).await;
        log::info!(event = "version_applied", version:% = update.version; "version applied");
    }

    async fn set_leaving(&self, own_id: UpstreamId, view: &VersionView, stopping: bool) {
        let leaving = stopping || view.drain_requested;
        self.send(DatagramCommand::SetLeaving(leaving)).await;
        self.admission
            .send(AdmissionCommand::Configure(AdmissionConfig {
                service: view.service.as_ref().map(|state| state.service.id),
                targets: view.targets(&self.cfg.served_classes),
                peers: view.peers(own_id),
                hedge_states: view.hedge_states(own_id),
                leaving,
            }));
        self.leaving.send_if_modified(|current| {
            let changed = *current != leaving;
            *current = leaving;
            changed
        });
    }

    async fn send(&self, command: DatagramCommand) {
        // The datagram task ends only when the agent stops.
        let _ = self.datagrams.send(command).await;
    }

    /// Updates the announcement that the sync task sends.
    async fn announce(&mut self, configured: bool) {
        let Some(status) = self.admission.ask(AdmissionCommand::GetStatus).await else {
            return;
        };
        if status.state == UpstreamState::Down {
            self.ready_since = None;
        } else if configured {
            self.ready_since.get_or_insert_with(Instant::now);
        }
        let upstream = Some(self.announcement_with(status));
        self.report.send_if_modified(|report| {
            let state_changed = reported_state(report) != upstream.as_ref().map(|u| u.state);
            report.upstream = upstream;
            // Only a change of state triggers an extra sync; new loads wait for
            // the next regular one.
            state_changed
        });
    }

    fn announcement_with(&self, status: UpstreamStatus) -> UpstreamAnnouncement {
        let served_classes = &self.cfg.served_classes;
        let loads: ClassLoads = status
            .loads
            .into_iter()
            .filter(|(class, _)| served_classes.is_empty() || served_classes.contains(class))
            .collect();
        UpstreamAnnouncement {
            state: status.state,
            connections: status.connections,
            loads,
            ready_for: self.ready_since.map_or(Duration::ZERO, |at| at.elapsed()),
            ..self.announcement.clone()
        }
    }
}

fn reported_state(report: &NodeAnnouncement) -> Option<UpstreamState> {
    report.upstream.as_ref().map(|upstream| upstream.state)
}
