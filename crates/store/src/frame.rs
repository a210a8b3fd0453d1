//! Framing of records: length, CRC32 of the length, CRC32 of the body, body.
//!
//! The length has a checksum of its own, so that a damaged length is not taken for a
//! record that was cut off at the end of the file.

use replog::{Entry, HardState, Index, Snapshot};
use serde::{Deserialize, Serialize};

/// Bytes before the body of a record.
pub(crate) const HEADER_BYTES: usize = 12;

/// One record of the file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    HardState(HardState),
    Truncate(Index),
    Append(Entry),
    Snapshot(Snapshot),
}

/// What stands at an offset of a file.
#[derive(Debug)]
pub(crate) enum Frame {
    /// A whole record and the offset behind it.
    Whole(Record, usize),
    /// The end of the file.
    End,
    /// A last record that was not wholly written.
    Torn,
    /// A record that was written and has changed since.
    Damaged(&'static str),
}

/// Appends a framed record to a buffer.
pub(crate) fn encode(record: &Record, buf: &mut Vec<u8>) {
    let body = bincode::serde::encode_to_vec(record, bincode::config::standard())
        .expect("encoding into memory fails only for unsupported types");
    let length = u32::try_from(body.len()).expect("a record below 4 GiB").to_le_bytes();
    buf.extend_from_slice(&length);
    buf.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buf.extend_from_slice(&body);
}

/// Reads the record at `offset`.
pub(crate) fn decode(file: &[u8], offset: usize) -> Frame {
    let rest = &file[offset..];
    if rest.is_empty() {
        return Frame::End;
    }
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Frame::Torn;
    }
    let length = &rest[0..4];
    if crc32fast::hash(length) != word(&rest[4..8]) {
        return Frame::Damaged("its length does not match its checksum");
    }
    let end = HEADER_BYTES + word(length) as usize;
    let Some(body) = rest.get(HEADER_BYTES..end) else {
        return Frame::Torn;
    };
    if crc32fast::hash(body) != word(&rest[8..12]) {
        let last = end == rest.len();
        return if last {
            Frame::Torn
        } else {
            Frame::Damaged("its body does not match its checksum")
        };
    }
    match bincode::serde::decode_from_slice(body, bincode::config::standard()) {
        Ok((record, _)) => Frame::Whole(record, offset + end),
        Err(_) => Frame::Damaged("its body can't be read by this version"),
    }
}

fn word(bytes: &[u8]) -> u32 {
    let mut word = [0; 4];
    word.copy_from_slice(bytes);
    u32::from_le_bytes(word)
}
