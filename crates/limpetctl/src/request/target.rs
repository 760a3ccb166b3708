//! Targets of classes of work.

use types::{Change, Connections, HedgeBudget, Slots, Target};

use super::{Context, change::Submission, resend::command_args, service::service_base};
use crate::{
    error::Result,
    process::{Exit, TargetCommand},
};

pub async fn run(cx: &Context<'_>, command: &TargetCommand) -> Result<Exit> {
    let submission = match command {
        TargetCommand::Set {
            service,
            class,
            carry,
            connections,
            leave_within,
            path_prefix,
            hedge_budget,
            flags,
        } => Submission {
            change: Change::SetTarget {
                service: service.clone(),
                class: class.clone(),
                target: Target {
                    carry: Slots(*carry),
                    connections: Connections(*connections),
                    leave_within: *leave_within,
                    path_prefix: path_prefix.clone(),
                    hedge_budget: *hedge_budget,
                },
            },
            flags,
            base: service_base(cx, flags, service).await?,
            command_args: with_hedge_budget(
                command_args![
                    "target",
                    "set",
                    service,
                    class,
                    "--carry",
                    carry,
                    "--connections",
                    connections,
                    "--leave-within",
                    format!("{}ms", leave_within.as_millis()),
                    "--path-prefix",
                    path_prefix,
                ],
                *hedge_budget,
            ),
        },
        TargetCommand::Delete {
            service,
            class,
            flags,
        } => Submission {
            change: Change::DeleteTarget {
                service: service.clone(),
                class: class.clone(),
            },
            flags,
            base: service_base(cx, flags, service).await?,
            command_args: command_args!["target", "delete", service, class],
        },
    };
    Ok(cx.submit_and_show(submission).await)
}

fn with_hedge_budget(mut args: Vec<String>, budget: Option<HedgeBudget>) -> Vec<String> {
    if let Some(budget) = budget {
        args.extend(command_args!["--hedge-budget", budget]);
    }
    args
}
