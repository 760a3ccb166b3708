//! Everything in one process, for a first look and for a small site.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use agent::ServiceCertificate;
use client::{Http, Operator};
use prometheus::Registry;
use standin::Upstream;
use tokio::sync::watch;
use types::{
    Answer, Change, ChangeId, ChangeRequest, ClassName, Connections, Revision, ServiceName, Share,
    Slots, Target,
};
use wire::request::{ChangeReply, Query, QueryReply};

use super::cli::LocalArgs;
use crate::error::{Error, Result};

/// Time for the embedded control host to answer.
const CONTROL_ANSWER: Duration = Duration::from_secs(10);

/// Pause between two looks at whether the service is ready.
const READY_INTERVAL: Duration = Duration::from_millis(200);

/// Slots of the embedded upstream.
const CARRY: Slots = Slots(64);

/// Connections of the embedded upstream.
const CONNECTIONS: Connections = Connections(2000);

/// Name of the embedded service.
const SERVICE: &str = "local";

/// Runs a control host, a balancer and an agent until `stop` changes.
pub async fn run(args: LocalArgs, registry: &Registry, stop: watch::Receiver<bool>) -> Result<()> {
    let upstream = match args.upstream {
        Some(address) => address,
        None => Upstream::start("the stand-in upstream", (Ipv4Addr::LOCALHOST, 0).into())?.address,
    };
    // The parts outlive the agent, which needs them to drain.
    let (parts_stop_tx, parts_stop) = watch::channel(false);
    let control = control::run(control_settings(&args), registry, parts_stop.clone());
    let balancer = balancer::run(balancer_settings(&args), registry, parts_stop);
    let agent = async {
        let operator = Operator::new(Http::default(), vec![args.control]);
        configure(&operator, args.listen).await?;
        actix_rt::spawn(announce_ready(operator, args.listen));
        let identity = ServiceCertificate::self_signed(vec![SERVICE.into(), "localhost".into()])?;
        agent::run(agent_settings(&args, upstream), identity, registry, stop).await?;
        parts_stop_tx.send_replace(true);
        Ok::<(), Error>(())
    };
    let control = async { Ok(control.await?) };
    let balancer = async { Ok(balancer.await?) };
    tokio::try_join!(control, balancer, agent)?;
    Ok(())
}

fn control_settings(args: &LocalArgs) -> control::Settings {
    control::Settings {
        listen: args.control,
        data_dir: args.data_dir.clone(),
        group: [args.control].into(),
        ..control::Settings::default()
    }
}

fn balancer_settings(args: &LocalArgs) -> balancer::Settings {
    let (host, data_centre) = place();
    balancer::Settings {
        // The agent in the same process has already ended.
        shutdown_grace_period: Duration::ZERO,
        ..balancer::Settings::new(host, data_centre, vec![args.control])
    }
}

fn agent_settings(args: &LocalArgs, upstream: SocketAddr) -> agent::Settings {
    let (host, data_centre) = place();
    agent::Settings::new(host, data_centre, vec![args.control], service(), upstream)
}

fn place() -> (types::HostName, types::DataCentre) {
    (fixed(SERVICE), fixed(SERVICE))
}

fn service() -> ServiceName {
    fixed(SERVICE)
}

/// Reads a name that is a constant of this module.
fn fixed<T: std::str::FromStr<Err = types::Error>>(text: &'static str) -> T {
    text.parse().expect("constant names are valid")
}

/// Logs when the service gets its first flows.
async fn announce_ready(operator: Operator, address: SocketAddr) {
    while !is_ready(&operator).await {
        sleep(READY_INTERVAL).await;
    }
    log::info!(event = "ready", service:% = address; "try: limpetctl call https://{address}/ --insecure");
}

/// Whether an upstream has a share of new flows.
async fn is_ready(operator: &Operator) -> bool {
    let deadline = Instant::now() + CONTROL_ANSWER;
    let reply = operator.query("/v1/query", &Query::Status, deadline).await;
    match reply {
        Ok(QueryReply::Status(status)) => {
            let mut upstreams = status.services.iter().flat_map(|s| &s.upstreams);
            upstreams.any(|upstream| upstream.share > Share(0))
        }
        _ => false,
    }
}

/// Creates the embedded service, unless an earlier run did.
async fn configure(operator: &Operator, address: SocketAddr) -> Result<()> {
    let created = change(
        operator,
        Revision(0),
        Change::CreateService {
            name: service(),
            address,
        },
    );
    let base = match created.await? {
        Answer::Accepted(revision) => revision,
        // An earlier run has created it.
        Answer::Conflict(_) => return Ok(()),
        refused @ Answer::Refused(_) => return Err(Error::Local(Box::new(refused))),
    };
    let target = Target {
        carry: CARRY,
        connections: CONNECTIONS,
        ..Target::default()
    };
    let set = Change::SetTarget {
        service: service(),
        class: ClassName::default(),
        target,
    };
    match change(operator, base, set).await? {
        Answer::Accepted(_) => Ok(()),
        answer => Err(Error::Local(Box::new(answer))),
    }
}

async fn change(operator: &Operator, base: Revision, change: Change) -> Result<Answer> {
    let req = ChangeRequest {
        id: ChangeId::generate(),
        author: fixed("limpetd"),
        base,
        change,
    };
    match operator.change(&req, Instant::now() + CONTROL_ANSWER).await {
        ChangeReply::Final(answer) => Ok(answer),
        _ => Err(Error::LocalControl),
    }
}
