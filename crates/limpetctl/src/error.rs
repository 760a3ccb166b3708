//! Errors of this program.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A command failed before it requested a change, or it requests none.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No control host answered a query.
    #[error("{0}\nnothing was changed; check --control and that a majority of the group runs")]
    Query(client::Error),
    /// A host that is to join the control group did not answer.
    #[error(
        "{1}\nnothing was changed; start `limpetd control` without --group at {0} and try again"
    )]
    Hello(SocketAddr, client::Error),
    /// A control host returned a reply of another type than the query has.
    #[error(
        "a control host returned a reply that does not match the query; compare the versions of \
         limpetctl and limpetd"
    )]
    UnexpectedReply,
    /// The service does not exist.
    #[error("service {0} does not exist; `limpetctl service list` shows those that do")]
    UnknownService(types::ServiceName),
    /// The output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The output could not be encoded.
    #[error("cannot encode the output: {0}")]
    Json(#[from] serde_json::Error),
    /// The host name in a URL could not be resolved.
    #[error("cannot resolve {0}: {1}; the request was not sent, name an address by --resolve")]
    Resolve(String, io::Error),
    /// The host name in a URL has no address.
    #[error("{0} has no address; the request was not sent, name one by --resolve")]
    NoAddress(String),
    /// A log file cannot be read.
    #[error("{0}")]
    Logs(#[from] trace::Error),
    /// No log line mentions the id.
    #[error(
        "no log line mentions {id}; {unrecognized_lines} of the lines read are in another format. \
         Check the id, that the files cover the time of the request, and the lines_left_out \
         events in them"
    )]
    NoLogLines {
        /// Id of the flow or request.
        id: String,
        /// Number of lines in another format.
        unrecognized_lines: u64,
    },
    /// A request to a service failed without an answer.
    #[error("{0}")]
    Call(#[from] caller::Error),
}
