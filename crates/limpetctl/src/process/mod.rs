//! Process-wide state: settings, output and exit status.

mod exit;
mod output;
mod parse;
mod settings;

pub use exit::Exit;
pub use output::{Format, Output, Report, print_stderr, table};
pub use parse::{Body, RuleArg};
pub use settings::{
    CallArgs, ChangeFlags, CheckArgs, Command, ControlCommand, ExplainArgs, GlobalFlags,
    KeyCommand, RoutesCommand, STDIN_NAME, ServiceCommand, Settings, TargetCommand,
    UpstreamCommand, exit_with_usage_error,
};
