//! Framing of control messages: a protocol version, then `MessagePack`.

use serde::{Serialize, de::DeserializeOwned};

use crate::{Result, error::ErrorKind};

/// Version of the control protocol; the first byte of every message.
const PROTOCOL_VERSION: u8 = 1;

/// Longest control message in bytes, with the protocol version.
pub const MAX_MESSAGE_LEN: usize = 64 << 20;

/// Media type of control messages in HTTP.
pub const CONTENT_TYPE: &str = "application/msgpack";

/// Encodes a control message.
///
/// # Errors
///
/// Fails if the message cannot be represented in `MessagePack`.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut buf = vec![PROTOCOL_VERSION];
    rmp_serde::encode::write(&mut buf, message).map_err(ErrorKind::Encode)?;
    Ok(buf)
}

/// Decodes a control message.
///
/// # Errors
///
/// Fails if the input is too large, of another protocol version, or not a `T`.
pub fn decode<T: DeserializeOwned>(input: &[u8]) -> Result<T> {
    if input.len() > MAX_MESSAGE_LEN {
        return Err(ErrorKind::Size(input.len(), MAX_MESSAGE_LEN).into());
    }
    match input.split_first() {
        None => Err(ErrorKind::Truncated(0).into()),
        Some((&PROTOCOL_VERSION, body)) => {
            Ok(rmp_serde::from_slice(body).map_err(ErrorKind::Decode)?)
        }
        Some((&version, _)) => Err(ErrorKind::Version(version, PROTOCOL_VERSION).into()),
    }
}
