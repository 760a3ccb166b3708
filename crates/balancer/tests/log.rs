//! Rate limit of log lines about dropped datagrams. The test has a file of its
//! own because a process has only one logger.

use std::{
    net::{Ipv4Addr, SocketAddr, UdpSocket},
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use balancer::{Datapath, FabricIngress, Metrics, SyncChannels, bind};
use client::NodeAnnouncement;
use log::{LevelFilter, Log, Metadata, Record};
use prometheus::Registry;
use tokio::sync::{mpsc, watch};

/// Number of warnings logged so far.
static WARNINGS: AtomicUsize = AtomicUsize::new(0);

struct WarningCounter;

impl Log for WarningCounter {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        if record.level() == log::Level::Warn {
            WARNINGS.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

/// Guards against a flood of invalid datagrams that fills the log.
#[actix_rt::test]
async fn drops_are_logged_at_most_once_a_second() {
    log::set_logger(&WarningCounter).unwrap();
    log::set_max_level(LevelFilter::Warn);
    let any: SocketAddr = (Ipv4Addr::LOCALHOST, 0).into();
    let ingress = FabricIngress::open(any).unwrap();
    let address = ingress.local_addr().unwrap();
    let (_steps, steps) = mpsc::channel(1);
    let (report, _) = watch::channel(NodeAnnouncement::default());
    let (_stop, stop) = watch::channel(false);
    let metrics = Metrics::new(&Registry::new()).unwrap();
    let channels = SyncChannels { steps, report };
    let datapath = Datapath::new(
        ingress,
        bind(any).unwrap(),
        channels,
        metrics,
        Duration::ZERO,
    );
    actix_rt::spawn(datapath.run(stop));

    let started_at = Instant::now();
    let sender = UdpSocket::bind(any).unwrap();
    while started_at.elapsed() < Duration::from_millis(1500) {
        for _ in 0..20 {
            sender.send_to(b"no prefix", address).unwrap();
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    let (lines, seconds) = (
        WARNINGS.load(Ordering::Relaxed),
        started_at.elapsed().as_secs(),
    );
    let seconds = usize::try_from(seconds).unwrap();
    assert!((1..=seconds + 1).contains(&lines), "{lines} in {seconds} s");
}
