//! Tickets and their text form.

use std::{fmt, str::FromStr};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use chestnut_unit::{Incarnation, MemberId, WallTime};
use displaydoc::Display;

/// Bytes of the fixed part: nonce, incarnation, sequence number, expiry.
const FIXED_LEN: usize = 16 + 8 + 8 + 8;
/// Longest text that is decoded, in bytes.
const MAX_TEXT_LEN: usize = 256;

/// The error of parsing a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TicketError {
    /// the text is not a ticket of this tier
    Malformed,
}

impl std::error::Error for TicketError {}

/// A permit for one submission. Its text is opaque to callers, and the nonce
/// makes it unguessable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The member that minted it.
    pub issuer: MemberId,
    /// The incarnation of that member which minted it.
    pub incarnation: Incarnation,
    /// Its sequence number in that incarnation.
    pub seq: u64,
    /// Time from which on it is refused, unless it was used before.
    pub expiry: WallTime,
    /// Random bytes that make the ticket unguessable.
    pub nonce: [u8; 16],
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = Vec::with_capacity(FIXED_LEN + self.issuer.as_str().len());
        bytes.extend_from_slice(&self.nonce);
        bytes.extend_from_slice(&self.incarnation.0.to_be_bytes());
        bytes.extend_from_slice(&self.seq.to_be_bytes());
        bytes.extend_from_slice(&self.expiry.0.to_be_bytes());
        bytes.extend_from_slice(self.issuer.as_str().as_bytes());
        f.write_str(&URL_SAFE_NO_PAD.encode(bytes))
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        if text.len() > MAX_TEXT_LEN {
            return Err(TicketError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TicketError::Malformed)?;
        let (nonce, rest) = split_array::<16>(&bytes)?;
        let (incarnation, rest) = split_array::<8>(rest)?;
        let (seq, rest) = split_array::<8>(rest)?;
        let (expiry, rest) = split_array::<8>(rest)?;
        let name = std::str::from_utf8(rest).map_err(|_| TicketError::Malformed)?;
        Ok(Self {
            issuer: MemberId::new(name).map_err(|_| TicketError::Malformed)?,
            incarnation: Incarnation(u64::from_be_bytes(incarnation)),
            seq: u64::from_be_bytes(seq),
            expiry: WallTime(u64::from_be_bytes(expiry)),
            nonce,
        })
    }
}

/// Splits off the first `N` bytes; fails if there are fewer.
fn split_array<const N: usize>(bytes: &[u8]) -> Result<([u8; N], &[u8]), TicketError> {
    let (head, rest) = bytes
        .split_first_chunk::<N>()
        .ok_or(TicketError::Malformed)?;
    Ok((*head, rest))
}
