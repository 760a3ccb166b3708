//! Heads of requests and answers.

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

/// Start of the names of this system's header fields. They have a meaning for
/// one hop only: neither a caller nor an upstream can set one for the next.
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

/// Deadline of a request, from the remaining time in milliseconds that its head
/// gives. A malformed value counts as none.
#[must_use]
pub fn deadline_of(now: Instant, remaining: Option<&[u8]>) -> Option<Instant> {
    let text = std::str::from_utf8(remaining?).ok()?;
    let digits = text.bytes().all(|b| b.is_ascii_digit());
    let millis = text.parse().ok().filter(|_| digits)?;
    now.checked_add(Duration::from_millis(millis))
}

/// Head of a request or answer, without the fields of its last hop.
#[derive(Debug, Clone, Default)]
pub struct EndToEndHeaders {
    /// The header fields.
    pub headers: HeaderMap,
}

impl EndToEndHeaders {
    /// Takes over the fields that go to the next hop. A field that cannot be
    /// represented is left out.
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

    /// Takes over the fields of a header map.
    #[must_use]
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let fields = headers.iter();
        EndToEndHeaders::from_fields(fields.map(|(name, value)| (name.as_str(), value.as_bytes())))
    }

    /// Joins the parts into which HTTP/3 may split a cookie field; HTTP/1.1 has
    /// one such field (RFC 9114, section 4.2.1).
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

    /// Replaces the caller's deadline by the time that remains.
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

    /// Sets a field.
    pub fn set(&mut self, name: &'static str, value: &impl ToString) {
        if let Ok(value) = HeaderValue::from_str(&value.to_string()) {
            self.headers.insert(name, value);
        }
    }
}

/// Fields that `Connection` fields name: they concern one connection only.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = HeaderName> {
    let values = headers.get_all(header::CONNECTION).into_iter();
    values
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
}
