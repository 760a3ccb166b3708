//! Parsers of flag values.

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

/// Accepted values of `--deadline`.
const DEADLINE_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_hours(1);

/// Accepted values of `--leave-within`.
const LEAVE_WITHIN_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(1)..=Duration::from_hours(1);

/// Accepted values of `--around`.
const AROUND_RANGE: RangeInclusive<Duration> = Duration::ZERO..=Duration::from_hours(1);

/// The value of a flag is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    #[error("expected IP:PORT with a port of 1 to 65535, such as 192.0.2.1:7100")]
    Address,
    #[error("expected a time of {0} to {1}, such as 5s or 500ms")]
    DurationRange(humantime::FormattedDuration, humantime::FormattedDuration),
    #[error("expected a revision of 0 to {max}", max = u64::MAX)]
    Revision,
    #[error("expected https://HOST[:PORT]/PATH")]
    Url,
    #[error("expected IP:PORT=SERVICE or IP:PORT=SERVICE:PART, such as 198.18.0.1:443=vouchers:3")]
    Rule,
    #[error("expected NAME:VALUE as in an HTTP header, such as accept:text/plain")]
    Header,
}

/// Weight of a service among the services that take the new flows of an address.
#[derive(Debug, Clone)]
pub struct RuleArg {
    pub address: SocketAddr,
    pub service: ServiceName,
    pub weight: u32,
}

impl FromStr for RuleArg {
    type Err = ParseError;

    fn from_str(s: &str) -> Result<Self, ParseError> {
        let (at, service) = s.split_once('=').ok_or(ParseError::Rule)?;
        let (service, weight) = service.split_once(':').unwrap_or((service, "1"));
        Ok(RuleArg {
            address: address(at)?,
            service: service.parse().map_err(|_| ParseError::Rule)?,
            weight: weight.parse().map_err(|_| ParseError::Rule)?,
        })
    }
}

impl Display for RuleArg {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}={}:{}", self.address, self.service, self.weight)
    }
}

/// Source of the body of a request.
#[derive(Debug, Clone)]
pub enum Body {
    Text(String),
    File(PathBuf),
}

pub fn address(s: &str) -> Result<SocketAddr, ParseError> {
    let address: SocketAddr = s.parse().map_err(|_| ParseError::Address)?;
    if address.port() == 0 {
        return Err(ParseError::Address);
    }
    Ok(address)
}

pub fn deadline(s: &str) -> Result<Duration, ParseError> {
    duration_in_range(s, &DEADLINE_RANGE)
}

pub fn leave_within(s: &str) -> Result<Duration, ParseError> {
    duration_in_range(s, &LEAVE_WITHIN_RANGE)
}

pub fn around(s: &str) -> Result<Duration, ParseError> {
    duration_in_range(s, &AROUND_RANGE)
}

fn duration_in_range(s: &str, range: &RangeInclusive<Duration>) -> Result<Duration, ParseError> {
    let duration = humantime::parse_duration(s).ok();
    duration
        .filter(|duration| range.contains(duration))
        .ok_or_else(|| {
            let format = humantime::format_duration;
            ParseError::DurationRange(format(*range.start()), format(*range.end()))
        })
}

pub fn revision(s: &str) -> Result<Revision, ParseError> {
    s.parse().map_err(|_| ParseError::Revision)
}

pub fn url(s: &str) -> Result<Url, ParseError> {
    let url = Url::parse(s).map_err(|_| ParseError::Url)?;
    if url.scheme() != "https" || url.host().is_none() {
        return Err(ParseError::Url);
    }
    Ok(url)
}

pub fn header(s: &str) -> Result<(HeaderName, HeaderValue), ParseError> {
    let (name, value) = s.split_once(':').ok_or(ParseError::Header)?;
    let name = name.trim().parse().map_err(|_| ParseError::Header)?;
    let value = value.trim().parse().map_err(|_| ParseError::Header)?;
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
