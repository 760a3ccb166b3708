//! Encoding of records: length, CRC-32, body.

use crate::error::{Error, Result};
use consensus::LogEntry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::{MemberId, Revision, Term};

/// Length in bytes of the header of a record: body length and CRC-32.
const RECORD_HEADER_LEN: usize = 8;

/// Item of a log record; a record is a list of items that are applied in order.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum RecordItem {
    /// The current term and the vote in it.
    Vote(Term, Option<MemberId>),
    /// Removes the entries from this index on.
    Truncate(Revision),
    Entry(LogEntry),
    /// A snapshot at this index, or a later one, is on disk.
    Snapshot(Revision),
}

/// Second record of a snapshot file: which segments the snapshot replaces. Written
/// with the snapshot, so that it is durable before the first segment is removed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct SnapshotCoverage {
    /// The first segment that is needed. All entries of those before it are part of
    /// the snapshot.
    pub first_segment: u64,
}

/// Encodes a record for `offset` in the file with number `file_number`.
/// `None` if the body cannot be encoded or is longer than `u32::MAX` bytes.
pub(crate) fn encode_record<T: Serialize>(
    file_number: u64,
    offset: usize,
    body: &T,
) -> Option<Vec<u8>> {
    let mut record = vec![0; RECORD_HEADER_LEN];
    rmp_serde::encode::write(&mut record, body).ok()?;
    let len = u32::try_from(record.len() - RECORD_HEADER_LEN)
        .ok()?
        .to_le_bytes();
    let crc = checksum(file_number, offset, len, &record[RECORD_HEADER_LEN..]).to_le_bytes();
    record[..4].copy_from_slice(&len);
    record[4..RECORD_HEADER_LEN].copy_from_slice(&crc);
    Some(record)
}

fn checksum(file_number: u64, offset: usize, len: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&file_number.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(&len);
    hasher.update(body);
    hasher.finalize()
}

/// Bytes at the end of a file that are not a valid record.
#[derive(Debug)]
pub(crate) struct InvalidTail {
    pub offset: usize,
    pub reason: &'static str,
    /// A valid record starts at a later offset, so the bytes are not the rest of
    /// a write that a crash interrupted.
    pub precedes_valid_record: bool,
}

/// Reads the records of one file.
pub(crate) struct RecordReader<'a> {
    file: &'a str,
    file_number: u64,
    data: &'a [u8],
    offset: usize,
}

impl<'a> RecordReader<'a> {
    pub fn new(file: &'a str, file_number: u64, data: &'a [u8]) -> Self {
        RecordReader {
            file,
            file_number,
            data,
            offset: 0,
        }
    }

    /// Decodes the next record; `None` at the end of the file or where no valid
    /// record follows.
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Ok(body) = self.body_at(self.offset) else {
            return Ok(None);
        };
        let record = rmp_serde::from_slice(body)
            .map_err(|_| Error::damaged(self.file, self.offset, "the record has another format"))?;
        self.offset += RECORD_HEADER_LEN + body.len();
        Ok(Some(record))
    }

    /// The bytes after the last valid record, if any.
    pub fn invalid_tail(&self) -> Option<InvalidTail> {
        if self.offset == self.data.len() {
            return None;
        }
        let reason = self.body_at(self.offset).err()?;
        let mut later_offsets = self.offset + 1..self.data.len();
        let precedes_valid_record = later_offsets.any(|offset| self.body_at(offset).is_ok());
        Some(InvalidTail {
            offset: self.offset,
            reason,
            precedes_valid_record,
        })
    }

    fn body_at(&self, offset: usize) -> std::result::Result<&'a [u8], &'static str> {
        const TRUNCATED: &str = "the file ends inside a record";
        let rest = &self.data[offset..];
        let (len, rest) = rest.split_first_chunk::<4>().ok_or(TRUNCATED)?;
        let (crc, rest) = rest.split_first_chunk::<4>().ok_or(TRUNCATED)?;
        let body_len = u32::from_le_bytes(*len) as usize;
        let body = rest.get(..body_len).ok_or(TRUNCATED)?;
        // A file system may fill the range of a lost write with zero bytes.
        if body_len == 0
            || checksum(self.file_number, offset, *len, body) != u32::from_le_bytes(*crc)
        {
            return Err("the checksum of the record does not match");
        }
        Ok(body)
    }
}
