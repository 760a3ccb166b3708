//! Readers of flag values, each with the range that it accepts.

use std::{
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    ops::RangeInclusive,
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use http::{HeaderName, HeaderValue};
use types::{Revision, ServiceName};
use url::Url;

/// Shortest and longest time that `--deadline` accepts.
const DEADLINES: RangeInclusive<Duration> = Duration::from_millis(100)..=Duration::from_hours(1);

/// Shortest and longest time that `--leave-within` accepts.
const LEAVES: RangeInclusive<Duration> = Duration::from_millis(1)..=Duration::from_hours(1);

/// Shortest and longest time that `--around` accepts.
const AROUND: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_hours(1);

/// A flag has a value that is not accepted.
#[derive(Debug, thiserror::Error)]
pub enum Invalid {
    #[error("expected IP:PORT with a port of 1 to 65535, such as 192.0.2.1:7100")]
    Address,
    #[error("expected a time of {0} to {1}, such as 5s or 500ms")]
    Span(humantime::FormattedDuration, humantime::FormattedDuration),
    #[error("expected a revision of 0 to {max}", max = u64::MAX)]
    Revision,
    #[error("expected https://HOST[:PORT]/PATH")]
    Url,
    #[error("expected IP:PORT=SERVICE or IP:PORT=SERVICE:PART, such as 198.18.0.1:443=vouchers:3")]
    Rule,
    #[error("expected NAME:VALUE as in an HTTP header, such as accept:text/plain")]
    Header,
}

/// One part of the rule of an address.
#[derive(Debug, Clone)]
pub struct RuleArg {
    pub address: SocketAddr,
    pub service: ServiceName,
    pub part: u32,
}

impl FromStr for RuleArg {
    type Err = Invalid;

    fn from_str(s: &str) -> Result<Self, Invalid> {
        let (at, service) = s.split_once('=').ok_or(Invalid::Rule)?;
        let (service, part) = service.split_once(':').unwrap_or((service, "1"));
        Ok(RuleArg {
            address: address(at)?,
            service: service.parse().map_err(|_| Invalid::Rule)?,
            part: part.parse().map_err(|_| Invalid::Rule)?,
        })
    }
}

impl Display for RuleArg {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}:{}", self.address, self.service, self.part)
    }
}

/// Body of a request.
#[derive(Debug, Clone)]
pub enum Body {
    Text(String),
    File(PathBuf),
}

pub fn address(s: &str) -> Result<SocketAddr, Invalid> {
    let address: SocketAddr = s.parse().map_err(|_| Invalid::Address)?;
    if address.port() == 0 {
        return Err(Invalid::Address);
    }
    Ok(address)
}

pub fn deadline(s: &str) -> Result<Duration, Invalid> {
    span(s, &DEADLINES)
}

pub fn leave_within(s: &str) -> Result<Duration, Invalid> {
    span(s, &LEAVES)
}

pub fn around(s: &str) -> Result<Duration, Invalid> {
    span(s, &AROUND)
}

fn span(s: &str, range: &RangeInclusive<Duration>) -> Result<Duration, Invalid> {
    let span = humantime::parse_duration(s).ok();
    span.filter(|span| range.contains(span)).ok_or_else(|| {
        let format = humantime::format_duration;
        Invalid::Span(format(*range.start()), format(*range.end()))
    })
}

pub fn revision(s: &str) -> Result<Revision, Invalid> {
    s.parse().map_err(|_| Invalid::Revision)
}

pub fn url(s: &str) -> Result<Url, Invalid> {
    let url = Url::parse(s).map_err(|_| Invalid::Url)?;
    if url.scheme() != "https" || url.host().is_none() {
        return Err(Invalid::Url);
    }
    Ok(url)
}

pub fn header(s: &str) -> Result<(HeaderName, HeaderValue), Invalid> {
    let (name, value) = s.split_once(':').ok_or(Invalid::Header)?;
    let name = name.trim().parse().map_err(|_| Invalid::Header)?;
    let value = value.trim().parse().map_err(|_| Invalid::Header)?;
    Ok((name, value))
}

impl From<&str> for Body {
    fn from(s: &str) -> Self {
        match s.strip_prefix('@') {
            Some(path) => Body::File(path.into()),
            None => Body::Text(s.to_owned()),
        }
    }
}
