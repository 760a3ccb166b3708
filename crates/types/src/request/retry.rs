//! When a caller may send a refused request again.

decimal! {
    /// Whole seconds after which a caller may send a refused request again; the value of a
    /// `Retry-After` field (RFC 9110, section 10.2.3).
    RetryAfter(u64)
}
