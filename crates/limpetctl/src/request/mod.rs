//! The commands.

mod audit;
mod call;
mod change;
mod check;
mod control;
mod evacuate;
mod explain;
mod key;
mod query;
mod resend;
mod routes;
mod service;
mod status;
mod target;
mod upstream;

use std::time::{Duration, Instant};

use clap::CommandFactory;
use client::{HttpClient, OperatorClient};
use serde::Serialize;
use wire::request::{Query, QueryReply};

use crate::{
    error::{Error, Result},
    process::{Command, Exit, GlobalFlags, Output, Report, Settings, print_stderr},
};

/// Time limit of a command without `--deadline`.
const DEFAULT_COMMAND_TIMEOUT: Duration = Duration::from_secs(10);

/// Time limit of a call until its answer begins, without `--deadline`.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings and connections of a command.
struct Context<'a> {
    global: &'a GlobalFlags,
    http: HttpClient,
    operator: OperatorClient,
    out: Output,
    deadline: Instant,
}

impl Context<'_> {
    async fn query(&self, query: &Query) -> Result<QueryReply> {
        let reply = self.operator.query("/v1/query", query, self.deadline);
        reply.await.map_err(Error::Query)
    }

    /// Writes the result of a command that changed nothing.
    fn show_result(&self, report: &impl Report) -> Result<Exit> {
        self.out.write_result(report)?;
        Ok(Exit::Done)
    }

    /// Writes the outcome of a change.
    ///
    /// The exit status stays that of the change even if the output cannot be
    /// written, as it must not report a change that was made as failed.
    fn show_outcome(&self, report: &impl Report, exit: Exit) -> Exit {
        if let Err(e) = self.out.write_result(report) {
            print_stderr(format_args!("limpetctl: {e}"));
        }
        exit
    }
}

/// Runs the command of the settings.
pub async fn run(settings: &Settings) -> Exit {
    let out = Output {
        format: settings.global.output,
    };
    dispatch(settings, out).await.unwrap_or_else(|e| {
        print_stderr(format_args!("limpetctl: {e}"));
        let _ = out.write_failure(&FailureView {
            outcome: "failed",
            reason: e.to_string(),
        });
        Exit::Failed
    })
}

async fn dispatch(settings: &Settings, out: Output) -> Result<Exit> {
    let deadline = |default| Instant::now() + settings.global.deadline.unwrap_or(default);
    match &settings.command {
        Command::Completions { shell } => {
            let mut command = Settings::command();
            clap_complete::generate(*shell, &mut command, "limpetctl", &mut std::io::stdout());
            return Ok(Exit::Done);
        }
        Command::Call(args) => return call::run(args, deadline(DEFAULT_CALL_TIMEOUT)).await,
        Command::Check(args) => {
            return check::run(args, out, deadline(DEFAULT_COMMAND_TIMEOUT)).await;
        }
        Command::Explain(args) => return explain::run(args, out),
        _ => {}
    }
    let http = HttpClient::new(settings.global.credentials().as_ref());
    let cx = Context {
        global: &settings.global,
        operator: OperatorClient::new(http.clone(), settings.global.control.clone()),
        http,
        out,
        deadline: deadline(DEFAULT_COMMAND_TIMEOUT),
    };
    match &settings.command {
        Command::Service(command) => service::run(&cx, command).await,
        Command::Target(command) => target::run(&cx, command).await,
        Command::Routes(command) => routes::run(&cx, command).await,
        Command::Upstream(command) => upstream::run(&cx, command).await,
        Command::Evacuate {
            data_centre,
            end,
            flags,
        } => evacuate::run(&cx, data_centre, *end, flags).await,
        Command::Key(command) => key::run(&cx, command).await,
        Command::Control(command) => control::run(&cx, command).await,
        Command::Audit { limit } => audit::run(&cx, *limit).await,
        _ => status::run(&cx).await,
    }
}

/// A command that failed without a change.
#[derive(Serialize)]
struct FailureView {
    outcome: &'static str,
    reason: String,
}
