//! Records: length, CRC-32, body.

use crate::error::{Error, Result};
use consensus::LogEntry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use types::{MemberId, Revision, Term};

const HEADER: usize = 8;

/// One step of a write, in a record of the log.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Item {
    Vote(Term, Option<MemberId>),
    /// Entries from this index on are dropped.
    Truncate(Revision),
    Entry(LogEntry),
    /// A snapshot at this index, or a later one, is in place.
    Snapshot(Revision),
}

/// Encodes a record that stands at `offset` of the file numbered `place`.
pub(crate) fn encode<T: Serialize>(place: u64, offset: usize, body: &T) -> Option<Vec<u8>> {
    let mut record = vec![0; HEADER];
    rmp_serde::encode::write(&mut record, body).ok()?;
    let len = u32::try_from(record.len() - HEADER).ok()?.to_le_bytes();
    let crc = checksum(place, offset, len, &record[HEADER..]).to_le_bytes();
    record[..4].copy_from_slice(&len);
    record[4..HEADER].copy_from_slice(&crc);
    Some(record)
}

fn checksum(place: u64, offset: usize, len: [u8; 4], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&place.to_le_bytes());
    hasher.update(&(offset as u64).to_le_bytes());
    hasher.update(&len);
    hasher.update(body);
    hasher.finalize()
}

/// Where the valid records of a file end although bytes follow.
#[derive(Debug)]
pub(crate) struct Torn {
    pub offset: usize,
    pub what: &'static str,
    /// A valid record follows, so this is not the end of a torn write.
    pub followed: bool,
}

/// Reads the records of one file.
pub(crate) struct Reader<'a> {
    file: &'a str,
    place: u64,
    data: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    pub fn new(file: &'a str, place: u64, data: &'a [u8]) -> Self {
        Reader {
            file,
            place,
            data,
            offset: 0,
        }
    }

    /// The next record; `None` at the end of the file or where it is torn.
    pub fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Ok(body) = self.body_at(self.offset) else {
            return Ok(None);
        };
        let record = rmp_serde::from_slice(body)
            .map_err(|_| Error::damaged(self.file, self.offset, "the record has another format"))?;
        self.offset += HEADER + body.len();
        Ok(Some(record))
    }

    /// Tells why the records end before the file does.
    pub fn torn(&self) -> Option<Torn> {
        if self.offset == self.data.len() {
            return None;
        }
        let what = self.body_at(self.offset).err()?;
        let mut later = self.offset + 1..self.data.len();
        let followed = later.any(|offset| self.body_at(offset).is_ok());
        Some(Torn {
            offset: self.offset,
            what,
            followed,
        })
    }

    fn body_at(&self, offset: usize) -> std::result::Result<&'a [u8], &'static str> {
        const SHORT: &str = "the file ends inside a record";
        let rest = &self.data[offset..];
        let (len, rest) = rest.split_first_chunk::<4>().ok_or(SHORT)?;
        let (crc, rest) = rest.split_first_chunk::<4>().ok_or(SHORT)?;
        let size = u32::from_le_bytes(*len) as usize;
        let body = rest.get(..size).ok_or(SHORT)?;
        // A file system may fill the place of a lost write with zero bytes.
        if size == 0 || checksum(self.place, offset, *len, body) != u32::from_le_bytes(*crc) {
            return Err("the checksum of the record does not match");
        }
        Ok(body)
    }
}
