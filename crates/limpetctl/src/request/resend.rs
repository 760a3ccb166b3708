//! The command line that sends a change again.

use types::{ChangeId, Revision};

use super::Context;
use crate::process::{ChangeFlags, Format};

/// Identity of a change: what a resend has to repeat besides the change.
#[derive(Debug, Clone, Copy)]
pub struct Identity {
    pub id: ChangeId,
    pub base: Revision,
}

impl Context<'_> {
    /// The command line of `words` with the flags that every command has.
    ///
    /// Settings from the environment are written out, so that the line means
    /// the same in another shell.
    pub(super) fn command_line(&self, words: &[String]) -> String {
        let control: Vec<_> = self
            .global
            .control
            .iter()
            .map(ToString::to_string)
            .collect();
        let mut line = vec!["limpetctl".to_owned()];
        line.extend(["--control".to_owned(), control.join(",")]);
        if let Some(operator) = &self.global.operator {
            line.extend(["--operator".to_owned(), operator.to_string()]);
        }
        if self.global.output == Format::Json {
            line.extend(["--output".to_owned(), "json".to_owned()]);
        }
        if let Some(deadline) = self.global.deadline {
            let deadline = humantime::format_duration(deadline).to_string();
            line.extend(["--deadline".to_owned(), deadline.replace(' ', "")]);
        }
        for (flag, file) in self.global.tls() {
            line.extend(file.map(|file| format!("{flag}={}", file.display())));
        }
        line.extend_from_slice(words);
        // No value can hold a zero byte, the one thing that cannot be quoted.
        shlex::try_join(line.iter().map(String::as_str)).unwrap_or_else(|_| line.join(" "))
    }

    /// The command line that sends the change of `words` again.
    pub(super) fn resend_line(
        &self,
        words: &[String],
        flags: &ChangeFlags,
        identity: Identity,
    ) -> String {
        let mut words = words.to_vec();
        words.extend(["--change-id".to_owned(), identity.id.to_string()]);
        words.extend(["--base".to_owned(), identity.base.to_string()]);
        words.extend(flags.wait.then(|| "--wait".to_owned()));
        self.command_line(&words)
    }
}

/// Words of a command line.
macro_rules! words {
    ($($word:expr),* $(,)?) => { vec![$($word.to_string()),*] };
}

pub(super) use words;
