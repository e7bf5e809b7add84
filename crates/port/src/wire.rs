//! Conversions between the messages of entries and their Cap'n Proto encoding.
//!
//! `put_*` functions write to a message builder, `get_*` functions read and
//! validate.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration};

use bytes::Bytes;
use capnp::{message::ReaderOptions, struct_list, text};
use chestnut_book::BookVersion;
use chestnut_conf::{ConfigDigest, Object, ObjectKey, ObjectKind};
use chestnut_fleet::{Addresses, Liveness, Member, Message, MessageKind, Successor};
use chestnut_once::{HandedTicket, Outcome, Ticket};
use chestnut_quarantine::{Fingerprint, LeafHash, SuspectReport};
use chestnut_route::{Failure, Refusal};
use chestnut_unit::{
    CallType, DomainName, Epoch, Incarnation, IndexVersion, LeafId, OrgName, Reason, RequestId,
    ServiceName,
};

use crate::{Dispatch, SubAnswer, SubQuery, Submission, SubmitReply, peer_capnp as schema};

/// Version of the protocol between entries.
pub(crate) const VERSION: u16 = 1;
/// Largest message that is accepted, in words of eight bytes: 16 MiB.
pub(crate) const MAX_MESSAGE_WORDS: usize = 2 << 20;
/// Deepest nesting of structs that is accepted; valid messages stay well below.
const MAX_NESTING: i32 = 16;

/// Result of decoding a message.
pub(crate) type DecodeResult<T> = Result<T, capnp::Error>;

/// Returns the limits for messages of at most `words` words from peers.
pub(crate) fn reader_options(words: usize) -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(words));
    options.nesting_limit(MAX_NESTING);
    options
}

/// The error for a message with invalid content.
fn invalid(what: impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(what.to_string())
}

/// Parses a text field; fails if it is not UTF-8 or not a valid `T`.
fn parse<T: FromStr>(text: text::Reader<'_>) -> DecodeResult<T>
where
    T::Err: std::fmt::Display,
{
    text.to_str()?.parse().map_err(invalid)
}

/// Fails unless a message has the protocol version of this release.
pub(crate) fn check_version(version: u16) -> DecodeResult<()> {
    if version == VERSION {
        return Ok(());
    }
    Err(invalid(format_args!(
        "protocol version {version} is not {VERSION}; run the same release on all entries"
    )))
}

/// Writes a member of the gossip membership.
pub(crate) fn put_member(member: &Member, mut to: schema::member::Builder<'_>) {
    to.set_id(member.id.as_str());
    to.set_domain(member.domain.as_str());
    to.set_callers(member.addresses.callers.to_string().as_str());
    to.set_operators(member.addresses.operators.to_string().as_str());
    to.set_peers(member.addresses.peers.to_string().as_str());
    to.set_incarnation(member.incarnation.0);
    to.set_beat(member.version);
    to.set_liveness(match member.liveness {
        Liveness::Alive => schema::Liveness::Alive,
        Liveness::Suspect => schema::Liveness::Suspect,
        Liveness::Gone => schema::Liveness::Gone,
    });
    to.set_leaving(member.leaving);
    to.set_weight(member.weight);
    to.set_load(member.load);
    let mut successors = to.init_heirs(member.successors.len() as u32);
    for (at, (incarnation, successor)) in (0u32..).zip(&member.successors) {
        let mut item = successors.reborrow().get(at);
        item.set_of(incarnation.0);
        item.set_member(successor.member.as_str());
        item.set_life(successor.incarnation.0);
    }
}

/// Reads a member.
pub(crate) fn get_member(from: schema::member::Reader<'_>) -> DecodeResult<Member> {
    let address = |text: text::Reader<'_>| parse::<SocketAddr>(text);
    Ok(Member {
        id: parse(from.get_id()?)?,
        domain: parse::<DomainName>(from.get_domain()?)?,
        addresses: Addresses {
            callers: address(from.get_callers()?)?,
            operators: address(from.get_operators()?)?,
            peers: address(from.get_peers()?)?,
        },
        incarnation: Incarnation(from.get_incarnation()),
        version: from.get_beat(),
        liveness: match from.get_liveness()? {
            schema::Liveness::Alive => Liveness::Alive,
            schema::Liveness::Suspect => Liveness::Suspect,
            schema::Liveness::Gone => Liveness::Gone,
        },
        leaving: from.get_leaving(),
        weight: from.get_weight(),
        load: from.get_load(),
        successors: from
            .get_heirs()?
            .iter()
            .map(get_successor)
            .collect::<DecodeResult<_>>()?,
    })
}

/// Reads the successor that took over the tickets of one incarnation of a
/// member.
fn get_successor(from: schema::heir::Reader<'_>) -> DecodeResult<(Incarnation, Successor)> {
    let successor = Successor {
        member: parse(from.get_member()?)?,
        incarnation: Incarnation(from.get_life()),
    };
    Ok((Incarnation(from.get_of()), successor))
}

/// Writes a list of members.
pub(crate) fn put_members(
    members: &[Member],
    mut to: struct_list::Builder<'_, schema::member::Owned>,
) {
    for (at, member) in (0u32..).zip(members) {
        put_member(member, to.reborrow().get(at));
    }
}

/// Reads a list of members.
pub(crate) fn get_members(
    from: struct_list::Reader<'_, schema::member::Owned>,
) -> DecodeResult<Vec<Member>> {
    from.iter().map(get_member).collect()
}

/// Writes the reports on suspect requests; times are sent as ages in milliseconds.
fn put_reports(reports: &[SuspectReport], mut to: struct_list::Builder<'_, schema::case::Owned>) {
    for (at, report) in reports.iter().enumerate() {
        let mut to = to.reborrow().get(at as u32);
        to.set_what(report.fingerprint.0);
        to.set_cleared_ms(report.answered.map_or(-1, |age| age.as_millis() as i64));
        to.set_episodes(report.episodes);
        let mut crashes = to.init_strikes(report.crashes.len() as u32);
        for (at, (leaf, age)) in report.crashes.iter().enumerate() {
            let mut crash = crashes.reborrow().get(at as u32);
            crash.set_leaf(leaf.0);
            crash.set_ago_ms(u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        }
    }
}

/// Reads the reports on suspect requests.
fn get_reports(
    from: struct_list::Reader<'_, schema::case::Owned>,
) -> DecodeResult<Vec<SuspectReport>> {
    from.iter().map(get_report).collect()
}

/// Reads a report on a suspect request, with the leafs that crashed under it.
fn get_report(from: schema::case::Reader<'_>) -> DecodeResult<SuspectReport> {
    let crashes = from.get_strikes()?;
    let crashes = crashes.iter().map(|crash| {
        let age = Duration::from_millis(u64::from(crash.get_ago_ms()));
        (LeafHash(crash.get_leaf()), age)
    });
    let answered = u64::try_from(from.get_cleared_ms()).ok();
    Ok(SuspectReport {
        fingerprint: Fingerprint(from.get_what()),
        answered: answered.map(Duration::from_millis),
        crashes: crashes.collect(),
        episodes: from.get_episodes(),
    })
}

/// Encodes a probe as one datagram, in the packed encoding of Cap'n Proto.
pub(crate) fn encode_probe(message: &Message) -> Vec<u8> {
    let mut builder = capnp::message::Builder::new_default();
    let mut root = builder.init_root::<schema::probe::Builder<'_>>();
    root.set_version(VERSION);
    match &message.kind {
        MessageKind::Ping => root.set_kind(schema::ProbeKind::Ping),
        MessageKind::Ack => root.set_kind(schema::ProbeKind::Ack),
        MessageKind::IndirectPing { target } => {
            root.set_kind(schema::ProbeKind::Relay);
            root.set_target(target.as_str());
        }
    }
    root.set_seq(message.seq);
    put_member(&message.from, root.reborrow().init_from());
    root.set_digest(message.digest.0);
    root.set_confirmed_ms(message.confirmed.map_or(-1, |age| age.as_millis() as i64));
    root.set_load(message.load);
    root.set_book(message.book.0);
    root.set_epoch(encode_epoch(message.epoch));
    let updates = root.reborrow().init_news(message.updates.len() as u32);
    put_members(&message.updates, updates);
    if !message.reports.is_empty() {
        put_reports(
            &message.reports,
            root.init_cases(message.reports.len() as u32),
        );
    }
    let mut bytes = Vec::new();
    capnp::serialize_packed::write_message(&mut bytes, &builder)
        .expect("writing to memory does not fail");
    bytes
}

/// Decodes a probe from a datagram. Fails if it is malformed or of another protocol
/// version.
pub(crate) fn decode_probe(bytes: &[u8]) -> DecodeResult<Message> {
    let message = capnp::serialize_packed::read_message(bytes, reader_options(MAX_MESSAGE_WORDS))?;
    let root = message.get_root::<schema::probe::Reader<'_>>()?;
    check_version(root.get_version())?;
    let kind = match root.get_kind()? {
        schema::ProbeKind::Ping => MessageKind::Ping,
        schema::ProbeKind::Ack => MessageKind::Ack,
        schema::ProbeKind::Relay => MessageKind::IndirectPing {
            target: parse(root.get_target()?)?,
        },
    };
    let age = u64::try_from(root.get_confirmed_ms()).ok();
    Ok(Message {
        kind,
        seq: root.get_seq(),
        from: get_member(root.get_from()?)?,
        digest: ConfigDigest(root.get_digest()),
        confirmed: age.map(Duration::from_millis),
        load: root.get_load(),
        book: BookVersion(root.get_book()),
        epoch: decode_epoch(root.get_epoch()),
        updates: get_members(root.get_news()?)?,
        reports: get_reports(root.get_cases()?)?,
    })
}

/// Encodes an epoch: 0 if none is told, as by peers of an earlier version, else one more.
pub(crate) fn encode_epoch(epoch: Epoch) -> u64 {
    epoch.0.map_or(0, |number| number.saturating_add(1))
}

/// Decodes an epoch from [`encode_epoch`].
pub(crate) fn decode_epoch(encoded: u64) -> Epoch {
    Epoch(encoded.checked_sub(1))
}

/// Writes a query for a part of the shards.
pub(crate) fn put_query(query: &SubQuery, mut to: schema::sub_query::Builder<'_>) {
    to.set_version(VERSION);
    to.set_request(query.request.0);
    to.set_service(query.service.as_str());
    to.set_index(query.index.0);
    to.set_body(&query.body);
    to.set_deadline_us(query.deadline.as_micros() as u64);
    let mut shards = to.init_shards(query.shards.len() as u32);
    for (at, shard) in (0u32..).zip(&query.shards) {
        shards.set(at, *shard);
    }
}

/// Reads a query for a part of the shards. Fails on another protocol version.
pub(crate) fn get_query(from: schema::sub_query::Reader<'_>) -> DecodeResult<SubQuery> {
    check_version(from.get_version())?;
    Ok(SubQuery {
        request: RequestId(from.get_request()),
        service: parse::<ServiceName>(from.get_service()?)?,
        index: IndexVersion(from.get_index()),
        shards: from.get_shards()?.iter().collect(),
        body: Bytes::copy_from_slice(from.get_body()?),
        deadline: Duration::from_micros(from.get_deadline_us()),
    })
}

/// Writes the answer to a query. Any failure but a refusal is sent as lost.
pub(crate) fn put_answer(answer: &SubAnswer, mut to: schema::sub_answer::Builder<'_>) {
    match answer {
        SubAnswer::Parts { index, parts } => {
            to.set_index(index.0);
            let mut list = to.init_parts(parts.len() as u32);
            for (at, (shard, rows)) in (0u32..).zip(parts) {
                let mut part = list.reborrow().get(at);
                part.set_shard(*shard);
                part.set_rows(rows);
            }
        }
        SubAnswer::Failed(Failure::Refused(refusal)) => to.set_refused(encode_refusal(*refusal)),
        SubAnswer::Failed(
            Failure::Lost | Failure::ConnectionSilent | Failure::NotSent | Failure::Failed,
        ) => to.set_lost(()),
    }
}

/// Reads the answer to a query.
pub(crate) fn get_answer(from: schema::sub_answer::Reader<'_>) -> DecodeResult<SubAnswer> {
    let index = IndexVersion(from.get_index());
    Ok(match from.which()? {
        schema::sub_answer::Which::Parts(parts) => SubAnswer::Parts {
            index,
            parts: parts?
                .iter()
                .map(|part| Ok((part.get_shard(), Bytes::copy_from_slice(part.get_rows()?))))
                .collect::<DecodeResult<_>>()?,
        },
        schema::sub_answer::Which::Refused(refusal) => {
            SubAnswer::Failed(Failure::Refused(decode_refusal(refusal?)))
        }
        schema::sub_answer::Which::Lost(()) => SubAnswer::Failed(Failure::Lost),
    })
}

/// Converts a refusal to its encoded form.
fn encode_refusal(refusal: Refusal) -> schema::Refusal {
    match refusal {
        Refusal::Shed => schema::Refusal::Shed,
        Refusal::Connections => schema::Refusal::Connections,
        Refusal::Draining => schema::Refusal::Draining,
        Refusal::NoSnapshot => schema::Refusal::NoSnapshot,
        Refusal::Deadline => schema::Refusal::Deadline,
    }
}

/// Converts a refusal from its encoded form.
fn decode_refusal(refusal: schema::Refusal) -> Refusal {
    match refusal {
        schema::Refusal::Shed => Refusal::Shed,
        schema::Refusal::Connections => Refusal::Connections,
        schema::Refusal::Draining => Refusal::Draining,
        schema::Refusal::NoSnapshot => Refusal::NoSnapshot,
        schema::Refusal::Deadline => Refusal::Deadline,
    }
}

/// Writes a submission that another entry passes to one leaf.
pub(crate) fn put_dispatch(dispatch: &Dispatch, mut to: schema::dispatch::Builder<'_>) {
    to.set_version(VERSION);
    to.set_request(dispatch.request.0);
    to.set_service(dispatch.service.as_str());
    to.set_call(dispatch.call.as_str());
    to.set_index(dispatch.index.0);
    to.set_shard(dispatch.shard);
    to.set_body(&dispatch.body);
    to.set_deadline_us(dispatch.deadline.as_micros() as u64);
}

/// Reads a submission that is to be passed to one leaf. Fails on another protocol
/// version.
pub(crate) fn get_dispatch(from: schema::dispatch::Reader<'_>) -> DecodeResult<Dispatch> {
    check_version(from.get_version())?;
    Ok(Dispatch {
        request: RequestId(from.get_request()),
        service: parse::<ServiceName>(from.get_service()?)?,
        call: parse::<CallType>(from.get_call()?)?,
        index: IndexVersion(from.get_index()),
        shard: from.get_shard(),
        body: Bytes::copy_from_slice(from.get_body()?),
        deadline: Duration::from_micros(from.get_deadline_us()),
    })
}

/// Writes the outcome of a dispatched submission. Refusals and [`Failure::NotSent`] are
/// kept; all other failures are sent as lost.
pub(crate) fn put_dispatched(
    answer: &Result<Bytes, Failure>,
    mut to: schema::dispatched::Builder<'_>,
) {
    match answer {
        Ok(done) => to.set_done(done),
        Err(Failure::Refused(refusal)) => to.set_refused(encode_refusal(*refusal)),
        Err(Failure::NotSent) => to.set_not_sent(()),
        Err(Failure::Lost | Failure::ConnectionSilent | Failure::Failed) => to.set_lost(()),
    }
}

/// Reads the outcome of a dispatched submission.
pub(crate) fn get_dispatched(
    from: schema::dispatched::Reader<'_>,
) -> DecodeResult<Result<Bytes, Failure>> {
    Ok(match from.which()? {
        schema::dispatched::Which::Done(done) => Ok(Bytes::copy_from_slice(done?)),
        schema::dispatched::Which::Refused(refusal) => {
            Err(Failure::Refused(decode_refusal(refusal?)))
        }
        schema::dispatched::Which::NotSent(()) => Err(Failure::NotSent),
        schema::dispatched::Which::Lost(()) => Err(Failure::Lost),
    })
}

/// Writes a submission for the entry that keeps its ticket.
pub(crate) fn put_submission(submission: &Submission, mut to: schema::submission::Builder<'_>) {
    to.set_version(VERSION);
    to.set_ticket(submission.ticket.to_string().as_str());
    to.set_organisation(submission.organisation.as_str());
    to.set_service(submission.service.as_str());
    to.set_call(submission.call.as_str());
    to.set_body(&submission.body);
    to.set_deadline_us(submission.deadline.as_micros() as u64);
}

/// Reads a submission for the entry that keeps its ticket. Fails on another protocol
/// version.
pub(crate) fn get_submission(from: schema::submission::Reader<'_>) -> DecodeResult<Submission> {
    check_version(from.get_version())?;
    Ok(Submission {
        ticket: parse::<Ticket>(from.get_ticket()?)?,
        organisation: parse::<OrgName>(from.get_organisation()?)?,
        service: parse::<ServiceName>(from.get_service()?)?,
        call: parse::<CallType>(from.get_call()?)?,
        body: Bytes::copy_from_slice(from.get_body()?),
        deadline: Duration::from_micros(from.get_deadline_us()),
    })
}

/// Writes the reply to a submission.
pub(crate) fn put_reply(reply: &SubmitReply, mut to: schema::outcome::Builder<'_>) {
    match reply {
        SubmitReply::Ran(answer) => to.set_done(answer),
        SubmitReply::NotRun(reason) => to.set_not_run(reason.number()),
        SubmitReply::Unknown(reason) => to.set_unknown(reason.number()),
    }
}

/// Reads the reply to a submission; fails if the number of its reason is unknown.
pub(crate) fn get_reply(from: schema::outcome::Reader<'_>) -> DecodeResult<SubmitReply> {
    let reason = |number| Reason::from_number(number).ok_or_else(|| invalid("unknown reason"));
    Ok(match from.which()? {
        schema::outcome::Which::Done(answer) => SubmitReply::Ran(Bytes::copy_from_slice(answer?)),
        schema::outcome::Which::NotRun(number) => SubmitReply::NotRun(reason(number)?),
        schema::outcome::Which::Unknown(number) => SubmitReply::Unknown(reason(number)?),
    })
}

/// Converts a stored outcome to a reply. An unknown outcome has no stored
/// reason, so the reply always gives the same one.
fn to_reply(outcome: &Outcome) -> SubmitReply {
    match outcome {
        Outcome::Done(answer) => SubmitReply::Ran(Bytes::copy_from_slice(answer)),
        Outcome::NotRun(reason) => SubmitReply::NotRun(*reason),
        Outcome::Unknown => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

/// Converts a reply to an outcome to be stored; the reason of an unknown one is
/// dropped.
fn to_outcome(reply: SubmitReply) -> Outcome {
    match reply {
        SubmitReply::Ran(answer) => Outcome::Done(answer.to_vec()),
        SubmitReply::NotRun(reason) => Outcome::NotRun(reason),
        SubmitReply::Unknown(_) => Outcome::Unknown,
    }
}

/// Writes tickets that are handed over, with their outcomes if settled.
pub(crate) fn put_handover(
    tickets: &[HandedTicket],
    mut to: struct_list::Builder<'_, schema::handed::Owned>,
) {
    for (at, handed) in (0u32..).zip(tickets) {
        let mut item = to.reborrow().get(at);
        item.set_ticket(handed.ticket.to_string().as_str());
        if let Some((body, outcome)) = &handed.settled {
            item.set_settled(true);
            item.set_body(*body);
            put_reply(&to_reply(outcome), item.init_outcome());
        }
    }
}

/// Reads tickets that are handed over.
pub(crate) fn get_handover(
    from: struct_list::Reader<'_, schema::handed::Owned>,
) -> DecodeResult<Vec<HandedTicket>> {
    let get_item = |item: schema::handed::Reader<'_>| {
        let settled = if item.get_settled() {
            let outcome = to_outcome(get_reply(item.get_outcome()?)?);
            Some((item.get_body(), outcome))
        } else {
            None
        };
        Ok(HandedTicket {
            ticket: parse(item.get_ticket()?)?,
            settled,
        })
    };
    from.iter().map(get_item).collect()
}

/// Writes the versions of the objects that the sender has.
pub(crate) fn put_versions(
    have: &BTreeMap<ObjectKey, u64>,
    mut to: struct_list::Builder<'_, schema::object_version::Owned>,
) {
    for (at, (key, version)) in (0u32..).zip(have) {
        let mut item = to.reborrow().get(at);
        item.set_kind(key.kind.as_str());
        item.set_name(key.name.as_str());
        item.set_version(*version);
    }
}

/// Reads the versions of the objects that the sender has.
pub(crate) fn get_versions(
    from: struct_list::Reader<'_, schema::object_version::Owned>,
) -> DecodeResult<BTreeMap<ObjectKey, u64>> {
    let get_item = |item: schema::object_version::Reader<'_>| {
        let key = get_key(item.get_kind()?, item.get_name()?)?;
        Ok((key, item.get_version()))
    };
    from.iter().map(get_item).collect()
}

/// Writes configuration objects; their values are sent as JSON.
pub(crate) fn put_objects(
    objects: &[Object],
    mut to: struct_list::Builder<'_, schema::object::Owned>,
) {
    for (at, object) in (0u32..).zip(objects) {
        let mut item = to.reborrow().get(at);
        item.set_kind(object.key.kind.as_str());
        item.set_name(object.key.name.as_str());
        item.set_version(object.version);
        item.set_value(object.value.to_string().as_bytes());
    }
}

/// Reads configuration objects; fails if a kind is unknown or a value is not JSON.
pub(crate) fn get_objects(
    from: struct_list::Reader<'_, schema::object::Owned>,
) -> DecodeResult<Vec<Object>> {
    let get_item = |item: schema::object::Reader<'_>| {
        Ok(Object {
            key: get_key(item.get_kind()?, item.get_name()?)?,
            version: item.get_version(),
            value: serde_json::from_slice(item.get_value()?).map_err(invalid)?,
        })
    };
    from.iter().map(get_item).collect()
}

/// Reads a list of leaf identifiers; fails if one is invalid.
pub(crate) fn get_leafs(from: capnp::text_list::Reader<'_>) -> DecodeResult<Vec<LeafId>> {
    from.iter().map(|text| parse(text?)).collect()
}

/// Reads the key of an object; fails if its kind is unknown.
fn get_key(kind: text::Reader<'_>, name: text::Reader<'_>) -> DecodeResult<ObjectKey> {
    Ok(ObjectKey {
        kind: parse::<ObjectKind>(kind)?,
        name: name.to_str()?.to_owned(),
    })
}
