//! Self-contained, authenticated receipts of refusals.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use chestnut_unit::{
    CallType, Execution, MemberId, OrgName, Reason, RequestId, ServiceName, WallTime,
};
use displaydoc::Display;
use serde::Serialize;

/// First byte of a receipt: the version of its format.
const FORMAT_VERSION: u8 = 1;
/// Bytes of the check value, a truncated keyed hash that is too long to
/// guess.
const CHECK_LEN: usize = 8;
/// Longest text that is decoded, in bytes.
const MAX_TEXT_LEN: usize = 1024;
/// BLAKE3 context that separates the receipt key from other keys derived from
/// the same secret.
const KEY_CONTEXT: &str = "chestnutpost 2026-12 refusal receipt check value";

/// Why a text was not accepted as a receipt: its format is invalid, or its
/// check value is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ReceiptError {
    /// the text is not a receipt of this tier
    Malformed,
    /// the check value does not match: the receipt was altered or made elsewhere
    Check,
}

impl std::error::Error for ReceiptError {}

/// Secret key of the check value of receipts. All entries use the same one, so
/// that each can decode the receipts of the others.
#[derive(Clone)]
pub struct MacKey([u8; 32]);

impl MacKey {
    /// Derives the key from the secret in the settings.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }

    /// Returns the check value of `body`: the first bytes of its keyed BLAKE3
    /// hash.
    fn check(&self, body: &[u8]) -> [u8; CHECK_LEN] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut check = [0; CHECK_LEN];
        check.copy_from_slice(&hash.as_bytes()[..CHECK_LEN]);
        check
    }
}

/// A refusal: which request was refused, when, why, how much of it was run and
/// which settings applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Receipt {
    /// The entry that refused.
    pub entry: MemberId,
    /// The id of the request at that entry.
    pub request: RequestId,
    /// Time of the refusal by the entry's clock.
    pub at: WallTime,
    /// Why the request was refused.
    pub reason: Reason,
    /// How much of the request was run.
    pub run: Execution,
    /// Version of the organisation object that was in force; 0 if none was.
    pub org_version: u64,
    /// Version of the template object that was in force; 0 if none was.
    pub template_version: u64,
    /// The organisation, if the request named one that could be read.
    pub organisation: Option<OrgName>,
    /// The service, if the request named one that could be read.
    pub service: Option<ServiceName>,
    /// The call type, if the request named one that could be read.
    pub call: Option<CallType>,
}

impl Receipt {
    /// Encodes the receipt and its check value as URL-safe base64 text without
    /// padding.
    #[must_use]
    pub fn encode(&self, key: &MacKey) -> String {
        let mut bytes = vec![FORMAT_VERSION, self.reason.number(), encode_run(self.run)];
        for number in [
            self.request.0,
            self.at.0,
            self.org_version,
            self.template_version,
        ] {
            write_varint(&mut bytes, number);
        }
        write_text(&mut bytes, self.entry.as_str());
        write_text(
            &mut bytes,
            self.organisation.as_ref().map_or("", OrgName::as_str),
        );
        write_text(
            &mut bytes,
            self.service.as_ref().map_or("", ServiceName::as_str),
        );
        write_text(&mut bytes, self.call.as_ref().map_or("", CallType::as_str));
        let check = key.check(&bytes);
        bytes.extend_from_slice(&check);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Decodes a receipt and verifies its check value.
    ///
    /// # Errors
    ///
    /// Returns [`ReceiptError::Check`] if the check value does not match under
    /// `key`, and [`ReceiptError::Malformed`] if the text is too long, is not
    /// base64 or has an unknown version or invalid content.
    pub fn decode(text: &str, key: &MacKey) -> Result<Self, ReceiptError> {
        if text.len() > MAX_TEXT_LEN {
            return Err(ReceiptError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| ReceiptError::Malformed)?;
        let (body, check) = bytes
            .split_last_chunk::<CHECK_LEN>()
            .ok_or(ReceiptError::Malformed)?;
        if key.check(body) != *check {
            return Err(ReceiptError::Check);
        }
        parse(body).ok_or(ReceiptError::Malformed)
    }
}

/// Decodes the body of a receipt, without its check value; `None` if the
/// version is unknown or a field is cut off or invalid. An invalid name of an
/// organisation, service or call type counts as absent.
fn parse(body: &[u8]) -> Option<Receipt> {
    let [version, reason, run, rest @ ..] = body else {
        return None;
    };
    if *version != FORMAT_VERSION {
        return None;
    }
    let mut rest = rest;
    let request = RequestId(read_varint(&mut rest)?);
    let at = WallTime(read_varint(&mut rest)?);
    let org_version = read_varint(&mut rest)?;
    let template_version = read_varint(&mut rest)?;
    let entry = MemberId::new(read_text(&mut rest)?).ok()?;
    let organisation = OrgName::new(read_text(&mut rest)?).ok();
    let service = ServiceName::new(read_text(&mut rest)?).ok();
    let call = CallType::new(read_text(&mut rest)?).ok();
    Some(Receipt {
        entry,
        request,
        at,
        reason: Reason::from_number(*reason)?,
        run: decode_run(*run)?,
        org_version,
        template_version,
        organisation,
        service,
        call,
    })
}

/// Returns the byte that stands for `run` in a receipt.
fn encode_run(run: Execution) -> u8 {
    match run {
        Execution::NotRun => 0,
        Execution::Unknown => 1,
        Execution::Partial => 2,
    }
}

/// Returns the [`Execution`] of a byte of a receipt; `None` if it is unknown.
fn decode_run(number: u8) -> Option<Execution> {
    match number {
        0 => Some(Execution::NotRun),
        1 => Some(Execution::Unknown),
        2 => Some(Execution::Partial),
        _ => None,
    }
}

/// Appends a variable-length integer (LEB128) to `out`, since most numbers here
/// are small.
fn write_varint(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push((number as u8) | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

/// Reads a variable-length integer (LEB128) from the front of `rest` and
/// advances it; `None` if the integer is cut off or too long for 64 bits.
fn read_varint(rest: &mut &[u8]) -> Option<u64> {
    let mut number = 0u64;
    for shift in (0..64).step_by(7) {
        let (byte, tail) = rest.split_first()?;
        *rest = tail;
        number |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Some(number);
        }
    }
    None
}

/// Appends the length of `text` in bytes as a varint, then the text.
fn write_text(out: &mut Vec<u8>, text: &str) {
    write_varint(out, text.len() as u64);
    out.extend_from_slice(text.as_bytes());
}

/// Reads a text with its length in front and advances `rest`; `None` if it is
/// cut off or not UTF-8.
fn read_text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let length = usize::try_from(read_varint(rest)?).ok()?;
    let (text, tail) = rest.split_at_checked(length)?;
    *rest = tail;
    std::str::from_utf8(text).ok()
}
