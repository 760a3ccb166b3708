//! The error of this program.

use std::{io, net::SocketAddr};

/// A [`std::result::Result`] with this crate's [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A command ended before it asked for a change, or needed none.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No control host answered a query.
    #[error("{0}\nnothing was changed; check --control and that a majority of the group runs")]
    Query(client::Error),
    /// A host that is to join the group did not answer.
    #[error(
        "{1}\nnothing was changed; start `limpetd control` without --group at {0} and try again"
    )]
    Hello(SocketAddr, client::Error),
    /// A control host answered another question than the one asked.
    #[error(
        "a control host answered another query than the one sent; compare the versions of \
         limpetctl and limpetd"
    )]
    Mismatch,
    /// The service does not exist.
    #[error("service {0} does not exist; `limpetctl service list` shows those that do")]
    NoService(types::ServiceName),
    /// The output could not be written.
    #[error("cannot write the output: {0}")]
    Output(#[from] io::Error),
    /// The output could not be encoded.
    #[error("cannot encode the output: {0}")]
    Json(#[from] serde_json::Error),
    /// The name of the server in a URL could not be resolved.
    #[error("cannot resolve {0}: {1}; the request was not sent, name an address by --resolve")]
    Resolve(String, io::Error),
    /// The name of the server in a URL has no address.
    #[error("{0} has no address; the request was not sent, name one by --resolve")]
    NoAddress(String),
    /// The log lines of a process cannot be read.
    #[error("{0}")]
    Lines(#[from] trace::Error),
    /// No process wrote a line about the id.
    #[error(
        "no line names {id}; {lines} of the lines read are not of this project. Check the id and \
         that the files hold the time of the request; see lines_left_out there"
    )]
    NotFound {
        /// What was asked for.
        id: String,
        /// Lines in another form.
        lines: u64,
    },
    /// A request to a service brought no answer.
    #[error("{0}")]
    Call(#[from] caller::Error),
}
