//! Evacuation of data centres.

use types::{Change, DataCentre};

use super::{
    Context,
    change::{Outcome, Submission},
    resend::command_args,
};
use crate::{
    error::Result,
    process::{ChangeFlags, Exit, print_stderr},
    version::join_names,
};

pub async fn run(
    cx: &Context<'_>,
    data_centre: &DataCentre,
    end: bool,
    flags: &ChangeFlags,
) -> Result<Exit> {
    let read = async {
        let marks = cx.evacuations().await?;
        Ok(marks.get(data_centre).map(|mark| mark.revision))
    };
    let mut command_args = command_args!["evacuate", data_centre];
    if end {
        command_args.extend(command_args!["--end"]);
    }
    let submission = Submission {
        change: Change::SetEvacuation {
            data_centre: data_centre.clone(),
            evacuated: !end,
        },
        flags,
        base: cx.resolve_base(flags, read).await?,
        command_args,
    };
    let view = cx.submit(&submission).await;
    if !end && matches!(view.outcome, Outcome::Accepted { .. }) {
        cx.warn_of_evacuation(data_centre).await;
    }
    Ok(cx.wait_and_show(&submission, view).await)
}

impl Context<'_> {
    /// Warns of services that are left without upstreams, and of a data centre without
    /// nodes, whose name may be mistyped. The evacuation is accepted whether the status
    /// can be read or not.
    async fn warn_of_evacuation(&self, data_centre: &DataCentre) {
        let status = match self.status().await {
            Ok(status) => status,
            Err(e) => {
                print_stderr(format_args!(
                    "limpetctl: accepted, but the services without upstreams are unknown: {e}"
                ));
                return;
            }
        };
        if !status.nodes.iter().any(|n| n.data_centre == *data_centre) {
            print_stderr(format_args!(
                "limpetctl: warning: no live node is in data centre {data_centre}"
            ));
        }
        let unserved = &status.evacuation.services_without_upstreams;
        if !unserved.is_empty() {
            print_stderr(format_args!(
                "limpetctl: warning: services without upstreams: {}",
                join_names(unserved)
            ));
        }
    }
}
