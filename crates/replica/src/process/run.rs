//! Starting a control host.

use std::{cell::RefCell, future::Future, net::Ipv4Addr, rc::Rc, sync::Arc, time::Instant};

use consensus::{Consensus, MemberIdentity};
use directory::Roster;
use net::ServerLimits;
use prometheus::Registry;
use rand::Rng;
use store::{DataDir, Disk};
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
};
use types::RoutingSet;

use super::{
    ReplicaHandle, Settings, formation, formation_file,
    formation_file::{DiskStorage, NoStorage},
    group,
    group::MembershipStatus,
    http::HttpInterface,
    leader::LeaderClient,
    metrics::Metrics,
    nodes,
    nodes::{KeptRecords, NodeTask, SharedRoster},
    record_file, roster_file,
    settings::{MAX_MESSAGE_BYTES, MESSAGE_TIMEOUT},
    submissions, transport,
};
use crate::{
    Error, Result,
    request::UnservedServicesRequest,
    version::{Placement, RouteHistory, first_member_id},
};

/// Capacity of the command queue of the group task, and of the queue of outgoing
/// messages.
const COMMAND_QUEUE_CAPACITY: usize = 1024;

/// Upper bound on the size of what the leader adds to a request in the log: its clock.
const COMMAND_OVERHEAD_BYTES: usize = 16;

/// Starts a control host with its state in the data folder of the settings. See
/// [`start_on`].
///
/// # Errors
///
/// The data folder or a socket cannot be used.
pub async fn start(
    cfg: Settings,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<(ReplicaHandle, impl Future<Output = Result<()>> + use<>)> {
    let disk = DataDir::new(&cfg.data_dir)?;
    start_on(disk, cfg, registry, stop).await
}

/// Starts a control host with its state on `disk`. Returns the handle, and a future to
/// poll until the process stops: it completes by itself only when the disk thread ends.
///
/// # Errors
///
/// The disk or a socket cannot be used.
pub async fn start_on<D: Disk + Clone>(
    disk: D,
    cfg: Settings,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<(ReplicaHandle, impl Future<Output = Result<()>> + use<D>)> {
    let metrics = Metrics::new(registry)?;
    let (store, found) = if cfg.bootstrap {
        store::open_with_first_id(disk.clone(), first_member_id(cfg.ip))?
    } else {
        store::open(disk.clone())?
    };
    let (roster, roster_writer) = read_roster(&disk)?;
    let records = read_records(&disk)?;
    let member = found.member;
    let snapshot = found.restored.snapshot.clone();
    let blank = snapshot.is_none();
    let acceptor = formation_file::open(&disk, &cfg, blank)?;
    let acceptor_storage = DiskStorage(disk);
    let disk = store::spawn(store)?;
    log::info!(
        event = "control_started", member:% = member, address:% = cfg.member_address(),
        blank = u64::from(blank), bootstrap = u64::from(cfg.bootstrap); "control host started"
    );
    let me = MemberIdentity {
        id: member,
        address: cfg.member_address().into(),
    };
    let (seed, now) = (rand::rng().random(), Instant::now());
    let consensus = Consensus::new(cfg.consensus_settings(), me, found.restored, seed, now);

    let member_address = cfg.listen_address(cfg.member_address());
    let bind = |e| Error::Bind(member_address, e);
    let listener = TcpListener::bind(member_address).await.map_err(bind)?;
    let member_socket = net::bind_udp(member_address).map_err(bind)?;
    let node_address = cfg.listen_address(cfg.node_address());
    let node_socket = net::bind_udp(node_address).map_err(|e| Error::Bind(node_address, e))?;

    let (commands_tx, commands_rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (outgoing_tx, outgoing_rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (routes_tx, routes_rx) = watch::channel(None);
    let (placement_tx, placement_rx) = watch::channel(Placement::default());
    let (unserved_services_tx, unserved_services_rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (membership_status_tx, membership_status_rx) = watch::channel(MembershipStatus::default());
    let channels = group::Channels {
        disk,
        outgoing: outgoing_tx,
        routes: routes_tx,
        placement: placement_tx,
        membership_status: membership_status_tx,
        commands: commands_rx,
    };
    let group_task = group::GroupTask::new(
        cfg.clone(),
        consensus,
        snapshot.as_ref(),
        channels,
        metrics.clone(),
    )?;
    let consensus_settings = cfg.consensus;
    let history = Rc::new(RefCell::new(RouteHistory::default()));
    let channels = nodes::Channels {
        socket: node_socket,
        history: history.clone(),
        roster: roster.clone(),
        roster_writer: Some(roster_writer),
        records: Some(records),
        member: Some(nodes::LocalMember {
            id: member,
            routes: routes_rx.clone(),
            placement: placement_rx.clone(),
            membership_status: membership_status_rx.clone(),
            group: commands_tx.clone(),
        }),
        control_hosts: watch::channel(Vec::new()).0,
        unserved_services: unserved_services_rx,
        formation: acceptor.map(|state| formation::spawn(&cfg, state, acceptor_storage)),
        stop,
    };
    let node_task = NodeTask::new(
        cfg,
        rand::rng().random_range(1..=u64::MAX),
        snapshot.as_ref().map(|snapshot| &snapshot.group),
        channels,
        metrics.clone(),
    );
    let interface = HttpInterface {
        group: commands_tx.clone(),
        history,
        roster,
    };
    actix_rt::spawn(transport::run(
        member_socket,
        outgoing_rx,
        commands_tx.clone(),
    ));
    actix_rt::spawn(node_task.run());
    let interfaces = Interfaces {
        routes: routes_rx,
        membership_status: membership_status_rx,
        placement: placement_rx,
        unserved_services: unserved_services_tx,
        metrics,
    };
    let replica = start_interfaces(listener, interface, consensus_settings, interfaces);
    Ok((replica, group_task.run()))
}

/// The roster on the disk, shared by the tasks, and the thread that writes it.
fn read_roster<D: Disk + Clone>(
    disk: &D,
) -> Result<(Rc<RefCell<SharedRoster>>, std::sync::mpsc::Sender<Roster>)> {
    let restored = roster_file::read(disk);
    let shared = SharedRoster {
        vouched: restored.is_some(),
        members: Vec::new(),
        roster: restored.unwrap_or_default(),
    };
    let writer = roster_file::spawn_writer(disk.clone())?;
    Ok((Rc::new(RefCell::new(shared)), writer))
}

/// The records on the disk, and the thread that writes them.
fn read_records<D: Disk + Clone>(disk: &D) -> Result<KeptRecords> {
    let writer = record_file::spawn_writer(disk.clone())?;
    Ok(KeptRecords::new(record_file::read(disk), writer))
}

/// What the interfaces of a control host learn from its other tasks.
struct Interfaces {
    routes: watch::Receiver<Option<Arc<RoutingSet>>>,
    membership_status: watch::Receiver<MembershipStatus>,
    placement: watch::Receiver<Placement>,
    unserved_services: mpsc::Sender<UnservedServicesRequest>,
    metrics: Metrics,
}

/// Starts the HTTP interface for other processes and the task of the operators' requests.
fn start_interfaces(
    listener: TcpListener,
    interface: HttpInterface,
    settings: consensus::Settings,
    interfaces: Interfaces,
) -> ReplicaHandle {
    let leader = LeaderClient {
        group: interface.group.clone(),
        link_rate: settings.link_rate,
    };
    let limits = ServerLimits {
        max_body_bytes: MAX_MESSAGE_BYTES,
        request_timeout: MESSAGE_TIMEOUT,
        ..ServerLimits::default()
    };
    actix_rt::spawn(net::serve(listener, interface, limits));
    let (submissions, submissions_rx) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    actix_rt::spawn(submissions::run(
        submissions_rx,
        leader.clone(),
        interfaces.routes,
    ));
    ReplicaHandle {
        leader,
        submissions,
        max_request_bytes: settings
            .max_command_bytes
            .saturating_sub(COMMAND_OVERHEAD_BYTES),
        membership_status: interfaces.membership_status,
        placement: interfaces.placement,
        unserved_services: interfaces.unserved_services,
        metrics: interfaces.metrics,
    }
}

/// Starts an observer: a control host without a disk that only serves node
/// discovery. Returns the addresses of the known control hosts.
///
/// # Errors
///
/// The socket cannot be used.
pub fn start_observer(
    cfg: Settings,
    registry: &Registry,
    stop: watch::Receiver<bool>,
) -> Result<watch::Receiver<Vec<Ipv4Addr>>> {
    let metrics = Metrics::new(registry)?;
    let address = cfg.listen_address(cfg.node_address());
    let socket = net::bind_udp(address).map_err(|e| Error::Bind(address, e))?;
    log::info!(event = "observer_started", address:% = address; "control host without a disk started");
    let (members_tx, members) = watch::channel(Vec::new());
    let channels = nodes::Channels {
        socket,
        history: Rc::default(),
        roster: Rc::new(RefCell::new(SharedRoster {
            vouched: false,
            members: Vec::new(),
            roster: Roster::default(),
        })),
        roster_writer: None,
        records: None,
        member: None,
        control_hosts: members_tx,
        unserved_services: mpsc::channel(1).1,
        formation: formation_file::initial(&cfg)
            .map(|state| formation::spawn(&cfg, state, NoStorage)),
        stop,
    };
    let run = rand::rng().random_range(1..=u64::MAX);
    let task = NodeTask::new(cfg, run, None, channels, metrics);
    actix_rt::spawn(task.run());
    Ok(members)
}
