//! The failure detector.

mod probing;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_book::BookVersion;
use chestnut_conf::BookDigest;
use chestnut_quarantine::Report;
use chestnut_unit::{Incarnation, MemberId, Time};
use probing::Round;
use rand::Rng;

use crate::{Change, Heir, Liveness, Member, News, View};

/// Parameters of the detector.
#[derive(Clone, Copy, Debug)]
pub struct SwimConfig {
    /// Time between two probes.
    pub interval: Duration,
    /// Members asked to probe on our behalf.
    pub helpers: usize,
    /// Statements in one message. Eight keep a message under 1,200 bytes, so
    /// that it is never fragmented.
    pub news: usize,
    /// What a member does that hears of a later life of its own name.
    pub lives: Lives,
}

/// What a member does that hears of a later life of its own name. That life was
/// an earlier one whose clock was ahead: a machine's time of day may jump, and
/// the number of a life is the time of its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lives {
    /// It keeps its number: something else is bound to it, such as tickets.
    Kept,
    /// It takes a number above the one that it heard of.
    Raised,
}

impl Default for SwimConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            helpers: 3,
            news: 8,
            lives: Lives::Kept,
        }
    }
}

/// Part of the interval after which a probe is repeated, directly and through
/// helpers; it is repeated again after another such part. One lost datagram in
/// ten would otherwise make one probe in a hundred fail, and the suspicions of
/// a large fleet would fill all messages.
const TRY_PART: u32 = 3;
/// Times that a probe is repeated.
const REPEATS: u32 = 2;
/// Intervals that a member stays suspect. It hears of the suspicion at once
/// from the member that raises it, and its refutation travels as fast as the
/// suspicion did, a round trip behind it.
const SUSPECT_INTERVALS: u32 = 4;
/// Highest self-doubt: timeouts grow up to this many times plus one.
const DOUBT_MAX: u32 = 8;

/// What a message asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// Answer with an ack.
    Ping,
    /// The answer to a ping.
    Ack,
    /// Ping `target` and pass its ack on.
    Relay {
        /// The member to ping.
        target: MemberId,
    },
}

/// One message of the detector.
#[derive(Clone, Debug, PartialEq)]
pub struct Probe {
    /// Ask or answer.
    pub kind: ProbeKind,
    /// Number of the probe at the member that started it.
    pub seq: u64,
    /// The sender's statement about itself.
    pub from: Member,
    /// Digest of the sender's configuration.
    pub digest: BookDigest,
    /// How long ago the sender's configuration was confirmed; `None` if never.
    pub confirmed: Option<Duration>,
    /// Requests that the sender runs, for the order of entries.
    pub load: u32,
    /// Version of the route book that the sender has in force; 0 if none.
    pub book: BookVersion,
    /// Statements about others.
    pub news: Vec<Member>,
    /// What is known against requests.
    pub cases: Vec<Report>,
}

/// Cases in one message, and in one that carries more than [`NEWS_FEW`] statements. A case
/// takes some 60 bytes, a statement twice as many, and 1,400 bytes are never fragmented.
const CASES: usize = 4;
const CASES_BESIDE_NEWS: usize = 1;
const NEWS_FEW: usize = 6;

impl Probe {
    /// Adds as many of the cases as the message has room for.
    pub fn carry(&mut self, cases: &[Report]) {
        let most = match self.news.len() > NEWS_FEW {
            true => CASES_BESIDE_NEWS,
            false => CASES,
        };
        self.cases = cases.iter().take(most).cloned().collect();
    }
}

/// A message to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Where to.
    pub to: SocketAddr,
    /// The message.
    pub probe: Probe,
}

/// What a sender says of itself beside its membership.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Digest of the configuration.
    pub digest: BookDigest,
    /// How long ago it was confirmed.
    pub confirmed: Option<Duration>,
    /// Requests that run.
    pub load: u32,
    /// Version of the route book in force; 0 if none.
    pub book: BookVersion,
}

#[derive(Clone, Debug)]
struct Pending {
    target: MemberId,
    started: Time,
    repeats: u32,
}

#[derive(Clone, Debug)]
struct Relayed {
    asker: SocketAddr,
    seq: u64,
    at: Time,
}

/// A change of the load is told from this part of what the member can carry on.
const LOAD_PARTS: u32 = 32;

/// The failure detector of one entry.
#[derive(Clone, Debug)]
pub struct Swim {
    config: SwimConfig,
    /// The members.
    pub view: View,
    news: News,
    orders: BTreeMap<Round, Vec<MemberId>>,
    pending: BTreeMap<u64, Pending>,
    relayed: BTreeMap<u64, Relayed>,
    suspects: BTreeMap<MemberId, Time>,
    loads: BTreeMap<MemberId, u32>,
    seq: u64,
    due: Time,
    doubt: u32,
    changes: Vec<(MemberId, Change)>,
}

impl Swim {
    /// A detector that knows only its own member.
    #[must_use]
    pub fn new(config: SwimConfig, own: Member, now: Time) -> Self {
        let mut news = News::default();
        news.add(own.clone());
        Self {
            config,
            view: View::new(own, now),
            news,
            orders: BTreeMap::new(),
            pending: BTreeMap::new(),
            relayed: BTreeMap::new(),
            suspects: BTreeMap::new(),
            loads: BTreeMap::new(),
            seq: 0,
            due: now,
            doubt: 0,
            changes: Vec::new(),
        }
    }

    /// Changes since the last call of this function.
    pub fn take_changes(&mut self) -> Vec<(MemberId, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Load that a member last told.
    #[must_use]
    pub fn load(&self, id: &MemberId) -> u32 {
        self.loads.get(id).copied().unwrap_or(0)
    }

    /// Statements that still have to be passed on.
    #[must_use]
    pub fn news_waiting(&self) -> usize {
        self.news.len()
    }

    /// Takes members from another source: the platform's list or a peer's
    /// whole view. They are not passed on as news: others have the same
    /// sources, and a new entry would otherwise repeat the whole fleet.
    pub fn introduce(&mut self, members: &[Member], now: Time) {
        let news = self.news.clone();
        for member in members {
            self.hear(member, now);
        }
        self.news = news;
    }

    /// Says that this entry is leaving, and to whom it gave its tickets.
    pub fn leave(&mut self, heir: Option<Heir>) {
        self.view.change_own(|own| {
            own.leaving = true;
            if let Some(heir) = heir {
                own.heirs.insert(own.incarnation, heir);
            }
        });
        self.news.add(self.view.own().clone());
    }

    /// Takes the calls a second that this entry makes, and tells all members if they have
    /// changed by a quarter since it told, and by more than a little of what it can carry.
    ///
    /// A member is probed by each of the others once in a minute or two where they are
    /// hundreds. By what probes alone told, callers were sent to 4 of 15 entries, then to
    /// all, as those of the four that were heard first seemed to make all calls.
    pub fn tell_load(&mut self, load: u32) {
        let own = self.view.own();
        let (told, little) = (own.load, own.weight / LOAD_PARTS);
        let grown = load > told + told / 4 + little;
        let fallen = load + little < told - told / 4;
        if own.liveness == Liveness::Gone || !(grown || fallen) {
            return;
        }
        self.view.change_own(|own| {
            own.load = load;
            own.beat += 1;
        });
        self.news.add(self.view.own().clone());
    }

    /// Says that this entry stops now. Returns the farewell messages.
    pub fn stop(&mut self, status: Status, most: usize) -> Vec<Send> {
        self.view.change_own(|own| own.liveness = Liveness::Gone);
        self.announce(status, most)
    }

    /// Messages that tell up to `most` members what this entry says of itself,
    /// without waiting for the probes.
    #[must_use]
    pub fn announce(&self, status: Status, most: usize) -> Vec<Send> {
        let targets = self.view.others().take(most);
        self.tell(status, targets.map(|member| member.addresses.peers))
    }

    /// Messages that tell the members at `targets` what this entry says of itself.
    #[must_use]
    pub fn tell(&self, status: Status, targets: impl IntoIterator<Item = SocketAddr>) -> Vec<Send> {
        let message = |to| Send {
            to,
            probe: self.plain(ProbeKind::Ack, 0, status),
        };
        targets.into_iter().map(message).collect()
    }

    /// A message to an address whose member is not known: its answer tells.
    #[must_use]
    pub fn knock(&self, to: SocketAddr, status: Status) -> Send {
        let probe = self.plain(ProbeKind::Ping, 0, status);
        Send { to, probe }
    }

    /// When [`Swim::tick`] has something to do next.
    #[must_use]
    pub fn wake(&self) -> Time {
        let relay = self
            .pending
            .values()
            .filter(|pending| pending.repeats < REPEATS)
            .map(|pending| self.repeat_at(pending))
            .min();
        let suspect = self.suspects.values().min().copied();
        [Some(self.due), relay, suspect]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.due)
    }

    /// When a probe that has no answer yet is repeated.
    fn repeat_at(&self, pending: &Pending) -> Time {
        let part = self.config.interval / TRY_PART * (1 + self.doubt);
        pending.started + part * (pending.repeats + 1)
    }

    /// Does what is due: probes, asks helpers, suspects, gives up.
    pub fn tick(&mut self, status: Status, now: Time, rng: &mut dyn Rng, out: &mut Vec<Send>) {
        self.notice_own_pause(now);
        self.repeat_late(status, now, rng, out);
        self.suspect_silent(status, now, out);
        self.give_up_suspects(now);
        if now >= self.due {
            self.due = now + self.config.interval;
            self.probe_next(status, now, rng, out);
            self.view.forget(now);
            let oldest = now - self.config.interval * 8;
            self.relayed.retain(|_, relayed| relayed.at > oldest);
        }
    }

    /// Takes a message.
    pub fn receive(
        &mut self,
        probe: &Probe,
        from: SocketAddr,
        status: Status,
        now: Time,
        out: &mut Vec<Send>,
    ) {
        self.hear(&probe.from, now);
        for member in &probe.news {
            self.hear(member, now);
        }
        self.loads.insert(probe.from.id.clone(), probe.load);
        match &probe.kind {
            ProbeKind::Ping => {
                let mut ack = self.message(ProbeKind::Ack, probe.seq, status);
                self.tell_it(&probe.from.id, &mut ack);
                self.tell_later_life(&probe.from, &mut ack);
                out.push(Send {
                    to: from,
                    probe: ack,
                });
            }
            ProbeKind::Ack => self.acked(probe, status, out),
            ProbeKind::Relay { target } => {
                self.relay(target, probe.seq, from, status, now, out);
            }
        }
    }

    /// Takes a statement, from a message or from our own detector.
    fn hear(&mut self, said: &Member, now: Time) {
        if said.id == self.view.own().id {
            self.learn_heirs(said);
            self.refute(said);
            return;
        }
        let (change, news) = self.view.merge(said, now);
        if !news {
            return;
        }
        let Some(member) = self.view.get(&said.id).cloned() else {
            return;
        };
        match member.liveness {
            Liveness::Suspect => {
                let until = now + self.suspect_span();
                self.suspects.entry(member.id.clone()).or_insert(until);
            }
            Liveness::Alive | Liveness::Gone => {
                self.suspects.remove(&member.id);
            }
        }
        if change != Change::None {
            self.changes.push((member.id.clone(), change));
        }
        self.news.add(member);
    }

    /// Takes over the heirs of this name's earlier lives, and passes them on.
    fn learn_heirs(&mut self, said: &Member) {
        let before = self.view.own().heirs.clone();
        self.view.change_own(|own| own.inherit(&said.heirs));
        if self.view.own().heirs != before {
            self.news.add(self.view.own().clone());
        }
    }

    /// Answers a statement that calls this entry suspect or gone by a higher
    /// beat. A statement about an earlier life of the same name is answered
    /// too, as the present life overrides it.
    fn refute(&mut self, said: &Member) {
        let own = self.view.own();
        if said.incarnation > own.incarnation && self.config.lives == Lives::Raised {
            let life = Incarnation(said.incarnation.0 + 1);
            self.view.change_own(|own| own.incarnation = life);
            self.news.add(self.view.own().clone());
            return;
        }
        if said.incarnation != own.incarnation || said.liveness == Liveness::Alive {
            return;
        }
        if said.beat < own.beat || own.liveness == Liveness::Gone {
            return;
        }
        let beat = said.beat + 1;
        self.view.change_own(|own| own.beat = beat);
        self.news.add(self.view.own().clone());
        self.doubt = (self.doubt + 1).min(DOUBT_MAX);
    }

    fn suspect_span(&self) -> Duration {
        self.config.interval * SUSPECT_INTERVALS
    }

    fn message(&mut self, kind: ProbeKind, seq: u64, status: Status) -> Probe {
        let members = self.view.present().count();
        let mut probe = self.plain(kind, seq, status);
        probe.news = self.news.take(self.config.news, members);
        probe
    }

    fn plain(&self, kind: ProbeKind, seq: u64, status: Status) -> Probe {
        Probe {
            kind,
            seq,
            from: self.view.own().clone(),
            digest: status.digest,
            confirmed: status.confirmed,
            load: status.load,
            book: status.book,
            news: Vec::new(),
            cases: Vec::new(),
        }
    }
}
