//! Tickets of submissions.

use std::{fmt, str::FromStr};

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use chestnut_unit::{Incarnation, MemberId, Wall};
use displaydoc::Display;

/// Bytes of the fixed part: nonce, incarnation, sequence, expiry.
const FIXED: usize = 16 + 8 + 8 + 8;
/// Longest text that is looked at.
const TEXT_MAX: usize = 256;

/// Why a text is not a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum TicketError {
    /// the text is not a ticket of this tier
    Malformed,
}

impl std::error::Error for TicketError {}

/// A permit for one submission. The text of it is opaque to callers; the
/// nonce makes it unguessable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The member that minted it.
    pub keeper: MemberId,
    /// The life of that member's process.
    pub incarnation: Incarnation,
    /// Its number in that life.
    pub seq: u64,
    /// After this it is refused.
    pub expiry: Wall,
    /// Random.
    pub nonce: [u8; 16],
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut bytes = Vec::with_capacity(FIXED + self.keeper.as_str().len());
        bytes.extend_from_slice(&self.nonce);
        bytes.extend_from_slice(&self.incarnation.0.to_be_bytes());
        bytes.extend_from_slice(&self.seq.to_be_bytes());
        bytes.extend_from_slice(&self.expiry.0.to_be_bytes());
        bytes.extend_from_slice(self.keeper.as_str().as_bytes());
        f.write_str(&URL_SAFE_NO_PAD.encode(bytes))
    }
}

impl FromStr for Ticket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        if text.len() > TEXT_MAX {
            return Err(TicketError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| TicketError::Malformed)?;
        let (nonce, rest) = take::<16>(&bytes)?;
        let (incarnation, rest) = take::<8>(rest)?;
        let (seq, rest) = take::<8>(rest)?;
        let (expiry, rest) = take::<8>(rest)?;
        let name = std::str::from_utf8(rest).map_err(|_| TicketError::Malformed)?;
        Ok(Self {
            keeper: MemberId::new(name).map_err(|_| TicketError::Malformed)?,
            incarnation: Incarnation(u64::from_be_bytes(incarnation)),
            seq: u64::from_be_bytes(seq),
            expiry: Wall(u64::from_be_bytes(expiry)),
            nonce,
        })
    }
}

fn take<const N: usize>(bytes: &[u8]) -> Result<([u8; N], &[u8]), TicketError> {
    let (head, rest) = bytes
        .split_first_chunk::<N>()
        .ok_or(TicketError::Malformed)?;
    Ok((*head, rest))
}
