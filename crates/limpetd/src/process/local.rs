//! All roles in one process, to try the system out and for a small site.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use agent::ServiceCertificate;
use client::{HttpClient, OperatorClient};
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

/// Timeout for an answer of the embedded control host.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two status queries while the service is not ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Slots of the local upstream.
const UPSTREAM_SLOTS: Slots = Slots(64);

/// Maximum number of open connections of the local upstream.
const MAX_UPSTREAM_CONNECTIONS: Connections = Connections(2000);

/// Name of the local service, its host and its data centre.
const SERVICE_NAME: &str = "local";

/// Runs a control host, a balancer and an agent until `stop` is set.
pub async fn run(args: LocalArgs, registry: &Registry, stop: watch::Receiver<bool>) -> Result<()> {
    let upstream = match args.upstream {
        Some(address) => address,
        None => Upstream::start("the stand-in upstream", (Ipv4Addr::LOCALHOST, 0).into())?.address,
    };
    // The control host and the balancer stop after the agent, which needs both
    // of them to drain.
    let (site_stop_tx, site_stop) = watch::channel(false);
    let control = control::run(control_settings(&args), registry, site_stop.clone());
    let balancer = balancer::run(balancer_settings(&args), registry, site_stop);
    let agent = async {
        let operator = OperatorClient::new(HttpClient::default(), vec![args.control]);
        create_service(&operator, args.listen).await?;
        actix_rt::spawn(log_when_ready(operator, args.listen));
        let certificate =
            ServiceCertificate::self_signed(vec![SERVICE_NAME.into(), "localhost".into()])?;
        agent::run(agent_settings(&args, upstream), certificate, registry, stop).await?;
        site_stop_tx.send_replace(true);
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
        initial_group: [args.control].into(),
        ..control::Settings::default()
    }
}

fn balancer_settings(args: &LocalArgs) -> balancer::Settings {
    let (host, data_centre) = host_and_data_centre();
    balancer::Settings {
        // The agent in the same process, the only one, has already stopped.
        shutdown_grace_period: Duration::ZERO,
        ..balancer::Settings::new(host, data_centre, vec![args.control])
    }
}

fn agent_settings(args: &LocalArgs, upstream: SocketAddr) -> agent::Settings {
    let (host, data_centre) = host_and_data_centre();
    agent::Settings::new(
        host,
        data_centre,
        vec![args.control],
        service_name(),
        upstream,
    )
}

fn host_and_data_centre() -> (types::HostName, types::DataCentre) {
    (parse_constant(SERVICE_NAME), parse_constant(SERVICE_NAME))
}

fn service_name() -> ServiceName {
    parse_constant(SERVICE_NAME)
}

/// Parses a name that is a constant of this module.
fn parse_constant<T: std::str::FromStr<Err = types::Error>>(text: &'static str) -> T {
    text.parse().expect("constant names are valid")
}

/// Waits until the service can take flows, then logs its address.
async fn log_when_ready(operator: OperatorClient, address: SocketAddr) {
    while !is_ready(&operator).await {
        sleep(READY_POLL_INTERVAL).await;
    }
    log::info!(event = "ready", service:% = address; "local service is ready; try: limpetctl call https://{address}/ --insecure");
}

/// Whether the service has an upstream with a share above zero, that is, one
/// that gets new flows.
async fn is_ready(operator: &OperatorClient) -> bool {
    let deadline = Instant::now() + CONTROL_TIMEOUT;
    let reply = operator.query("/v1/query", &Query::Status, deadline).await;
    match reply {
        Ok(QueryReply::Status(status)) => {
            let mut upstreams = status.services.iter().flat_map(|s| &s.upstreams);
            upstreams.any(|upstream| upstream.share > Share(0))
        }
        _ => false,
    }
}

/// Creates the local service and its target, unless the service is already in
/// the data folder from an earlier run.
async fn create_service(operator: &OperatorClient, address: SocketAddr) -> Result<()> {
    let created = send_change(
        operator,
        Revision(0),
        Change::CreateService {
            name: service_name(),
            address,
        },
    );
    let base = match created.await? {
        Answer::Accepted(revision) => revision,
        // The service already exists from an earlier run.
        Answer::Conflict(_) => return Ok(()),
        rejected @ Answer::Refused(_) => {
            return Err(Error::LocalServiceRejected(Box::new(rejected)));
        }
    };
    let target = Target {
        carry: UPSTREAM_SLOTS,
        connections: MAX_UPSTREAM_CONNECTIONS,
        ..Target::default()
    };
    let set_target = Change::SetTarget {
        service: service_name(),
        class: ClassName::default(),
        target,
    };
    match send_change(operator, base, set_target).await? {
        Answer::Accepted(_) => Ok(()),
        answer => Err(Error::LocalServiceRejected(Box::new(answer))),
    }
}

async fn send_change(operator: &OperatorClient, base: Revision, change: Change) -> Result<Answer> {
    let req = ChangeRequest {
        id: ChangeId::generate(),
        author: parse_constant("limpetd"),
        base,
        change,
    };
    match operator
        .change(&req, Instant::now() + CONTROL_TIMEOUT)
        .await
    {
        ChangeReply::Final(answer) => Ok(answer),
        _ => Err(Error::LocalControlTimeout),
    }
}
