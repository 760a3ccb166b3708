//! The check of a configuration document before it is sent.

use std::{
    collections::BTreeSet,
    io::{self, Read, stdin},
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::time::sleep;
use bytes::Bytes;
use document::{
    CONFIG_PATH, CheckReport, Document, EVACUATIONS_PATH, Finding, FindingCode, InForce,
};
use http::{Method, StatusCode};
use net::send_request;
use serde::{Deserialize, de::DeserializeOwned};
use types::{DataCentre, ServiceName};

use crate::{
    error::Result,
    process::{CheckArgs, Exit, Format, Output, Report, STDIN_NAME, table},
};

/// Longest answer that is read. A document of the largest allowed number of routes has
/// about 4 MB.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Time after which a request that was answered with 503 is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Report for CheckReport {
    fn text(&self) -> String {
        let kinds = [
            ("error", &self.errors),
            ("warning", &self.warnings),
            ("note", &self.notes),
        ];
        let findings = kinds
            .into_iter()
            .flat_map(|(kind, findings)| findings.iter().map(move |finding| (kind, finding)));
        let changes = self
            .changes
            .iter()
            .map(|change| ("change", &change.finding));
        let rows: Vec<_> = findings
            .chain(changes)
            .map(|(kind, finding)| [kind, &finding.path, &finding.message].map(str::to_owned))
            .collect();
        let counts = [
            (self.errors.len(), "error"),
            (self.warnings.len(), "warning"),
            (self.notes.len(), "note"),
            (self.changes.len(), "change"),
        ];
        let counts = counts.map(|(count, kind)| {
            let plural = if count == 1 { "" } else { "s" };
            format!("{count} {kind}{plural}")
        });
        let counts = counts.join(", ");
        if rows.is_empty() {
            return counts;
        }
        let table = table(&["KIND", "PATH", "MESSAGE"], rows);
        format!("{table}\n{counts}")
    }
}

/// Checks a document, and compares it if a control host is named. The exit status is 2
/// after an error and 1 after a warning.
pub async fn run(args: &CheckArgs, out: Output, deadline: Instant) -> Result<Exit> {
    let out = Output {
        format: if args.json { Format::Json } else { out.format },
    };
    let report = match read_document(args) {
        Ok(text) => check(&text, args.against, deadline).await,
        Err(e) => {
            let message = format!("cannot read {}: {e}", args.file.display());
            let error = Finding::new(FindingCode::UnreadableFile, "", message);
            CheckReport {
                errors: vec![error],
                ..CheckReport::default()
            }
        }
    };
    out.write_result(&report)?;
    Ok(if !report.errors.is_empty() {
        Exit::Usage
    } else if !report.warnings.is_empty() {
        Exit::Failed
    } else {
        Exit::Done
    })
}

async fn check(text: &Bytes, against: Option<SocketAddr>, deadline: Instant) -> CheckReport {
    let (document, mut report) = document::check(text);
    if let (Some(document), Some(control)) = (document, against) {
        match fetch_in_force(control, deadline).await {
            Ok(in_force) => document::compare(&document, &in_force, &mut report),
            Err(reason) => {
                let message = format!(
                    "{reason}; the document itself was checked, but not compared with the version \
                     in force"
                );
                let error = Finding::new(FindingCode::NoComparison, "", message);
                report.errors.push(error);
            }
        }
    }
    report
}

fn read_document(args: &CheckArgs) -> io::Result<Bytes> {
    if args.file.as_os_str() == STDIN_NAME {
        let mut text = Vec::new();
        stdin().read_to_end(&mut text)?;
        return Ok(text.into());
    }
    Ok(std::fs::read(&args.file)?.into())
}

/// The answer on all evacuations.
#[derive(Deserialize)]
struct Evacuations {
    evacuated: Vec<DataCentre>,
}

/// The answer on one evacuation.
#[derive(Deserialize)]
struct Evacuation {
    services: BTreeSet<ServiceName>,
}

/// Asks a control host for the document in force and the effect of the evacuations;
/// returns a reason if it does not answer.
async fn fetch_in_force(control: SocketAddr, deadline: Instant) -> Result<InForce, String> {
    let host = ControlHost { control, deadline };
    let document = match host.get(CONFIG_PATH).await? {
        Some(text) => {
            let document: Document<String> = document::read(&text).map_err(|e| {
                format!("control host {control}: the document in force is not understood: {e}")
            })?;
            Some(document)
        }
        None => None,
    };
    let evacuations: Option<Evacuations> = host.get_json(EVACUATIONS_PATH).await?;
    let evacuated = evacuations.and_then(|evacuations| evacuations.evacuated.into_iter().next());
    let mut in_force = InForce {
        document,
        ..InForce::default()
    };
    // The answer for one evacuated data centre takes all the others into account.
    if let Some(data_centre) = evacuated {
        let path = format!("{EVACUATIONS_PATH}/{data_centre}");
        let evacuation: Option<Evacuation> = host.get_json(&path).await?;
        in_force.without_upstreams = evacuation.map(|e| e.services).unwrap_or_default();
    }
    Ok(in_force)
}

/// A control host that is asked.
struct ControlHost {
    control: SocketAddr,
    deadline: Instant,
}

impl ControlHost {
    /// Sends a request until it is answered with another status than 503; `None` if the
    /// host has nothing at the path.
    async fn get(&self, path: &str) -> Result<Option<Bytes>, String> {
        let control = self.control;
        loop {
            let body = Bytes::new();
            let answer = send_request(
                control,
                Method::GET,
                path,
                body,
                MAX_ANSWER_BYTES,
                self.deadline,
            );
            let (status, body) = answer
                .await
                .map_err(|e| format!("control host {control} was not reached: {e}"))?;
            match status {
                StatusCode::OK => return Ok(Some(body)),
                StatusCode::NOT_FOUND => return Ok(None),
                StatusCode::SERVICE_UNAVAILABLE if Instant::now() + RETRY_DELAY < self.deadline => {
                    sleep(RETRY_DELAY).await;
                }
                StatusCode::TEMPORARY_REDIRECT => {
                    return Err(format!("{control} does not store the configuration"));
                }
                status => {
                    return Err(format!(
                        "control host {control} answered {path} with {status}"
                    ));
                }
            }
        }
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, String> {
        let Some(body) = self.get(path).await? else {
            return Ok(None);
        };
        let control = self.control;
        let reply = serde_json::from_slice(&body)
            .map_err(|e| format!("control host {control}: {path} is not understood: {e}"))?;
        Ok(Some(reply))
    }
}
