//! The task that reads what the upstream reports of itself.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use admit::LoadReport;
use serde::Deserialize;
use tokio::time::{sleep_until, timeout_at};
use types::{ClassName, Slots};

use super::{AdmissionCommand, AdmissionHandle};

/// Time between two readings. A report is dropped after
/// [`admit::Settings::report_lifetime`], so that several may fail in between.
const INTERVAL: Duration = Duration::from_millis(500);

/// Largest report in bytes.
const MAX_REPORT: usize = 64 << 10;

/// Load of one class, as the upstream's endpoint reports it in JSON:
/// `{"default": {"slots": 7, "in_flight": 3}}`.
#[derive(Debug, Clone, Copy, Deserialize)]
struct Reported {
    slots: Slots,
    in_flight: Slots,
}

/// Reads the load endpoint of the upstream.
pub struct LoadTask {
    url: String,
    admission: AdmissionHandle,
    client: awc::Client,
}

impl LoadTask {
    /// Creates the task for the endpoint at `path` of the upstream.
    #[must_use]
    pub fn new(upstream: SocketAddr, path: &str, admission: AdmissionHandle) -> Self {
        LoadTask {
            url: format!("http://{upstream}{path}"),
            admission,
            client: awc::Client::builder()
                .disable_timeout()
                .disable_redirects()
                .finish(),
        }
    }

    /// Runs until it is aborted.
    pub async fn run(self) {
        loop {
            let next = Instant::now() + INTERVAL;
            match timeout_at(next.into(), self.read()).await {
                Ok(Some(report)) => self.pass_on(report),
                // The admission drops a report that is not renewed.
                Ok(None) | Err(_) => log::debug!(event = "load_report_failed"; "no load report"),
            }
            sleep_until(next.into()).await;
        }
    }

    async fn read(&self) -> Option<BTreeMap<ClassName, Reported>> {
        let mut response = self.client.get(&self.url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(MAX_REPORT).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    fn pass_on(&self, report: BTreeMap<ClassName, Reported>) {
        for (class, Reported { slots, in_flight }) in report {
            let report = LoadReport { slots, in_flight };
            self.admission.send(AdmissionCommand::Report(class, report));
        }
    }
}
