//! The audit trail.

use std::time::Duration;

use config::{AuditRecord, ChangeSummary};
use serde::Serialize;
use types::{Answer, UnixMillis};
use wire::request::{Query, QueryReply};

use super::Context;
use crate::{
    error::{Error, Result},
    process::{Exit, Report, table},
};

/// Records of the audit trail.
#[derive(Debug, Serialize)]
struct AuditView {
    records: Vec<RecordView>,
}

/// One record of the audit trail.
#[derive(Debug, Serialize)]
struct RecordView {
    index: u64,
    /// Time of the log entry in RFC 3339.
    at: String,
    author: String,
    change_id: String,
    base: u64,
    change: String,
    /// `accepted`, `conflict` or `refused`.
    answer: &'static str,
    /// The accepted revision, the conflicting revision or the reason of a refusal.
    detail: String,
    resend: bool,
}

impl From<&AuditRecord> for RecordView {
    fn from(record: &AuditRecord) -> Self {
        let (answer, detail) = describe_answer(&record.answer);
        RecordView {
            index: record.index.0,
            at: format_time(record.at),
            author: record.author.to_string(),
            change_id: record.id.to_string(),
            base: record.base.0,
            change: describe_change(&record.change),
            answer,
            detail,
            resend: record.resend,
        }
    }
}

impl Report for AuditView {
    fn text(&self) -> String {
        let head = [
            "INDEX",
            "AT",
            "AUTHOR",
            "CHANGE ID",
            "BASE",
            "CHANGE",
            "ANSWER",
            "RESEND",
        ];
        table(
            &head,
            self.records.iter().map(|r| {
                [
                    r.index.to_string(),
                    r.at.clone(),
                    r.author.clone(),
                    r.change_id.clone(),
                    r.base.to_string(),
                    r.change.clone(),
                    format!("{}: {}", r.answer, r.detail),
                    if r.resend { "yes" } else { "no" }.to_owned(),
                ]
            }),
        )
    }
}

pub async fn run(cx: &Context<'_>, limit: u32) -> Result<Exit> {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let QueryReply::Audit(records) = cx.query(&Query::Audit { limit }).await? else {
        return Err(Error::UnexpectedReply);
    };
    cx.show_result(&AuditView {
        records: records.iter().map(RecordView::from).collect(),
    })
}

fn format_time(at: UnixMillis) -> String {
    let at = std::time::UNIX_EPOCH.checked_add(Duration::from_millis(at.0));
    at.map_or_else(String::new, |at| {
        humantime::format_rfc3339_millis(at).to_string()
    })
}

fn describe_answer(answer: &Answer) -> (&'static str, String) {
    match answer {
        Answer::Accepted(revision) => ("accepted", format!("revision {revision}")),
        Answer::Conflict(c) => ("conflict", format!("revision {} by {}", c.winner, c.author)),
        Answer::Refused(refusal) => ("refused", refusal.to_string()),
    }
}

fn describe_change(change: &ChangeSummary) -> String {
    match change {
        ChangeSummary::CreateService(name, address) => {
            format!("create service {name} at {address}")
        }
        ChangeSummary::DeleteService(name) => format!("delete service {name}"),
        ChangeSummary::SetTarget(service, class, t) => format!(
            "set target {service} {class}: carry {}, connections {}, leave within {} ms, prefix {}{}",
            t.carry,
            t.connections,
            t.leave_within.as_millis(),
            t.path_prefix,
            t.hedge_budget
                .map_or_else(String::new, |budget| format!(", hedge budget {budget}%"))
        ),
        ChangeSummary::DeleteTarget(service, class) => format!("delete target {service} {class}"),
        ChangeSummary::SetDrain(host, true) => format!("drain {host}"),
        ChangeSummary::SetDrain(host, false) => format!("undrain {host}"),
        ChangeSummary::SetEvacuation(data_centre, true) => format!("evacuate {data_centre}"),
        ChangeSummary::SetEvacuation(data_centre, false) => {
            format!("end evacuation of {data_centre}")
        }
        ChangeSummary::AddKey(generation) => format!("add key of generation {generation}"),
        ChangeSummary::ActivateKey => "activate key".to_owned(),
        ChangeSummary::ReplaceRoutes(number, rules) => {
            format!("routing set {number}: {rules} rules")
        }
        ChangeSummary::Group(change) => format!("control group: {change}"),
    }
}
