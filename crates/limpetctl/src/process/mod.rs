//! What lives as long as the process: settings, output and exit status.

mod exit;
mod output;
mod parse;
mod settings;

pub use exit::Exit;
pub use output::{Format, Output, Report, message, table};
pub use parse::{Body, RuleArg};
pub use settings::{
    CallArgs, ChangeFlags, Command, ControlCommand, ExplainArgs, Global, KeyCommand, RoutesCommand,
    ServiceCommand, Settings, TargetCommand, UpstreamCommand, usage,
};
