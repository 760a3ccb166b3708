//! Header fields of requests and responses.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use wire::ClaimHeader;

/// Header fields that concern one connection only (RFC 9110, section 7.6.1),
/// and the length of the message framing that replaces them.
const HOP_BY_HOP_FIELDS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Prefix of the header fields that agents exchange. They are valid for one hop
/// only, so those that a caller or an upstream sets are removed.
const INTERNAL_FIELD_PREFIX: &str = "limpet-";

/// Whether a header field concerns one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP_FIELDS.contains(name) || matches!(name.as_str(), "keep-alive" | "proxy-connection")
}

/// Whether a request with this method may be run twice (RFC 9110, section
/// 9.2.2).
#[must_use]
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

/// Computes the deadline of a request from the remaining time in milliseconds
/// in its headers. Returns `None` for a malformed value.
#[must_use]
pub fn deadline_of(now: Instant, remaining: Option<&[u8]>) -> Option<Instant> {
    let text = std::str::from_utf8(remaining?).ok()?;
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    let millis = text.parse().ok().filter(|_| digits)?;
    now.checked_add(Duration::from_millis(millis))
}

/// End-to-end header fields of a request or response, without hop-by-hop fields.
#[derive(Debug, Clone, Default)]
pub struct EndToEndHeaders {
    /// The header fields.
    pub headers: HeaderMap,
}

impl EndToEndHeaders {
    /// Copies the end-to-end fields. A field whose name or value is invalid is
    /// left out.
    pub fn from_fields<'a>(fields: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Self {
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            let (Ok(name), Ok(value)) = (
                HeaderName::from_bytes(name.as_bytes()),
                HeaderValue::from_bytes(value),
            ) else {
                continue;
            };
            headers.append(name, value);
        }
        let removed: Vec<HeaderName> = headers
            .keys()
            .filter(|name| is_hop_by_hop(name) || name.as_str().starts_with(INTERNAL_FIELD_PREFIX))
            .cloned()
            .chain(connection_options(&headers))
            .collect();
        for name in removed {
            headers.remove(name);
        }
        EndToEndHeaders { headers }
    }

    /// Copies the end-to-end fields of a header map.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let fields = headers.iter();
        EndToEndHeaders::from_fields(fields.map(|(name, value)| (name.as_str(), value.as_bytes())))
    }

    /// Joins the cookie fields into which HTTP/3 may split one; HTTP/1.1 allows
    /// only one (RFC 9114, section 4.2.1).
    pub fn join_cookies(&mut self) {
        let parts: Vec<&[u8]> = self
            .headers
            .get_all(header::COOKIE)
            .into_iter()
            .map(HeaderValue::as_bytes)
            .collect();
        if parts.len() > 1
            && let Ok(joined) = HeaderValue::from_bytes(&parts.join(&b"; "[..]))
        {
            self.headers.insert(header::COOKIE, joined);
        }
    }

    /// Sets the timeout field to the time that remains until `deadline`, or
    /// removes it.
    pub fn set_timeout(&mut self, now: Instant, deadline: Option<Instant>) {
        match deadline {
            Some(deadline) => {
                let remaining = deadline.saturating_duration_since(now).as_millis();
                let millis = u64::try_from(remaining).unwrap_or(u64::MAX);
                self.headers
                    .insert(ClaimHeader::TIMEOUT_MS, HeaderValue::from(millis));
            }
            None => drop(self.headers.remove(ClaimHeader::TIMEOUT_MS)),
        }
    }

    /// Sets a field; ignores a value that is not valid in a header.
    pub fn set(&mut self, name: &'static str, value: &impl ToString) {
        if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
            self.headers.insert(name, value);
        }
    }
}

/// Connection options: the fields that `Connection` names, which are hop-by-hop.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    values
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
}
