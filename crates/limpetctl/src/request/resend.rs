//! The command line that sends a change again.

use types::{ChangeId, Revision};

use super::Context;
use crate::process::{ChangeFlags, Format};

/// Identity of a change, which a resend must repeat so that the change is made
/// at most once.
#[derive(Debug, Clone, Copy)]
pub struct ChangeIdentity {
    pub id: ChangeId,
    pub base: Revision,
}

impl Context<'_> {
    /// The command line of `command_args` with the global flags.
    ///
    /// Settings from the environment are written as flags, so that the line has
    /// the same effect in another shell.
    pub(super) fn command_line(&self, command_args: &[String]) -> String {
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
        for (flag, file) in self.global.tls_files() {
            line.extend(file.map(|file| format!("{flag}={}", file.display())));
        }
        line.extend_from_slice(command_args);
        // Quoting fails only on a zero byte, which no value can contain.
        shlex::try_join(line.iter().map(String::as_str)).unwrap_or_else(|_| line.join(" "))
    }

    /// The command line that resends the change of `command_args`.
    pub(super) fn resend_command_line(
        &self,
        command_args: &[String],
        flags: &ChangeFlags,
        identity: ChangeIdentity,
    ) -> String {
        let mut command_args = command_args.to_vec();
        command_args.extend(["--change-id".to_owned(), identity.id.to_string()]);
        command_args.extend(["--base".to_owned(), identity.base.to_string()]);
        command_args.extend(flags.wait.then(|| "--wait".to_owned()));
        self.command_line(&command_args)
    }
}

/// Builds the arguments of a command line as strings.
macro_rules! command_args {
    ($($word:expr),* $(,)?) => { vec![$($word.to_string()),*] };
}

pub(super) use command_args;
