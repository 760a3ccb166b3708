//! The task that polls the upstream's load report.

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

/// Time between two fetches. Admission drops a report after
/// [`admit::Settings::report_lifetime`], so several fetches may fail in between.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of the size of a report.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Load of one class in the upstream's JSON report:
/// `{"default": {"slots": 7, "in_flight": 3}}`.
#[derive(Debug, Clone, Copy, Deserialize)]
struct ReportedLoad {
    slots: Slots,
    in_flight: Slots,
}

/// Polls the load report of the upstream.
pub struct LoadTask {
    url: String,
    admission: AdmissionHandle,
    client: awc::Client,
}

impl LoadTask {
    /// Creates the task for the load report at `path` of the upstream.
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
            let fetch_at = Instant::now() + FETCH_INTERVAL;
            match timeout_at(fetch_at.into(), self.fetch_report()).await {
                Ok(Some(report)) => self.send_report(report),
                // Admission drops a report that is not renewed in time.
                Ok(None) | Err(_) => {
                    log::debug!(event = "load_report_failed"; "could not fetch the upstream's load report");
                }
            }
            sleep_until(fetch_at.into()).await;
        }
    }

    async fn fetch_report(&self) -> Option<BTreeMap<ClassName, ReportedLoad>> {
        let mut response = self.client.get(&self.url).send().await.ok()?;
        if !response.status().is_success() {
            return None;
        }
        let body = response.body().limit(MAX_REPORT_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    fn send_report(&self, report: BTreeMap<ClassName, ReportedLoad>) {
        for (class, ReportedLoad { slots, in_flight }) in report {
            let report = LoadReport { slots, in_flight };
            self.admission
                .send(AdmissionCommand::LoadReport(class, report));
        }
    }
}
