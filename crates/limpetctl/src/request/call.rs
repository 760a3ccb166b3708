//! An HTTP/3 request to a service.

use std::{
    io::{Write, stdout},
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use caller::{Caller, Category, Endpoint, RequestOutcome, Response, ServerTrust};
use clap::error::ErrorKind;
use http::{HeaderValue, Request, header::CONTENT_LENGTH};
use rustls::{
    RootCertStore,
    pki_types::{CertificateDer, pem::PemObject},
};
use tokio::time::{sleep, timeout_at};
use url::{Host, Url};
use wire::ClaimHeader;

use crate::{
    error::{Error, Result},
    process::{Body, CallArgs, Exit, exit_with_usage_error, print_stderr},
};

/// HTTP/3 error code of a connection that is closed without an error.
const H3_NO_ERROR: u32 = 0x100;

/// Delay after closing, in which the task of the socket sends the last packet.
const CLOSE_DELAY: Duration = Duration::from_millis(10);

pub async fn run(args: &CallArgs, deadline: Instant) -> Result<Exit> {
    let trust = read_trust(args);
    let body = read_body(args);
    let Ok(connected) = timeout_at(deadline.into(), connect(args, trust)).await else {
        print_stderr("limpetctl: not run: no connection by the deadline; check the address");
        return Ok(Exit::Refused);
    };
    let mut caller = match connected {
        Ok(caller) => caller,
        Err(e) => {
            print_stderr(format_args!("limpetctl: not run: {e}"));
            return Ok(Exit::Refused);
        }
    };
    let request = build_request(args, body, deadline);
    let exit = match timeout_at(deadline.into(), caller.send(request)).await {
        Ok(Ok(answer)) => stream_answer(answer, args.verbose).await,
        Ok(Err(e)) => Ok(report_failure(&e)),
        Err(_) => {
            print_stderr("limpetctl: outcome unknown: no answer by the deadline");
            Ok(Exit::Unknown)
        }
    };
    close(&caller).await;
    exit
}

fn report_failure(error: &caller::Error) -> Exit {
    match error.category() {
        Category::NotRun => {
            print_stderr(format_args!(
                "limpetctl: not run: {error}; it is safe to try again"
            ));
            Exit::Refused
        }
        Category::Unknown => {
            print_stderr(format_args!("limpetctl: outcome unknown: {error}"));
            Exit::Unknown
        }
    }
}

/// Closes the connection, as the upstream would otherwise count it until the
/// idle timeout.
async fn close(caller: &Caller) {
    caller.connection().close(H3_NO_ERROR.into(), b"");
    sleep(CLOSE_DELAY).await;
}

/// Reads the certificates to trust; exits with status 2 if the file is invalid.
fn read_trust(args: &CallArgs) -> ServerTrust {
    let Some(path) = &args.ca else {
        return ServerTrust::Any;
    };
    let invalid = |reason: &dyn std::fmt::Display| -> ! {
        let path = path.display();
        let message = format!(
            "invalid value '{path}' for '--ca <FILE>': expected a readable PEM file with at least \
             one certificate: {reason}"
        );
        exit_with_usage_error(ErrorKind::ValueValidation, message)
    };
    let read = CertificateDer::pem_file_iter(path).and_then(Iterator::collect::<Result<Vec<_>, _>>);
    let certificates = read.unwrap_or_else(|e| invalid(&e));
    if certificates.is_empty() {
        invalid(&"it contains no certificate");
    }
    for certificate in &certificates {
        if let Err(e) = RootCertStore::empty().add(certificate.clone()) {
            invalid(&e);
        }
    }
    ServerTrust::Roots(certificates)
}

/// Reads the body to send; exits with status 2 if the file cannot be read.
fn read_body(args: &CallArgs) -> Bytes {
    match &args.body {
        None => Bytes::new(),
        Some(Body::Text(text)) => Bytes::copy_from_slice(text.as_bytes()),
        Some(Body::File(path)) => match std::fs::read(path) {
            Ok(body) => body.into(),
            Err(e) => {
                let path = path.display();
                let message = format!(
                    "invalid value '@{path}' for '--body <TEXT|@FILE>': expected a readable \
                     file: {e}"
                );
                exit_with_usage_error(ErrorKind::ValueValidation, message)
            }
        },
    }
}

async fn connect(args: &CallArgs, trust: ServerTrust) -> Result<Caller> {
    let server = match args.resolve {
        Some(address) => address,
        None => resolve(&args.url).await?,
    };
    let name = match args.url.host() {
        Some(Host::Domain(name)) => name.to_owned(),
        Some(Host::Ipv4(ip)) => ip.to_string(),
        Some(Host::Ipv6(ip)) => ip.to_string(),
        None => String::new(),
    };
    let endpoint = Endpoint::open(server, trust)?;
    Ok(Caller::connect(&endpoint, server, &name).await?)
}

async fn resolve(url: &Url) -> Result<SocketAddr> {
    let port = url.port_or_known_default().unwrap_or(443);
    let name = match url.host() {
        Some(Host::Ipv4(ip)) => return Ok((ip, port).into()),
        Some(Host::Ipv6(ip)) => return Ok((ip, port).into()),
        Some(Host::Domain(name)) => name,
        None => "",
    };
    let found = tokio::net::lookup_host((name, port)).await;
    let mut addresses = found.map_err(|e| Error::Resolve(name.to_owned(), e))?;
    addresses
        .next()
        .ok_or_else(|| Error::NoAddress(name.to_owned()))
}

fn build_request(args: &CallArgs, body: Bytes, deadline: Instant) -> Request<Bytes> {
    let mut request = Request::new(body);
    *request.method_mut() = args.method.clone();
    if let Ok(uri) = args.url.as_str().parse() {
        *request.uri_mut() = uri;
    }
    let length = request.body().len();
    let headers = request.headers_mut();
    headers.extend(
        args.header
            .iter()
            .map(|(k, v)| (Some(k.clone()), v.clone())),
    );
    if length > 0 {
        headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    let remaining = deadline.saturating_duration_since(Instant::now());
    headers.insert(
        ClaimHeader::TIMEOUT_MS,
        HeaderValue::from(millis(remaining)),
    );
    request
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Streams an answer to the standard output. The deadline does not apply to its
/// body, as a feed may stay open.
async fn stream_answer(mut answer: Response, verbose: bool) -> Result<Exit> {
    if verbose {
        print_stderr(format_args!("HTTP/3 {}", answer.status));
        for (name, value) in &answer.headers {
            let value = String::from_utf8_lossy(value.as_bytes());
            print_stderr(format_args!("{name}: {value}"));
        }
    }
    loop {
        match answer.next_chunk().await {
            Ok(Some(part)) => {
                stdout().write_all(&part)?;
                stdout().flush()?;
            }
            Ok(None) => return Ok(report_outcome(&answer)),
            Err(e) => {
                print_stderr(format_args!("limpetctl: the answer broke off: {e}"));
                return Ok(match answer.outcome() {
                    RequestOutcome::Answered => Exit::Failed,
                    _ => report_outcome(&answer),
                });
            }
        }
    }
}

fn report_outcome(answer: &Response) -> Exit {
    match answer.outcome() {
        RequestOutcome::NotRun => {
            print_stderr("limpetctl: not run; it is safe to try again");
            Exit::Refused
        }
        RequestOutcome::Unknown => {
            print_stderr("limpetctl: outcome unknown: the service may have run the request");
            Exit::Unknown
        }
        RequestOutcome::Answered
            if answer.status.is_success() || answer.status.is_redirection() =>
        {
            Exit::Done
        }
        RequestOutcome::Answered => {
            print_stderr(format_args!(
                "limpetctl: answered with status {}",
                answer.status
            ));
            Exit::Failed
        }
    }
}
