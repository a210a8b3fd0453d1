//! Record framing: length, CRC32 of the length, CRC32 of the body, body.
//!
//! The length has its own checksum, so that a damaged length is not mistaken for a torn
//! record at the end of the file.

use replog::{Entry, HardState, Index, Snapshot};
use serde::{Deserialize, Serialize};

/// The size of a record's header: length and two checksums.
pub(crate) const HEADER_BYTES: usize = 12;

/// One record of the log file.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    HardState(HardState),
    Truncate(Index),
    Append(Entry),
    Snapshot(Snapshot),
}

/// The result of decoding a file at an offset.
#[derive(Debug)]
pub(crate) enum Frame {
    /// A complete record and the offset after it.
    Complete(Record, usize),
    /// The end of the file.
    End,
    /// An incompletely written last record.
    Torn,
    /// A record that was completely written but is damaged or unreadable.
    Damaged(&'static str),
}

/// Encodes a record with its frame and appends it to `buf`.
pub(crate) fn encode(record: &Record, buf: &mut Vec<u8>) {
    let body = bincode::serde::encode_to_vec(record, bincode::config::standard())
        .expect("encoding into memory fails only for unsupported types");
    let length = u32::try_from(body.len()).expect("a record is smaller than 4 GiB").to_le_bytes();
    buf.extend_from_slice(&length);
    buf.extend_from_slice(&crc32fast::hash(&length).to_le_bytes());
    buf.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    buf.extend_from_slice(&body);
}

/// Decodes the record at `offset`.
pub(crate) fn decode(file: &[u8], offset: usize) -> Frame {
    let rest = &file[offset..];
    if rest.is_empty() {
        return Frame::End;
    }
    if rest.len() < HEADER_BYTES || rest.iter().all(|byte| *byte == 0) {
        return Frame::Torn;
    }
    let length = &rest[0..4];
    if crc32fast::hash(length) != read_u32(&rest[4..8]) {
        return Frame::Damaged("checksum mismatch in the length");
    }
    let end = HEADER_BYTES + read_u32(length) as usize;
    let Some(body) = rest.get(HEADER_BYTES..end) else {
        return Frame::Torn;
    };
    if crc32fast::hash(body) != read_u32(&rest[8..12]) {
        let is_last = end == rest.len();
        return if is_last { Frame::Torn } else { Frame::Damaged("checksum mismatch in the body") };
    }
    match bincode::serde::decode_from_slice(body, bincode::config::standard()) {
        Ok((record, _)) => Frame::Complete(record, offset + end),
        Err(_) => Frame::Damaged("this version can't decode the body"),
    }
}

fn read_u32(bytes: &[u8]) -> u32 {
    let mut array = [0; 4];
    array.copy_from_slice(bytes);
    u32::from_le_bytes(array)
}
