//! Heads of requests and answers.

use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderName, HeaderValue, Method, header};
use wire::ClaimHeader;

/// Header fields that concern one connection only (RFC 9110, section 7.6.1),
/// and the length of the message framing that replaces them.
const HOP_BY_HOP: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Header fields between agents; callers and upstreams can neither set nor see
/// them.
const INTERNAL: [&str; 4] = [
    ClaimHeader::RESERVATION,
    ClaimHeader::SERVICE,
    ClaimHeader::UPSTREAM,
    ClaimHeader::OUTCOME,
];

/// Whether a header field concerns one connection only.
#[must_use]
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    HOP_BY_HOP.contains(name) || matches!(name.as_str(), "keep-alive" | "proxy-connection")
}

/// Whether a request with this method may be run twice (RFC 9110, section
/// 9.2.2).
#[must_use]
pub fn is_idempotent(method: &Method) -> bool {
    method.is_idempotent()
}

/// Deadline of a request, from the remaining time in its head.
#[must_use]
pub fn deadline_of(now: Instant, headers: &HeaderMap) -> Option<Instant> {
    let text = headers.get(ClaimHeader::TIMEOUT_MS)?.to_str().ok()?;
    let millis = text.parse().ok()?;
    now.checked_add(Duration::from_millis(millis))
}

/// Head of a request or answer, without the fields of its last hop.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The header fields.
    pub headers: HeaderMap,
}

impl Head {
    /// Takes over the fields that go to the next hop. A field that cannot be
    /// represented is left out.
    pub fn copy<'a>(fields: impl IntoIterator<Item = (&'a str, &'a [u8])>) -> Self {
        let mut headers = HeaderMap::new();
        for (name, value) in fields {
            let (Ok(name), Ok(value)) = (
                HeaderName::from_bytes(name.as_bytes()),
                HeaderValue::from_bytes(value),
            ) else {
                continue;
            };
            if !is_hop_by_hop(&name) && !INTERNAL.contains(&name.as_str()) {
                headers.append(name, value);
            }
        }
        Head { headers }
    }

    /// Takes over the fields of a header map.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let fields = headers.iter();
        Head::copy(fields.map(|(name, value)| (name.as_str(), value.as_bytes())))
    }

    /// Replaces the caller's deadline by the time that remains.
    pub fn set_remaining(&mut self, now: Instant, deadline: Option<Instant>) {
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
