//! Targets of classes of work.

use types::{Change, Connections, Slots, Target};

use super::{Context, change::Ask, resend::words, service::service_base};
use crate::{
    error::Result,
    process::{Exit, TargetCommand},
};

pub async fn run(cx: &Context<'_>, command: &TargetCommand) -> Result<Exit> {
    let ask = match command {
        TargetCommand::Set {
            service,
            class,
            carry,
            connections,
            leave_within,
            path_prefix,
            flags,
        } => Ask {
            change: Change::SetTarget {
                service: service.clone(),
                class: class.clone(),
                target: Target {
                    carry: Slots(*carry),
                    connections: Connections(*connections),
                    leave_within: *leave_within,
                    path_prefix: path_prefix.clone(),
                },
            },
            flags,
            base: service_base(cx, flags, service).await?,
            words: words![
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
        },
        TargetCommand::Delete {
            service,
            class,
            flags,
        } => Ask {
            change: Change::DeleteTarget {
                service: service.clone(),
                class: class.clone(),
            },
            flags,
            base: service_base(cx, flags, service).await?,
            words: words!["target", "delete", service, class],
        },
    };
    Ok(cx.change(ask).await)
}
