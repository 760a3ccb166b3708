//! Names of hosts, data centres, services, classes of work and operators.

use crate::{Category, Error, Result};

/// Longest name in bytes, as for a DNS label.
const MAX_LABEL_LEN: usize = 63;

/// Checks that `s` is a valid name.
pub(crate) fn check_label(s: &str) -> Result<()> {
    let valid = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if (1..=MAX_LABEL_LEN).contains(&s.len()) && s.bytes().all(valid) {
        return Ok(());
    }
    Err(Error::new(
        Category::Name,
        s,
        "1 to 63 ASCII letters, digits, '-', '_' or '.'",
    ))
}

label! {
    /// Name of a host, unique among the processes of one role.
    HostName
}

label! {
    /// Name of a data centre.
    DataCentre
}

label! {
    /// Name of a service.
    ServiceName
}

label! {
    /// Name of a class of work within a service.
    ClassName
}

label! {
    /// Name of an operator.
    OperatorName
}

impl ClassName {
    /// Name of the class that takes requests that match no other class.
    pub const DEFAULT: &'static str = "default";
}

impl Default for ClassName {
    fn default() -> Self {
        ClassName(bytes::Bytes::from_static(Self::DEFAULT.as_bytes()))
    }
}
