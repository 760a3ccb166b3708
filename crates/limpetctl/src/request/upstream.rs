//! Drains of upstreams.

use types::Change;

use super::{Context, change::Ask, resend::words};
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
    let ask = Ask {
        change: Change::SetDrain {
            host: host.clone(),
            drain,
        },
        flags,
        base: cx.base(flags, read).await?,
        words: words!["upstream", if drain { "drain" } else { "undrain" }, host],
    };
    Ok(cx.change(ask).await)
}
