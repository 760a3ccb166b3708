//! Starting a control host.

use std::{
    cell::RefCell,
    future::Future,
    net::{SocketAddr, SocketAddrV4},
    rc::Rc,
    time::Instant,
};

use consensus::{Consensus, Group, Identity};
use net::Limits;
use prometheus::Registry;
use rand::Rng;
use store::Dir;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use types::MemberId;

use super::{Replica, Settings, group, http::Interface, metrics::Metrics, nodes, transport};
use crate::{Error, Result, version::RouteHistory};

/// Commands that may wait for the group task.
const COMMANDS: usize = 1024;

/// Starts a control host. Returns the handle, and what to run until the process
/// is to end: it ends by itself only when the disk thread does.
///
/// # Errors
///
/// The data folder or a socket cannot be used.
pub async fn start(
    cfg: Settings,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<(Replica, impl Future<Output = Result<()>>)> {
    let metrics = Metrics::new(registry)?;
    let (store, found) = store::open_as(Dir::new(&cfg.data_dir)?, new_id(&cfg))?;
    let disk = store::start(store)?;
    let member = found.member;
    let blank = found.restored.snapshot.is_none();
    log::info!(
        event = "control_started", member:% = member, address:% = cfg.member_address(),
        blank = u64::from(blank), bootstrap = u64::from(cfg.bootstrap); "control host started"
    );
    let me = Identity {
        id: member,
        address: cfg.member_address().into(),
    };
    let snapshot = found.restored.snapshot.clone();
    let seed = rand::rng().random();
    let consensus = Consensus::new(cfg.consensus, me, found.restored, seed, Instant::now());

    let member_address = SocketAddr::V4(cfg.member_address());
    let bind = |e| Error::Bind(member_address, e);
    let listener = TcpListener::bind(member_address).await.map_err(bind)?;
    let member_socket = net::bind_udp(member_address).map_err(bind)?;
    let node_address = SocketAddr::V4(cfg.node_address());
    let node_socket = net::bind_udp(node_address).map_err(|e| Error::Bind(node_address, e))?;

    let (commands_tx, commands_rx) = mpsc::channel(COMMANDS);
    let (outgoing_tx, outgoing_rx) = mpsc::channel(COMMANDS);
    let (routes_tx, routes_rx) = watch::channel(None);
    let channels = group::Channels {
        disk,
        outgoing: outgoing_tx,
        routes: routes_tx,
        commands: commands_rx,
    };
    let mut group_task = group::GroupTask::new(
        cfg.clone(),
        consensus,
        snapshot.as_ref(),
        channels,
        metrics.clone(),
    )?;
    if blank && let Some(group) = first_group(&cfg) {
        group_task.form(group)?;
    }
    let history = Rc::new(RefCell::new(RouteHistory::default()));
    let channels = nodes::Channels {
        socket: node_socket,
        history: history.clone(),
        routes: routes_rx,
        group: commands_tx.clone(),
        stop,
    };
    let node_task = nodes::NodeTask::new(
        cfg,
        member,
        rand::rng().random_range(1..=u64::MAX),
        snapshot.as_ref().map(|snapshot| &snapshot.group),
        channels,
        metrics.clone(),
    );
    let interface = Interface {
        group: commands_tx.clone(),
        history,
    };
    actix_rt::spawn(transport::run(
        member_socket,
        outgoing_rx,
        commands_tx.clone(),
    ));
    actix_rt::spawn(node_task.run());
    actix_rt::spawn(net::serve(listener, interface, Limits::default()));
    let replica = Replica {
        group: commands_tx,
        metrics,
    };
    Ok((replica, group_task.run()))
}

/// The id that an empty folder gets. The seeds of a first start draw theirs
/// from their addresses, so that each knows the first group without asking; a
/// host that lost its disk is no first start and gets a random one.
fn new_id(cfg: &Settings) -> MemberId {
    if first_group(cfg).is_some() {
        seed_id(cfg.member_address())
    } else {
        MemberId(rand::rng().random())
    }
}

fn seed_id(address: SocketAddrV4) -> MemberId {
    let ip = u64::from(u32::from(*address.ip()));
    MemberId((ip << 16) | u64::from(address.port()))
}

/// The group that the seeds form at the first start, if this host is a seed.
fn first_group(cfg: &Settings) -> Option<Group> {
    let forms = cfg.bootstrap && cfg.seeds.contains(&cfg.ip);
    forms.then(|| {
        Group::of(cfg.seeds.iter().map(|ip| {
            let address = SocketAddrV4::new(*ip, cfg.member_port);
            (seed_id(address), address.into())
        }))
    })
}
