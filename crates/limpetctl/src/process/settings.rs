//! Settings from flags and environment variables.

use std::{net::SocketAddr, path::PathBuf, time::Duration};

use auth::{CredentialFiles, Credentials};
use clap::{ArgGroup, Args, CommandFactory, Parser, Subcommand, error::ErrorKind, value_parser};
use http::{HeaderName, HeaderValue, Method};
use types::{
    ChangeId, ClassName, DataCentre, HedgeBudget, HostName, MemberId, OperatorName, PathPrefix,
    Revision, RoutingSetNumber, ServiceName,
};
use url::Url;

use super::{Format, exit::EXIT_CODES, parse};

/// The file name that means the standard input.
pub const STDIN_NAME: &str = "-";

/// Command-line tool for operators of limpetplank, and an HTTP/3 client.
///
/// Example: limpetctl --control 192.0.2.1:7100 status
#[derive(Debug, Parser)]
#[command(name = "limpetctl", version, after_help = EXIT_CODES, propagate_version = true)]
pub struct Settings {
    #[command(flatten)]
    pub global: GlobalFlags,
    #[command(subcommand)]
    pub command: Command,
}

/// Flags that every command has.
#[derive(Debug, Clone, Args)]
pub struct GlobalFlags {
    /// Control hosts, for example --control 192.0.2.1:7100,192.0.2.2:7100
    #[arg(long, env = "LIMPET_CONTROL", global = true, value_name = "IP:PORT,…",
        value_delimiter = ',', value_parser = parse::address)]
    pub control: Vec<SocketAddr>,
    /// Output format, for example --output json
    #[arg(
        long,
        env = "LIMPET_OUTPUT",
        global = true,
        value_name = "FORMAT",
        default_value = "table"
    )]
    pub output: Format,
    /// Name of the operator in the audit trail; needed for changes, for example
    /// --operator alice
    #[arg(long, env = "LIMPET_OPERATOR", global = true, value_name = "NAME")]
    pub operator: Option<OperatorName>,
    /// Time limit of the whole command (default 10s), or of a call until its
    /// answer begins (default 5s), for example --deadline 30s
    #[arg(long, env = "LIMPET_DEADLINE", global = true, value_name = "TIME",
        value_parser = parse::deadline)]
    pub deadline: Option<Duration>,
    /// Certificates of the CA of the system in PEM, for mutual TLS with the
    /// control hosts, for example --tls-ca ca.pem; needs the other two --tls
    /// flags
    #[arg(long, env = "LIMPET_TLS_CA", global = true, value_name = "FILE")]
    pub tls_ca: Option<PathBuf>,
    /// Certificate chain of the operator in PEM, for example --tls-certificate
    /// alice.pem
    #[arg(
        long,
        env = "LIMPET_TLS_CERTIFICATE",
        global = true,
        value_name = "FILE"
    )]
    pub tls_certificate: Option<PathBuf>,
    /// Private key of the operator's certificate in PEM, for example --tls-key
    /// alice.key
    #[arg(long, env = "LIMPET_TLS_KEY", global = true, value_name = "FILE")]
    pub tls_key: Option<PathBuf>,
}

impl GlobalFlags {
    /// The flags of mutual TLS and the files that they name.
    pub fn tls_files(&self) -> [(&'static str, Option<&PathBuf>); 3] {
        [
            ("--tls-ca", self.tls_ca.as_ref()),
            ("--tls-certificate", self.tls_certificate.as_ref()),
            ("--tls-key", self.tls_key.as_ref()),
        ]
    }

    /// Reads the files of mutual TLS; exits with status 2 if one cannot be used.
    ///
    /// Clap checks `requires` before it propagates global flags to subcommands,
    /// so this checks that all three flags are set.
    pub fn credentials(&self) -> Option<Credentials> {
        let given = self.tls_files();
        let [(_, Some(ca)), (_, Some(certificate)), (_, Some(key))] = given else {
            let missing = given.iter().find(|(_, file)| file.is_none());
            if let Some((flag, _)) = missing.filter(|_| given.iter().any(|(_, f)| f.is_some())) {
                let message = format!("{flag} <FILE> is needed with the other --tls flags");
                exit_with_usage_error(ErrorKind::MissingRequiredArgument, message);
            }
            return None;
        };
        let files = CredentialFiles {
            ca: ca.clone(),
            certificate: certificate.clone(),
            key: key.clone(),
        };
        let credentials = Credentials::read(&files)
            .unwrap_or_else(|e| exit_with_usage_error(ErrorKind::ValueValidation, e));
        if let Some(operator) = &self.operator
            && !credentials.identity().operators.contains(operator)
        {
            let message = format!(
                "invalid value '{operator}' for '--operator <NAME>': expected a name that the \
                 certificate of --tls-certificate holds, as NAME.operator.limpetplank.internal"
            );
            exit_with_usage_error(ErrorKind::ValueValidation, message);
        }
        Some(credentials)
    }
}

/// Flags of changes.
#[derive(Debug, Clone, Args)]
pub struct ChangeFlags {
    /// Resends the change of this id (version 7 UUID), for example --change-id
    /// 01890a5d-ac96-774b-bcce-b302099a8057; needs --base
    #[arg(
        long,
        env = "LIMPET_CHANGE_ID",
        value_name = "UUIDv7",
        requires = "base"
    )]
    pub change_id: Option<ChangeId>,
    /// Revision that the change is based on; read from the control group if
    /// not given, for example --base 17
    #[arg(long, env = "LIMPET_BASE", value_name = "N", value_parser = parse::revision)]
    pub base: Option<Revision>,
    /// Returns when the change is in force on every live node
    #[arg(long, env = "LIMPET_WAIT")]
    pub wait: bool,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Services: create, list, show, delete
    #[command(subcommand)]
    Service(ServiceCommand),
    /// Targets of classes of work: set, delete
    #[command(subcommand)]
    Target(TargetCommand),
    /// Routing sets: set, show
    #[command(subcommand)]
    Routes(RoutesCommand),
    /// Upstreams: drain, undrain
    #[command(subcommand)]
    Upstream(UpstreamCommand),
    /// Gives the upstreams of a data centre no new work until the evacuation ends
    ///
    /// Example: limpetctl evacuate east-1 --wait
    Evacuate {
        /// The data centre, for example east-1
        data_centre: DataCentre,
        /// Ends the evacuation
        #[arg(long, env = "LIMPET_END")]
        end: bool,
        #[command(flatten)]
        flags: ChangeFlags,
    },
    /// Keys of connection ids: rotate, show
    #[command(subcommand)]
    Key(KeyCommand),
    /// Members of the control group: list, add, remove, replace
    #[command(subcommand)]
    Control(ControlCommand),
    /// Shows versions, nodes, the control group, loads and upstreams
    ///
    /// Example: limpetctl status --output json
    Status,
    /// Shows the audit trail, the newest record first
    ///
    /// Example: limpetctl audit --limit 20
    Audit {
        /// Number of records to show, for example --limit 20
        #[arg(long, env = "LIMPET_LIMIT", value_name = "N", default_value_t = 50,
            value_parser = value_parser!(u32).range(1..=10_000))]
        limit: u32,
    },
    /// Sends an HTTP/3 request and streams the answer to the standard output
    ///
    /// Example: `limpetctl call https://vouchers.example/feed --resolve
    /// 198.51.100.1:443 --ca roots.pem`
    Call(Box<CallArgs>),
    /// Checks a configuration document before it is sent
    ///
    /// The exit status is 1 after a warning and 2 after an error.
    ///
    /// Example: limpetctl check routes.json --against 192.0.2.1:7100
    Check(CheckArgs),
    /// Shows the timeline of one flow or request from the logs of several processes, or
    /// the refusals and resets in them by cause
    ///
    /// Example: limpetctl explain 100.64.0.7:40001-198.18.0.1:443 logs/*.log
    ///
    /// Example: limpetctl explain --groups logs/*.log
    Explain(ExplainArgs),
    /// Writes completions for a shell
    ///
    /// Example: limpetctl completions bash > limpetctl.bash
    Completions {
        /// Shell that the completions are for, for example bash
        shell: clap_complete::Shell,
    },
}

#[derive(Debug, Subcommand)]
pub enum ServiceCommand {
    /// Creates a service
    ///
    /// Example: limpetctl service create vouchers --address 198.51.100.1:443
    Create {
        /// Name of the service, for example vouchers
        name: ServiceName,
        /// Address that callers send to, for example --address 198.51.100.1:443
        #[arg(long, env = "LIMPET_ADDRESS", value_name = "IP:PORT", value_parser = parse::address)]
        address: SocketAddr,
        #[command(flatten)]
        flags: ChangeFlags,
    },
    /// Lists the services
    ///
    /// Example: limpetctl service list
    List,
    /// Shows a service and its targets
    ///
    /// Example: limpetctl service show vouchers
    Show {
        /// Name of the service, for example vouchers
        name: ServiceName,
    },
    /// Deletes a service and its targets
    ///
    /// Example: limpetctl service delete vouchers
    Delete {
        /// Name of the service, for example vouchers
        name: ServiceName,
        #[command(flatten)]
        flags: ChangeFlags,
    },
}

#[derive(Debug, Subcommand)]
pub enum TargetCommand {
    /// Sets the target of a class of work
    ///
    /// Example: limpetctl target set vouchers default --carry 7
    Set {
        /// Name of the service, for example vouchers
        service: ServiceName,
        /// Name of the class of work, for example default
        class: ClassName,
        /// Concurrent requests that each upstream should carry, for example --carry 7
        #[arg(long, env = "LIMPET_CARRY", value_name = "N",
            value_parser = value_parser!(u32).range(1..))]
        carry: u32,
        /// Connections that each upstream should hold, for example --connections 2000
        #[arg(long, env = "LIMPET_CONNECTIONS", value_name = "N", default_value_t = 2000,
            value_parser = value_parser!(u32).range(1..))]
        connections: u32,
        /// Time within which a leaving upstream gets no new work, for example
        /// --leave-within 3s
        #[arg(long, env = "LIMPET_LEAVE_WITHIN", value_name = "TIME", default_value = "3s",
            value_parser = parse::leave_within)]
        leave_within: Duration,
        /// Requests whose path starts with this belong to the class, for
        /// example --path-prefix /redeem
        #[arg(
            long,
            env = "LIMPET_PATH_PREFIX",
            value_name = "PATH",
            default_value = "/"
        )]
        path_prefix: PathPrefix,
        /// Extra requests that may be sent to a second upstream when the first one is
        /// slow, in percent of the requests; none if unset, for example --hedge-budget 2
        #[arg(long, env = "LIMPET_HEDGE_BUDGET", value_name = "PERCENT")]
        hedge_budget: Option<HedgeBudget>,
        #[command(flatten)]
        flags: ChangeFlags,
    },
    /// Removes a class of work
    ///
    /// Example: limpetctl target delete vouchers redeem
    Delete {
        /// Name of the service, for example vouchers
        service: ServiceName,
        /// Name of the class of work, for example redeem
        class: ClassName,
        #[command(flatten)]
        flags: ChangeFlags,
    },
}

#[derive(Debug, Subcommand)]
pub enum RoutesCommand {
    /// Replaces the routing set by a whole one of a higher number
    ///
    /// A set whose number is not above that of the set in force is accepted and
    /// changes nothing, so a set may be given again after a lost answer.
    ///
    /// Example: limpetctl routes set 7 --rule 198.18.0.1:443=vouchers:3 --rule
    /// 198.18.0.1:443=intake
    Set {
        /// Number of the set, for example 7
        number: RoutingSetNumber,
        /// Part of an address's new flows that a service takes, 1 if it is not
        /// given; may be repeated, for example --rule 198.18.0.1:443=vouchers:3
        #[arg(
            long = "rule",
            env = "LIMPET_RULE",
            value_name = "IP:PORT=SERVICE[:PART]",
            value_delimiter = ','
        )]
        rules: Vec<parse::RuleArg>,
        #[command(flatten)]
        flags: ChangeFlags,
    },
    /// Shows the routing set in force
    ///
    /// Example: limpetctl routes show
    Show,
}

#[derive(Debug, Subcommand)]
pub enum UpstreamCommand {
    /// Marks the upstream of a host as leaving
    ///
    /// Example: limpetctl upstream drain booking-3 --wait
    Drain {
        /// Host of the upstream, for example booking-3
        host: HostName,
        #[command(flatten)]
        flags: ChangeFlags,
    },
    /// Removes the drain mark of a host
    ///
    /// Example: limpetctl upstream undrain booking-3
    Undrain {
        /// Host of the upstream, for example booking-3
        host: HostName,
        #[command(flatten)]
        flags: ChangeFlags,
    },
}

#[derive(Debug, Subcommand)]
pub enum KeyCommand {
    /// Adds a random key, waits until it is in force on every live node, and
    /// activates it
    ///
    /// Continues a rotation that an earlier run did not finish. --change-id and
    /// --base resend the activation.
    ///
    /// Example: limpetctl key rotate --deadline 1m
    Rotate {
        #[command(flatten)]
        flags: ChangeFlags,
    },
    /// Shows the generations of the keys, never the keys
    ///
    /// Example: limpetctl key show
    Show,
}

#[derive(Debug, Subcommand)]
pub enum ControlCommand {
    /// Lists the members of the control group
    ///
    /// Example: limpetctl control list
    List,
    /// Adds a blank host as a learner and makes it a voter once it has caught up
    ///
    /// Example: limpetctl control add 192.0.2.4:7100
    Add {
        /// Address of the blank control host, for example 192.0.2.4:7100
        #[arg(value_parser = parse::address)]
        address: SocketAddr,
    },
    /// Removes a member
    ///
    /// Example: limpetctl control remove 00000000000000a1
    Remove {
        /// Id of the member, for example 00000000000000a1
        member: MemberId,
    },
    /// Adds a blank host, then removes a member
    ///
    /// Example: limpetctl control replace 00000000000000a1 192.0.2.4:7100
    Replace {
        /// Id of the member to remove, for example 00000000000000a1
        member: MemberId,
        /// Address of the blank control host, for example 192.0.2.4:7100
        #[arg(value_parser = parse::address)]
        address: SocketAddr,
    },
}

#[derive(Debug, Args)]
pub struct CheckArgs {
    /// The document, for example routes.json; - is the standard input
    pub file: PathBuf,
    /// Operators' address of a control host with whose version in force the document is
    /// compared, for example --against 192.0.2.1:7100
    #[arg(long, env = "LIMPET_AGAINST", value_name = "IP:PORT", value_parser = parse::address)]
    pub against: Option<SocketAddr>,
    /// Writes JSON, like --output json
    #[arg(long, env = "LIMPET_JSON")]
    pub json: bool,
}

#[derive(Debug, Args)]
pub struct ExplainArgs {
    /// Id of the flow or request, for example 100.64.0.7:40001-198.18.0.1:443
    #[arg(required_unless_present = "groups")]
    pub id: Option<String>,
    /// Log files of one process each; - is the standard input
    #[arg(required_unless_present = "groups", value_name = "FILE")]
    pub files: Vec<PathBuf>,
    /// Groups all refusals and resets in these log files by cause, agent, route and
    /// second, for example --groups logs/*.log
    #[arg(long, env = "LIMPET_GROUPS", value_name = "FILE", num_args = 1..,
        conflicts_with_all = ["id", "files", "around"])]
    pub groups: Vec<PathBuf>,
    /// Time before and after the lines of the id in which lines on the state of
    /// the processes are shown too, for example --around 5s
    #[arg(long, env = "LIMPET_AROUND", value_name = "TIME", default_value = "2s",
        value_parser = parse::around)]
    pub around: Duration,
}

#[derive(Debug, Args)]
#[command(group = ArgGroup::new("trust").required(true).args(["insecure", "ca"]))]
pub struct CallArgs {
    /// URL of the request, for example `https://vouchers.example/feed`
    #[arg(value_parser = parse::url)]
    pub url: Url,
    /// Method of the request, for example --method POST
    #[arg(long, env = "LIMPET_METHOD", value_name = "M", default_value = "GET")]
    pub method: Method,
    /// Header field, may be repeated, for example --header accept:text/plain
    #[arg(long, env = "LIMPET_HEADER", value_name = "K:V", value_parser = parse::header)]
    pub header: Vec<(HeaderName, HeaderValue)>,
    /// Body as text or from a file, for example --body @badge.json
    #[arg(long, env = "LIMPET_BODY", value_name = "TEXT|@FILE")]
    pub body: Option<parse::Body>,
    /// Address to send to in place of the URL's, for example --resolve 198.51.100.1:443
    #[arg(long, env = "LIMPET_RESOLVE", value_name = "IP:PORT", value_parser = parse::address)]
    pub resolve: Option<SocketAddr>,
    /// Accepts any certificate: the server is not authenticated
    #[arg(long, env = "LIMPET_INSECURE")]
    pub insecure: bool,
    /// Accepts certificates issued by those in this PEM file, for example --ca roots.pem
    #[arg(long, env = "LIMPET_CA", value_name = "FILE")]
    pub ca: Option<PathBuf>,
    /// Writes the status and the header fields to the standard error
    #[arg(long, short, env = "LIMPET_VERBOSE")]
    pub verbose: bool,
}

impl Settings {
    /// Reads the settings; exits with status 2 if one is invalid.
    pub fn read() -> Self {
        let settings = Settings::parse();
        settings.validate();
        settings
    }

    /// Checks the global flags that a command requires.
    fn validate(&self) {
        let missing = |flag, example| {
            let message = format!("{flag} is needed for this command, for example {example}");
            exit_with_usage_error(ErrorKind::MissingRequiredArgument, message)
        };
        if self.needs_control() && self.global.control.is_empty() {
            missing("--control <IP:PORT,…>", "--control 192.0.2.1:7100");
        }
        if self.makes_change() && self.global.operator.is_none() {
            missing("--operator <NAME>", "--operator alice");
        }
    }

    fn needs_control(&self) -> bool {
        !matches!(
            self.command,
            Command::Call(_)
                | Command::Check(_)
                | Command::Completions { .. }
                | Command::Explain(_)
        )
    }

    /// Whether the command makes a change that the audit trail records.
    fn makes_change(&self) -> bool {
        matches!(
            self.command,
            Command::Service(ServiceCommand::Create { .. } | ServiceCommand::Delete { .. })
                | Command::Target(_)
                | Command::Routes(RoutesCommand::Set { .. })
                | Command::Upstream(_)
                | Command::Key(KeyCommand::Rotate { .. })
                | Command::Control(
                    ControlCommand::Add { .. }
                        | ControlCommand::Remove { .. }
                        | ControlCommand::Replace { .. }
                )
        )
    }
}

/// Prints a usage error and exits with status 2.
pub fn exit_with_usage_error(kind: ErrorKind, message: impl std::fmt::Display) -> ! {
    Settings::command().error(kind, message).exit()
}
