//! Cap'n Proto forms of the messages between entries.

use std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration};

use bytes::Bytes;
use capnp::{message::ReaderOptions, struct_list, text};
use chestnut_book::BookVersion;
use chestnut_conf::{BookDigest, Kind, Object, ObjectKey};
use chestnut_fleet::{Addresses, Heir, Liveness, Member, Probe, ProbeKind};
use chestnut_once::{HandedTicket, Outcome, Ticket};
use chestnut_quarantine::{Fingerprint, LeafHash, SuspectReport};
use chestnut_route::{Failure, Refusal};
use chestnut_unit::{
    CallType, DomainName, Incarnation, IndexVersion, LeafId, OrgName, Reason, RequestId,
    ServiceName,
};

use crate::{Dispatch, SubAnswer, SubQuery, Submission, SubmitReply, peer_capnp as schema};

/// Version of the protocol between entries.
pub(crate) const VERSION: u16 = 1;
/// Largest message that is read, in words of eight bytes: 16 MiB.
const MESSAGE_WORDS: usize = 2 << 20;
/// Deepest nesting that is read; ours is four.
const NESTING: i32 = 16;

pub(crate) type Read<T> = Result<T, capnp::Error>;

/// Limits on what is read from a peer.
pub(crate) fn reader_options() -> ReaderOptions {
    let mut options = ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS));
    options.nesting_limit(NESTING);
    options
}

fn bad(what: impl std::fmt::Display) -> capnp::Error {
    capnp::Error::failed(what.to_string())
}

fn parse<T: FromStr>(text: text::Reader<'_>) -> Read<T>
where
    T::Err: std::fmt::Display,
{
    text.to_str()?.parse().map_err(bad)
}

/// Checks the version that a message carries.
pub(crate) fn check_version(version: u16) -> Read<()> {
    if version == VERSION {
        return Ok(());
    }
    Err(bad(format_args!(
        "protocol version {version} is not {VERSION}; run the same release on all entries"
    )))
}

pub(crate) fn put_member(member: &Member, mut to: schema::member::Builder<'_>) {
    to.set_id(member.id.as_str());
    to.set_domain(member.domain.as_str());
    to.set_callers(member.addresses.callers.to_string().as_str());
    to.set_operators(member.addresses.operators.to_string().as_str());
    to.set_peers(member.addresses.peers.to_string().as_str());
    to.set_incarnation(member.incarnation.0);
    to.set_beat(member.beat);
    to.set_liveness(match member.liveness {
        Liveness::Alive => schema::Liveness::Alive,
        Liveness::Suspect => schema::Liveness::Suspect,
        Liveness::Gone => schema::Liveness::Gone,
    });
    to.set_leaving(member.leaving);
    to.set_weight(member.weight);
    to.set_load(member.load);
    let mut heirs = to.init_heirs(member.heirs.len() as u32);
    for (at, (of, heir)) in (0u32..).zip(&member.heirs) {
        let mut item = heirs.reborrow().get(at);
        item.set_of(of.0);
        item.set_member(heir.member.as_str());
        item.set_life(heir.life.0);
    }
}

pub(crate) fn get_member(from: schema::member::Reader<'_>) -> Read<Member> {
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
        beat: from.get_beat(),
        liveness: match from.get_liveness()? {
            schema::Liveness::Alive => Liveness::Alive,
            schema::Liveness::Suspect => Liveness::Suspect,
            schema::Liveness::Gone => Liveness::Gone,
        },
        leaving: from.get_leaving(),
        weight: from.get_weight(),
        load: from.get_load(),
        heirs: from
            .get_heirs()?
            .iter()
            .map(get_heir)
            .collect::<Read<_>>()?,
    })
}

fn get_heir(from: schema::heir::Reader<'_>) -> Read<(Incarnation, Heir)> {
    let heir = Heir {
        member: parse(from.get_member()?)?,
        life: Incarnation(from.get_life()),
    };
    Ok((Incarnation(from.get_of()), heir))
}

pub(crate) fn put_members(
    members: &[Member],
    mut to: struct_list::Builder<'_, schema::member::Owned>,
) {
    for (at, member) in (0u32..).zip(members) {
        put_member(member, to.reborrow().get(at));
    }
}

pub(crate) fn get_members(
    from: struct_list::Reader<'_, schema::member::Owned>,
) -> Read<Vec<Member>> {
    from.iter().map(get_member).collect()
}

fn put_cases(cases: &[SuspectReport], mut to: struct_list::Builder<'_, schema::case::Owned>) {
    for (at, case) in cases.iter().enumerate() {
        let mut to = to.reborrow().get(at as u32);
        to.set_what(case.fingerprint.0);
        to.set_cleared_ms(case.answered.map_or(-1, |age| age.as_millis() as i64));
        to.set_episodes(case.episodes);
        let mut crashes = to.init_strikes(case.crashes.len() as u32);
        for (at, (leaf, age)) in case.crashes.iter().enumerate() {
            let mut crash = crashes.reborrow().get(at as u32);
            crash.set_leaf(leaf.0);
            crash.set_ago_ms(u32::try_from(age.as_millis()).unwrap_or(u32::MAX));
        }
    }
}

fn get_cases(from: struct_list::Reader<'_, schema::case::Owned>) -> Read<Vec<SuspectReport>> {
    from.iter().map(get_case).collect()
}

fn get_case(from: schema::case::Reader<'_>) -> Read<SuspectReport> {
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

/// A probe as one datagram.
pub(crate) fn probe_bytes(probe: &Probe) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    let mut root = message.init_root::<schema::probe::Builder<'_>>();
    root.set_version(VERSION);
    match &probe.kind {
        ProbeKind::Ping => root.set_kind(schema::ProbeKind::Ping),
        ProbeKind::Ack => root.set_kind(schema::ProbeKind::Ack),
        ProbeKind::Relay { target } => {
            root.set_kind(schema::ProbeKind::Relay);
            root.set_target(target.as_str());
        }
    }
    root.set_seq(probe.seq);
    put_member(&probe.from, root.reborrow().init_from());
    root.set_digest(probe.digest.0);
    root.set_confirmed_ms(probe.confirmed.map_or(-1, |age| age.as_millis() as i64));
    root.set_load(probe.load);
    root.set_book(probe.book.0);
    let news = root.reborrow().init_news(probe.news.len() as u32);
    put_members(&probe.news, news);
    if !probe.cases.is_empty() {
        put_cases(&probe.cases, root.init_cases(probe.cases.len() as u32));
    }
    let mut bytes = Vec::new();
    capnp::serialize_packed::write_message(&mut bytes, &message)
        .expect("writing to memory does not fail");
    bytes
}

/// Reads a probe from a datagram.
pub(crate) fn probe_from(bytes: &[u8]) -> Read<Probe> {
    let message = capnp::serialize_packed::read_message(bytes, reader_options())?;
    let root = message.get_root::<schema::probe::Reader<'_>>()?;
    check_version(root.get_version())?;
    let kind = match root.get_kind()? {
        schema::ProbeKind::Ping => ProbeKind::Ping,
        schema::ProbeKind::Ack => ProbeKind::Ack,
        schema::ProbeKind::Relay => ProbeKind::Relay {
            target: parse(root.get_target()?)?,
        },
    };
    let age = u64::try_from(root.get_confirmed_ms()).ok();
    Ok(Probe {
        kind,
        seq: root.get_seq(),
        from: get_member(root.get_from()?)?,
        digest: BookDigest(root.get_digest()),
        confirmed: age.map(Duration::from_millis),
        load: root.get_load(),
        book: BookVersion(root.get_book()),
        news: get_members(root.get_news()?)?,
        cases: get_cases(root.get_cases()?)?,
    })
}

pub(crate) fn put_query(ask: &SubQuery, mut to: schema::sub_query::Builder<'_>) {
    to.set_version(VERSION);
    to.set_request(ask.request.0);
    to.set_service(ask.service.as_str());
    to.set_index(ask.index.0);
    to.set_body(&ask.body);
    to.set_deadline_us(ask.deadline.as_micros() as u64);
    let mut shards = to.init_shards(ask.shards.len() as u32);
    for (at, shard) in (0u32..).zip(&ask.shards) {
        shards.set(at, *shard);
    }
}

pub(crate) fn get_query(from: schema::sub_query::Reader<'_>) -> Read<SubQuery> {
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
        SubAnswer::Failed(Failure::Refused(refusal)) => to.set_refused(refusal_to(*refusal)),
        SubAnswer::Failed(
            Failure::Lost | Failure::ConnectionSilent | Failure::NotSent | Failure::Failed,
        ) => to.set_lost(()),
    }
}

pub(crate) fn get_answer(from: schema::sub_answer::Reader<'_>) -> Read<SubAnswer> {
    let index = IndexVersion(from.get_index());
    Ok(match from.which()? {
        schema::sub_answer::Which::Parts(parts) => SubAnswer::Parts {
            index,
            parts: parts?
                .iter()
                .map(|part| Ok((part.get_shard(), Bytes::copy_from_slice(part.get_rows()?))))
                .collect::<Read<_>>()?,
        },
        schema::sub_answer::Which::Refused(refusal) => {
            SubAnswer::Failed(Failure::Refused(refusal_from(refusal?)))
        }
        schema::sub_answer::Which::Lost(()) => SubAnswer::Failed(Failure::Lost),
    })
}

fn refusal_to(refusal: Refusal) -> schema::Refusal {
    match refusal {
        Refusal::Shed => schema::Refusal::Shed,
        Refusal::Connections => schema::Refusal::Connections,
        Refusal::Draining => schema::Refusal::Draining,
        Refusal::NoSnapshot => schema::Refusal::NoSnapshot,
        Refusal::Deadline => schema::Refusal::Deadline,
    }
}

fn refusal_from(refusal: schema::Refusal) -> Refusal {
    match refusal {
        schema::Refusal::Shed => Refusal::Shed,
        schema::Refusal::Connections => Refusal::Connections,
        schema::Refusal::Draining => Refusal::Draining,
        schema::Refusal::NoSnapshot => Refusal::NoSnapshot,
        schema::Refusal::Deadline => Refusal::Deadline,
    }
}

pub(crate) fn put_dispatch(ask: &Dispatch, mut to: schema::dispatch::Builder<'_>) {
    to.set_version(VERSION);
    to.set_request(ask.request.0);
    to.set_service(ask.service.as_str());
    to.set_call(ask.call.as_str());
    to.set_index(ask.index.0);
    to.set_shard(ask.shard);
    to.set_body(&ask.body);
    to.set_deadline_us(ask.deadline.as_micros() as u64);
}

pub(crate) fn get_dispatch(from: schema::dispatch::Reader<'_>) -> Read<Dispatch> {
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

pub(crate) fn put_dispatched(
    answer: &Result<Bytes, Failure>,
    mut to: schema::dispatched::Builder<'_>,
) {
    match answer {
        Ok(done) => to.set_done(done),
        Err(Failure::Refused(refusal)) => to.set_refused(refusal_to(*refusal)),
        Err(Failure::NotSent) => to.set_not_sent(()),
        Err(Failure::Lost | Failure::ConnectionSilent | Failure::Failed) => to.set_lost(()),
    }
}

pub(crate) fn get_dispatched(from: schema::dispatched::Reader<'_>) -> Read<Result<Bytes, Failure>> {
    Ok(match from.which()? {
        schema::dispatched::Which::Done(done) => Ok(Bytes::copy_from_slice(done?)),
        schema::dispatched::Which::Refused(refusal) => {
            Err(Failure::Refused(refusal_from(refusal?)))
        }
        schema::dispatched::Which::NotSent(()) => Err(Failure::NotSent),
        schema::dispatched::Which::Lost(()) => Err(Failure::Lost),
    })
}

pub(crate) fn put_submission(ask: &Submission, mut to: schema::submission::Builder<'_>) {
    to.set_version(VERSION);
    to.set_ticket(ask.ticket.to_string().as_str());
    to.set_organisation(ask.organisation.as_str());
    to.set_service(ask.service.as_str());
    to.set_call(ask.call.as_str());
    to.set_body(&ask.body);
    to.set_deadline_us(ask.deadline.as_micros() as u64);
}

pub(crate) fn get_submission(from: schema::submission::Reader<'_>) -> Read<Submission> {
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

pub(crate) fn put_reply(reply: &SubmitReply, mut to: schema::outcome::Builder<'_>) {
    match reply {
        SubmitReply::Done(answer) => to.set_done(answer),
        SubmitReply::NotRun(reason) => to.set_not_run(reason.number()),
        SubmitReply::Unknown(reason) => to.set_unknown(reason.number()),
    }
}

pub(crate) fn get_reply(from: schema::outcome::Reader<'_>) -> Read<SubmitReply> {
    let reason = |number| Reason::from_number(number).ok_or_else(|| bad("unknown reason"));
    Ok(match from.which()? {
        schema::outcome::Which::Done(answer) => SubmitReply::Done(Bytes::copy_from_slice(answer?)),
        schema::outcome::Which::NotRun(number) => SubmitReply::NotRun(reason(number)?),
        schema::outcome::Which::Unknown(number) => SubmitReply::Unknown(reason(number)?),
    })
}

/// The form of a kept outcome; an unknown one always has the same reason.
fn reply_of(outcome: &Outcome) -> SubmitReply {
    match outcome {
        Outcome::Done(answer) => SubmitReply::Done(Bytes::copy_from_slice(answer)),
        Outcome::NotRun(reason) => SubmitReply::NotRun(*reason),
        Outcome::Unknown => SubmitReply::Unknown(Reason::FateUnknown),
    }
}

fn outcome_of(reply: SubmitReply) -> Outcome {
    match reply {
        SubmitReply::Done(answer) => Outcome::Done(answer.to_vec()),
        SubmitReply::NotRun(reason) => Outcome::NotRun(reason),
        SubmitReply::Unknown(_) => Outcome::Unknown,
    }
}

pub(crate) fn put_handed(
    tickets: &[HandedTicket],
    mut to: struct_list::Builder<'_, schema::handed::Owned>,
) {
    for (at, handed) in (0u32..).zip(tickets) {
        let mut item = to.reborrow().get(at);
        item.set_ticket(handed.ticket.to_string().as_str());
        if let Some((body, outcome)) = &handed.settled {
            item.set_settled(true);
            item.set_body(*body);
            put_reply(&reply_of(outcome), item.init_outcome());
        }
    }
}

pub(crate) fn get_handed(
    from: struct_list::Reader<'_, schema::handed::Owned>,
) -> Read<Vec<HandedTicket>> {
    let one = |item: schema::handed::Reader<'_>| {
        let settled = if item.get_settled() {
            let outcome = outcome_of(get_reply(item.get_outcome()?)?);
            Some((item.get_body(), outcome))
        } else {
            None
        };
        Ok(HandedTicket {
            ticket: parse(item.get_ticket()?)?,
            settled,
        })
    };
    from.iter().map(one).collect()
}

pub(crate) fn put_have(
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

pub(crate) fn get_have(
    from: struct_list::Reader<'_, schema::object_version::Owned>,
) -> Read<BTreeMap<ObjectKey, u64>> {
    let one = |item: schema::object_version::Reader<'_>| {
        let key = get_key(item.get_kind()?, item.get_name()?)?;
        Ok((key, item.get_version()))
    };
    from.iter().map(one).collect()
}

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

pub(crate) fn get_objects(
    from: struct_list::Reader<'_, schema::object::Owned>,
) -> Read<Vec<Object>> {
    let one = |item: schema::object::Reader<'_>| {
        Ok(Object {
            key: get_key(item.get_kind()?, item.get_name()?)?,
            version: item.get_version(),
            value: serde_json::from_slice(item.get_value()?).map_err(bad)?,
        })
    };
    from.iter().map(one).collect()
}

pub(crate) fn get_leafs(from: capnp::text_list::Reader<'_>) -> Read<Vec<LeafId>> {
    from.iter().map(|text| parse(text?)).collect()
}

fn get_key(kind: text::Reader<'_>, name: text::Reader<'_>) -> Read<ObjectKey> {
    Ok(ObjectKey {
        kind: parse::<Kind>(kind)?,
        name: name.to_str()?.to_owned(),
    })
}
