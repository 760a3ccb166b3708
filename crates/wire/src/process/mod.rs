//! Framing of control messages: a protocol version, then `MessagePack`.

use serde::{Serialize, de::DeserializeOwned};

use crate::{Result, error::ErrorKind};

/// Version of the control protocol; the first byte of every message.
const PROTOCOL_VERSION: u8 = 1;

/// Longest control message in bytes, with the protocol version.
pub const MAX_MESSAGE_LEN: usize = 64 << 20;

/// Deepest nesting of values that is decoded. Messages nest less than 20 deep; the default
/// of 1024 overflows the 2 MiB stack of a thread in a debug build.
const MAX_DEPTH: usize = 64;

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

/// Encodes a message of two fields, of which the second one is encoded already. The
/// result equals that of [`encode`] for both fields, without decoding the second one.
///
/// ```
/// let second = wire::encode(&("a", 7))?;
/// assert_eq!(wire::encode_pair(&5, &second)?, wire::encode(&(5, ("a", 7)))?);
/// # Ok::<(), wire::Error>(())
/// ```
///
/// # Errors
///
/// Fails if the first field cannot be represented in `MessagePack`, or the second one has
/// another protocol version.
pub fn encode_pair<T: Serialize>(first: &T, second: &[u8]) -> Result<Vec<u8>> {
    /// `MessagePack` header of an array of two elements.
    const ARRAY_OF_TWO: u8 = 0x92;
    let body = match second.split_first() {
        None => return Err(ErrorKind::Truncated(0).into()),
        Some((&PROTOCOL_VERSION, body)) => body,
        Some((&version, _)) => return Err(ErrorKind::Version(version, PROTOCOL_VERSION).into()),
    };
    let mut head = vec![PROTOCOL_VERSION, ARRAY_OF_TWO];
    rmp_serde::encode::write(&mut head, first).map_err(ErrorKind::Encode)?;
    Ok([&head, body].concat())
}

/// Decodes a control message.
///
/// # Errors
///
/// Fails if the input is too large, nested too deeply, of another protocol version, or not
/// a `T`.
pub fn decode<T: DeserializeOwned>(input: &[u8]) -> Result<T> {
    if input.len() > MAX_MESSAGE_LEN {
        return Err(ErrorKind::Size(input.len(), MAX_MESSAGE_LEN).into());
    }
    match input.split_first() {
        None => Err(ErrorKind::Truncated(0).into()),
        Some((&PROTOCOL_VERSION, body)) => {
            let mut deserializer = rmp_serde::Deserializer::from_read_ref(body);
            deserializer.set_max_depth(MAX_DEPTH);
            Ok(T::deserialize(&mut deserializer).map_err(ErrorKind::Decode)?)
        }
        Some((&version, _)) => Err(ErrorKind::Version(version, PROTOCOL_VERSION).into()),
    }
}
