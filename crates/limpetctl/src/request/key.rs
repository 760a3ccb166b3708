//! Keys of connection ids.

use rand::Rng;
use serde::Serialize;
use types::{Change, CidKey, KeyGeneration, Revision};
use wire::request::KeysReport;

use super::{
    Context,
    change::{Ask, Outcome, Spread, explain},
    resend::words,
};
use crate::{
    error::Result,
    process::{ChangeFlags, Exit, KeyCommand, Report, message},
};

/// Generations of the keys.
#[derive(Debug, Serialize)]
struct KeysView {
    current: Option<u8>,
    /// Generation of a key that waits for its activation.
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
        KeyCommand::Show => cx.show(&KeysView::from(cx.keys().await?)),
        KeyCommand::Rotate { flags } => rotate(cx, flags).await,
    }
}

/// Takes the rotation on from where it is.
async fn rotate(cx: &Context<'_>, flags: &ChangeFlags) -> Result<Exit> {
    // Only the activation can be sent again by its id.
    if let (Some(_), Some(base)) = (flags.change_id, flags.base) {
        return Ok(cx.change(activation(flags, base)).await);
    }
    let Some(keys) = cx.keys().await? else {
        return Ok(cx
            .change(addition(flags, KeyGeneration(0), Revision(0)))
            .await);
    };
    let base = flags.base.unwrap_or(keys.revision);
    if keys.pending.is_some() {
        return Ok(activate(cx, flags, base).await);
    }
    let ask = addition(flags, keys.current.next(), base);
    let view = cx.send(&ask).await;
    match view.outcome {
        Outcome::Accepted { revision, .. } => {
            message(format_args!(
                "key of generation {} added at revision {revision}; waiting until it is in force",
                keys.current.next()
            ));
            Ok(activate(cx, flags, Revision(revision)).await)
        }
        _ => Ok(cx.show_change(&view)),
    }
}

/// Activates the key that was added in revision `added`.
///
/// A node without the key would drop packets whose ids it made, so nothing
/// is activated before the key is in force on every live node.
async fn activate(cx: &Context<'_>, flags: &ChangeFlags, added: Revision) -> Exit {
    let spread = cx.spread(added).await;
    explain(added, &spread);
    if let Spread::InForce = spread {
        let ask = activation(flags, added);
        let view = cx.send(&ask).await;
        if !matches!(view.outcome, Outcome::Unavailable) {
            return cx.finish(&ask, view).await;
        }
    }
    let resume = cx.command_line(&rotate_words(flags));
    message(format_args!(
        "limpetctl: the new key is not activated yet; go on by: {resume}"
    ));
    let view = Paused {
        outcome: "key_added",
        revision: added.0,
        activated: false,
        resume,
    };
    cx.outcome(&view, Exit::Pending)
}

fn rotate_words(flags: &ChangeFlags) -> Vec<String> {
    let mut words = words!["key", "rotate"];
    words.extend(flags.wait.then(|| "--wait".to_owned()));
    words
}

fn addition(flags: &ChangeFlags, generation: KeyGeneration, base: Revision) -> Ask<'_> {
    let key = CidKey {
        generation,
        secret: rand::rng().random(),
    };
    Ask {
        change: Change::AddKey { key },
        flags,
        base,
        words: rotate_words(flags),
    }
}

fn activation(flags: &ChangeFlags, base: Revision) -> Ask<'_> {
    Ask {
        change: Change::ActivateKey,
        flags,
        base,
        words: words!["key", "rotate"],
    }
}

/// A rotation that waits for nodes.
#[derive(Debug, Serialize)]
struct Paused {
    outcome: &'static str,
    revision: u64,
    activated: bool,
    resume: String,
}

impl Report for Paused {
    fn text(&self) -> String {
        format!("key added at revision {}, not activated", self.revision)
    }
}
