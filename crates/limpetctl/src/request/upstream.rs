//! Draining of upstreams.

use types::Change;

use super::{Context, change::Submission, resend::command_args};
use crate::{
    error::Result,
    process::{Exit, UpstreamCommand},
};

pub async fn run(cx: &Context<'_>, command: &UpstreamCommand) -> Result<Exit> {
    let (host, flags, drain) = match command {
        UpstreamCommand::Drain { host, flags } => (host, flags, true),
        UpstreamCommand::Undrain { host, flags } => (host, flags, false),
    };
    let read = async { Ok(cx.drain_mark(host).await?.map(|mark| mark.revision)) };
    let submission = Submission {
        change: Change::SetDrain {
            host: host.clone(),
            drain,
        },
        flags,
        base: cx.resolve_base(flags, read).await?,
        command_args: command_args!["upstream", if drain { "drain" } else { "undrain" }, host],
    };
    Ok(cx.submit_and_show(submission).await)
}
