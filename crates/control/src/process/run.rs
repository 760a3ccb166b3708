//! Starting and ending a control host.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use auth::{Authorizer, ServerKind};
use client::HttpClient;
use consensus::{Consensus, Group, MemberIdentity};
use prometheus::Registry;
use rand::Rng;
use store::{DataDir, Disk};
use tokio::sync::{mpsc, watch};
use types::MemberId;
use wire::request::{Hello, HelloReply};

use super::{
    GroupCommand, HELLO_PATH, Settings, group::GroupTask, http, metrics::Metrics, peers::Peers,
};
use crate::{Error, Result};

/// Commands that may wait for the group task.
const COMMANDS: usize = 4096;

/// Pause between two looks for the hosts of the first group.
const FORM_INTERVAL: Duration = Duration::from_millis(200);

/// Time for a host to answer whether it is blank.
const HELLO: Duration = Duration::from_secs(1);

/// Runs a control host until `stop` changes.
///
/// # Errors
///
/// The data folder or the socket cannot be used.
pub async fn run(cfg: Settings, registry: &Registry, stop: watch::Receiver<bool>) -> Result<()> {
    let dir = Dir::new(&cfg.data_dir)?;
    run_with_disk(dir, cfg, registry, stop).await
}

/// Like [`run`], with a disk of the caller's in place of the data folder.
///
/// # Errors
///
/// The disk or the socket cannot be used.
pub async fn run_with_disk<D: Disk<File: 'static>>(
    disk: D,
    cfg: Settings,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<()> {
    let metrics = Metrics::new(registry)?;
    let listener = TcpListener::bind(cfg.listen).map_err(|e| Error::Bind(cfg.listen, e))?;
    let address = listener
        .local_addr()
        .map_err(|e| Error::Bind(cfg.listen, e))?;
    let (store, found) = store::open(disk)?;
    let disk = store::spawn(store)?;
    let me = MemberIdentity {
        id: found.member,
        address,
    };
    log::info!(event = "control_started", member:% = me.id, listen:% = address; "control host started");

    let (tx, rx) = mpsc::channel(COMMANDS);
    let authorizer = Authorizer::new(ServerKind::Control, cfg.credentials.as_ref(), registry)?;
    let server = http::serve(&cfg, listener, tx.clone(), authorizer)?;
    let server_handle = server.handle();
    let server = actix_rt::spawn(async move {
        let _ = server.await;
    });
    let http = HttpClient::new(cfg.credentials.as_ref());
    let blank = found.restored.snapshot.is_none();
    let snapshot = found.restored.snapshot.clone();
    let seed = rand::rng().random();
    let consensus = Consensus::new(cfg.consensus, me, found.restored, seed, Instant::now());
    let forms = blank && cfg.initial_group.first() == Some(&address);
    let form = forms.then(|| {
        let hosts = cfg.initial_group.iter().copied().collect();
        actix_rt::spawn(form(http.clone(), me, hosts, tx))
    });
    let task = GroupTask::new(
        cfg,
        consensus,
        snapshot.as_ref(),
        disk,
        Peers::new(http),
        metrics,
        rx,
    )?;
    let result = task.run(stop).await;
    if let Some(form) = form {
        form.abort();
    }
    server_handle.stop(false).await;
    server.abort();
    log::info!(event = "control_stopped"; "control host stopped");
    result
}

/// Forms the first group once all its hosts are blank.
///
/// Only the host with the lowest address does so. If each did, two hosts could
/// form different groups while a third one loses its disk in between.
async fn form(
    http: HttpClient,
    me: MemberIdentity,
    hosts: Vec<SocketAddr>,
    tx: mpsc::Sender<GroupCommand>,
) {
    loop {
        if let Some(voters) = blank_hosts(&http, me, &hosts).await {
            log::info!(event = "group_formed", voters = voters.len(); "all hosts are blank; forming the first group");
            // The task ends only with the process.
            let _ = tx
                .send(GroupCommand::Form(Group::from_voters(voters)))
                .await;
            return;
        }
        sleep(FORM_INTERVAL).await;
    }
}

/// The ids of the hosts, if all answer and are blank.
async fn blank_hosts(
    http: &HttpClient,
    me: MemberIdentity,
    hosts: &[SocketAddr],
) -> Option<BTreeMap<MemberId, SocketAddr>> {
    let mut voters = BTreeMap::from([(me.id, me.address)]);
    for &host in hosts.iter().filter(|host| **host != me.address) {
        let deadline = Instant::now() + HELLO;
        let reply: HelloReply = http.post(host, HELLO_PATH, &Hello, deadline).await.ok()?;
        if !reply.blank {
            return None;
        }
        voters.insert(reply.id, host);
    }
    (voters.len() == hosts.len()).then_some(voters)
}
