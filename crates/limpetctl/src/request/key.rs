//! Keys of connection ids.

use rand::Rng;
use serde::Serialize;
use types::{Change, CidKey, KeyGeneration, Revision};
use wire::request::KeysReport;

use super::{
    Context,
    change::{Outcome, Rollout, Submission, report_lagging},
    resend::command_args,
};
use crate::{
    error::Result,
    process::{ChangeFlags, Exit, KeyCommand, Report, print_stderr},
};

/// Generations of the keys.
#[derive(Debug, Serialize)]
struct KeysView {
    current: Option<u8>,
    /// Generation of a key that is added but not activated.
    pending: Option<u8>,
    revision: u64,
}

impl From<Option<KeysReport>> for KeysView {
    fn from(keys: Option<KeysReport>) -> Self {
        KeysView {
            current: keys.map(|k| k.current.0),
            pending: keys.and_then(|k| k.pending).map(|g| g.0),
            revision: keys.map_or(0, |k| k.revision.0),
        }
    }
}

impl Report for KeysView {
    fn text(&self) -> String {
        let Some(current) = self.current else {
            return "no key yet; `limpetctl key rotate` adds the first".to_owned();
        };
        let pending = self.pending.map_or_else(String::new, |generation| {
            format!(", generation {generation} waits for its activation by `limpetctl key rotate`")
        });
        format!(
            "generation {current} in use{pending}; revision {}",
            self.revision
        )
    }
}

pub async fn run(cx: &Context<'_>, command: &KeyCommand) -> Result<Exit> {
    match command {
        KeyCommand::Show => cx.show_result(&KeysView::from(cx.keys().await?)),
        KeyCommand::Rotate { flags } => rotate(cx, flags).await,
    }
}

/// Continues the rotation from its current state.
async fn rotate(cx: &Context<'_>, flags: &ChangeFlags) -> Result<Exit> {
    // Only the activation can be resent by its change id.
    if let (Some(_), Some(base)) = (flags.change_id, flags.base) {
        return Ok(cx
            .submit_and_show(activate_key_submission(flags, base))
            .await);
    }
    let Some(keys) = cx.keys().await? else {
        return Ok(cx
            .submit_and_show(add_key_submission(flags, KeyGeneration(0), Revision(0)))
            .await);
    };
    let base = flags.base.unwrap_or(keys.revision);
    if keys.pending.is_some() {
        return Ok(activate(cx, flags, base).await);
    }
    let submission = add_key_submission(flags, keys.current.next(), base);
    let view = cx.submit(&submission).await;
    match view.outcome {
        Outcome::Accepted { revision, .. } => {
            print_stderr(format_args!(
                "key of generation {} added at revision {revision}; waiting until it is in force",
                keys.current.next()
            ));
            Ok(activate(cx, flags, Revision(revision)).await)
        }
        _ => Ok(cx.show_change(&view)),
    }
}

/// Activates the key that was added at revision `added`.
///
/// A node without the key drops packets whose connection ids were made with it,
/// so the key is activated only once it is in force on every live node.
async fn activate(cx: &Context<'_>, flags: &ChangeFlags, added: Revision) -> Exit {
    let rollout = cx.wait_until_in_force(added).await;
    report_lagging(added, &rollout);
    if let Rollout::InForce = rollout {
        let submission = activate_key_submission(flags, added);
        let view = cx.submit(&submission).await;
        if !matches!(view.outcome, Outcome::Unavailable) {
            return cx.wait_and_show(&submission, view).await;
        }
    }
    let resume = cx.command_line(&rotate_command_args(flags));
    print_stderr(format_args!(
        "limpetctl: the new key is not activated yet; continue with: {resume}"
    ));
    let view = PausedRotation {
        outcome: "key_added",
        revision: added.0,
        activated: false,
        resume,
    };
    cx.show_outcome(&view, Exit::Pending)
}

fn rotate_command_args(flags: &ChangeFlags) -> Vec<String> {
    let mut command_args = command_args!["key", "rotate"];
    command_args.extend(flags.wait.then(|| "--wait".to_owned()));
    command_args
}

fn add_key_submission(
    flags: &ChangeFlags,
    generation: KeyGeneration,
    base: Revision,
) -> Submission<'_> {
    let key = CidKey {
        generation,
        secret: rand::rng().random(),
    };
    Submission {
        change: Change::AddKey { key },
        flags,
        base,
        command_args: rotate_command_args(flags),
    }
}

fn activate_key_submission(flags: &ChangeFlags, base: Revision) -> Submission<'_> {
    Submission {
        change: Change::ActivateKey,
        flags,
        base,
        command_args: command_args!["key", "rotate"],
    }
}

/// A rotation whose key is added but not activated.
#[derive(Debug, Serialize)]
struct PausedRotation {
    outcome: &'static str,
    revision: u64,
    activated: bool,
    resume: String,
}

impl Report for PausedRotation {
    fn text(&self) -> String {
        format!("key added at revision {}, not activated", self.revision)
    }
}
