//! One command.

mod audit;
mod call;
mod change;
mod control;
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
use client::{Http, Operator};
use serde::Serialize;
use wire::request::{Query, QueryReply};

use crate::{
    error::{Error, Result},
    process::{Command, Exit, Global, Output, Report, Settings, message},
};

/// Time for a command, unless set.
const DEADLINE: Duration = Duration::from_secs(10);

/// Time until a call is answered, unless set.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// What a command works with.
struct Context<'a> {
    global: &'a Global,
    http: Http,
    operator: Operator,
    out: Output,
    deadline: Instant,
}

impl Context<'_> {
    async fn query(&self, query: &Query) -> Result<QueryReply> {
        let reply = self.operator.query("/v1/query", query, self.deadline);
        reply.await.map_err(Error::Query)
    }

    /// Writes the result of a command that changed nothing.
    fn show(&self, report: &impl Report) -> Result<Exit> {
        self.out.result(report)?;
        Ok(Exit::Done)
    }

    /// Writes the outcome of a change.
    ///
    /// A failure to write it must not stand for the outcome, so the exit
    /// status stays that of the change.
    fn outcome(&self, report: &impl Report, exit: Exit) -> Exit {
        if let Err(e) = self.out.result(report) {
            message(format_args!("limpetctl: {e}"));
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
        message(format_args!("limpetctl: {e}"));
        let _ = out.failure(&Failed {
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
        Command::Call(args) => return call::run(args, deadline(CALL_DEADLINE)).await,
        Command::Explain(args) => return explain::run(args, out),
        _ => {}
    }
    let http = Http::new(settings.global.credentials().as_ref());
    let cx = Context {
        global: &settings.global,
        operator: Operator::new(http.clone(), settings.global.control.clone()),
        http,
        out,
        deadline: deadline(DEADLINE),
    };
    match &settings.command {
        Command::Service(command) => service::run(&cx, command).await,
        Command::Target(command) => target::run(&cx, command).await,
        Command::Routes(command) => routes::run(&cx, command).await,
        Command::Upstream(command) => upstream::run(&cx, command).await,
        Command::Key(command) => key::run(&cx, command).await,
        Command::Control(command) => control::run(&cx, command).await,
        Command::Audit { limit } => audit::run(&cx, *limit).await,
        _ => status::run(&cx).await,
    }
}

/// A command failed and nothing was changed.
#[derive(Serialize)]
struct Failed {
    outcome: &'static str,
    reason: String,
}
