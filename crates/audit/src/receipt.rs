//! Receipts, which carry the truth about a refusal in themselves.

use base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD};
use chestnut_unit::{CallType, MemberId, OrgName, Reason, RequestId, Run, ServiceName, Wall};
use displaydoc::Display;
use serde::Serialize;

/// First byte of a receipt; changes with its form.
const FORM: u8 = 1;
/// Bytes of the check value. A forger has one chance in 2^64 a try.
const CHECK: usize = 8;
/// Longest text that is looked at.
const TEXT_MAX: usize = 1024;
/// Context of the key derivation.
const CONTEXT: &str = "chestnutpost 2026-12 refusal receipt check value";

/// Why a text is not a receipt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ReceiptError {
    /// the text is not a receipt of this tier
    Malformed,
    /// the check value does not match: the receipt was altered or made elsewhere
    Check,
}

impl std::error::Error for ReceiptError {}

/// Key of the check value, the same at every entry.
#[derive(Clone)]
pub struct CheckKey([u8; 32]);

impl CheckKey {
    /// The key from the secret in the settings.
    #[must_use]
    pub fn from_secret(secret: &str) -> Self {
        Self(blake3::derive_key(CONTEXT, secret.as_bytes()))
    }

    fn check(&self, body: &[u8]) -> [u8; CHECK] {
        let hash = blake3::keyed_hash(&self.0, body);
        let mut check = [0; CHECK];
        check.copy_from_slice(&hash.as_bytes()[..CHECK]);
        check
    }
}

/// A refusal: what was asked, why it was refused, and what was run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Receipt {
    /// The entry that refused.
    pub entry: MemberId,
    /// The request at that entry.
    pub request: RequestId,
    /// When, by the entry's clock.
    pub at: Wall,
    /// Why.
    pub reason: Reason,
    /// What was run.
    pub run: Run,
    /// Version of the organisation object that was in force; 0 if none was.
    pub org_version: u64,
    /// Version of the template object that was in force; 0 if none was.
    pub template_version: u64,
    /// The organisation, if the request named one that could be read.
    pub organisation: Option<OrgName>,
    /// The service, likewise.
    pub service: Option<ServiceName>,
    /// The call type, likewise.
    pub call: Option<CallType>,
}

impl Receipt {
    /// The receipt as text, with its check value.
    #[must_use]
    pub fn encode(&self, key: &CheckKey) -> String {
        let mut bytes = vec![FORM, self.reason.number(), run_number(self.run)];
        for number in [
            self.request.0,
            self.at.0,
            self.org_version,
            self.template_version,
        ] {
            put_number(&mut bytes, number);
        }
        put_text(&mut bytes, self.entry.as_str());
        put_text(
            &mut bytes,
            self.organisation.as_ref().map_or("", OrgName::as_str),
        );
        put_text(
            &mut bytes,
            self.service.as_ref().map_or("", ServiceName::as_str),
        );
        put_text(&mut bytes, self.call.as_ref().map_or("", CallType::as_str));
        let check = key.check(&bytes);
        bytes.extend_from_slice(&check);
        URL_SAFE_NO_PAD.encode(bytes)
    }

    /// Reads a receipt back.
    ///
    /// # Errors
    ///
    /// The text is not a receipt, or its check value does not match.
    pub fn decode(text: &str, key: &CheckKey) -> Result<Self, ReceiptError> {
        if text.len() > TEXT_MAX {
            return Err(ReceiptError::Malformed);
        }
        let bytes = URL_SAFE_NO_PAD
            .decode(text)
            .map_err(|_| ReceiptError::Malformed)?;
        let (body, check) = bytes
            .split_last_chunk::<CHECK>()
            .ok_or(ReceiptError::Malformed)?;
        if key.check(body) != *check {
            return Err(ReceiptError::Check);
        }
        parse(body).ok_or(ReceiptError::Malformed)
    }
}

fn parse(body: &[u8]) -> Option<Receipt> {
    let [form, reason, run, rest @ ..] = body else {
        return None;
    };
    if *form != FORM {
        return None;
    }
    let mut rest = rest;
    let request = RequestId(get_number(&mut rest)?);
    let at = Wall(get_number(&mut rest)?);
    let org_version = get_number(&mut rest)?;
    let template_version = get_number(&mut rest)?;
    let entry = MemberId::new(get_text(&mut rest)?).ok()?;
    let organisation = OrgName::new(get_text(&mut rest)?).ok();
    let service = ServiceName::new(get_text(&mut rest)?).ok();
    let call = CallType::new(get_text(&mut rest)?).ok();
    Some(Receipt {
        entry,
        request,
        at,
        reason: Reason::from_number(*reason)?,
        run: run_from(*run)?,
        org_version,
        template_version,
        organisation,
        service,
        call,
    })
}

fn run_number(run: Run) -> u8 {
    match run {
        Run::NotRun => 0,
        Run::Unknown => 1,
        Run::Partial => 2,
    }
}

fn run_from(number: u8) -> Option<Run> {
    match number {
        0 => Some(Run::NotRun),
        1 => Some(Run::Unknown),
        2 => Some(Run::Partial),
        _ => None,
    }
}

/// Little-endian base 128, as numbers here are mostly small.
fn put_number(out: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        out.push((number as u8) | 0x80);
        number >>= 7;
    }
    out.push(number as u8);
}

fn get_number(rest: &mut &[u8]) -> Option<u64> {
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

fn put_text(out: &mut Vec<u8>, text: &str) {
    put_number(out, text.len() as u64);
    out.extend_from_slice(text.as_bytes());
}

fn get_text<'a>(rest: &mut &'a [u8]) -> Option<&'a str> {
    let length = usize::try_from(get_number(rest)?).ok()?;
    let (text, tail) = rest.split_at_checked(length)?;
    *rest = tail;
    std::str::from_utf8(text).ok()
}
