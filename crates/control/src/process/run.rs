//! Start and shutdown of a control host.

use std::{
    collections::BTreeMap,
    io,
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
use tokio::{
    sync::{mpsc, watch},
    task::JoinError,
};
use types::MemberId;
use wire::request::{Hello, HelloReply};

use super::{
    GroupCommand, HELLO_PATH, Settings, group::GroupTask, http, metrics::Metrics, peers::Peers,
};
use crate::{Error, Result};

/// Capacity of the command queue of the group task.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// Delay between two attempts to reach the hosts of the initial group.
const BOOTSTRAP_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of the request that asks a host whether it is blank.
const HELLO_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs a control host until `stop` changes.
///
/// # Errors
///
/// The data folder or the listener cannot be opened, a metric cannot be
/// registered, the storage thread has exited, or a snapshot or a log entry
/// cannot be decoded.
pub async fn run(cfg: Settings, registry: &Registry, stop: watch::Receiver<bool>) -> Result<()> {
    let dir = DataDir::new(&cfg.data_dir)?;
    run_with_disk(dir, cfg, registry, stop).await
}

/// Like [`run`], but stores the state on `disk` instead of in
/// [`Settings::data_dir`].
///
/// # Errors
///
/// As for [`run`].
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

    let (tx, rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let authorizer = Authorizer::new(ServerKind::Control, cfg.credentials.as_ref(), registry)?;
    let server = http::serve(&cfg, listener, tx.clone(), authorizer)?;
    let server_handle = server.handle();
    let mut server = actix_rt::spawn(server);
    let http = HttpClient::new(cfg.credentials.as_ref());
    let blank = found.restored.snapshot.is_none();
    let snapshot = found.restored.snapshot.clone();
    let seed = rand::rng().random();
    let consensus = Consensus::new(cfg.consensus, me, found.restored, seed, Instant::now());
    let bootstraps = blank && cfg.initial_group.first() == Some(&address);
    let bootstrap = bootstraps.then(|| {
        let hosts = cfg.initial_group.iter().copied().collect();
        actix_rt::spawn(bootstrap_group(http.clone(), me, hosts, tx))
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
    let result = tokio::select! {
        result = task.run(stop) => result,
        // Without its listener the host is lost to all others but goes on voting.
        ended = &mut server => Err(Error::ServerEnded(server_error(ended))),
    };
    if let Some(bootstrap) = bootstrap {
        bootstrap.abort();
    }
    server_handle.stop(false).await;
    server.abort();
    log::info!(event = "control_stopped"; "control host stopped");
    result
}

fn server_error(ended: std::result::Result<io::Result<()>, JoinError>) -> io::Error {
    match ended {
        Ok(Err(e)) => e,
        Ok(Ok(())) => io::Error::other("it has stopped accepting connections"),
        Err(e) => io::Error::other(e),
    }
}

/// Bootstraps the initial group once all of its hosts are blank.
///
/// Only the host with the lowest address runs this. If every host did, two hosts
/// could bootstrap different groups when a third one loses its disk in between.
async fn bootstrap_group(
    http: HttpClient,
    me: MemberIdentity,
    hosts: Vec<SocketAddr>,
    tx: mpsc::Sender<GroupCommand>,
) {
    loop {
        if let Some(voters) = blank_hosts(&http, me, &hosts).await {
            log::info!(event = "group_formed", voters = voters.len(); "all hosts are blank; bootstrapping the initial group");
            // The group task ends only with the process.
            let _ = tx
                .send(GroupCommand::Bootstrap(Group::from_voters(voters)))
                .await;
            return;
        }
        sleep(BOOTSTRAP_INTERVAL).await;
    }
}

/// Ids and addresses of the hosts if all of them reply and are blank, else
/// `None`.
async fn blank_hosts(
    http: &HttpClient,
    me: MemberIdentity,
    hosts: &[SocketAddr],
) -> Option<BTreeMap<MemberId, SocketAddr>> {
    let mut voters = BTreeMap::from([(me.id, me.address)]);
    for &host in hosts.iter().filter(|host| **host != me.address) {
        let deadline = Instant::now() + HELLO_TIMEOUT;
        let reply: HelloReply = http.post(host, HELLO_PATH, &Hello, deadline).await.ok()?;
        if !reply.blank {
            return None;
        }
        voters.insert(reply.id, host);
    }
    (voters.len() == hosts.len()).then_some(voters)
}
