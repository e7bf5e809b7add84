//! SWIM failure detector and gossip of member updates.

mod probing;

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use chestnut_book::BookVersion;
use chestnut_conf::ConfigDigest;
use chestnut_quarantine::SuspectReport;
use chestnut_unit::{Epoch, Incarnation, MemberId, Time};
use probing::Round;
use rand::Rng;

use crate::{Change, GossipQueue, Liveness, Member, Successor, View};

/// Parameters of the failure detector.
#[derive(Clone, Copy, Debug)]
pub struct SwimConfig {
    /// Time between two probes.
    pub interval: Duration,
    /// Number of members asked for an indirect probe.
    pub indirect_probes: usize,
    /// Maximum number of member updates in a message. Limited so that a
    /// datagram is never fragmented.
    pub max_updates: usize,
    /// How a member reacts to a later incarnation of its own name.
    pub incarnation_policy: IncarnationPolicy,
}

/// How a member reacts to a later incarnation of its own name. Incarnations are
/// start times, so one that ran while the clock was ahead has a later number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncarnationPolicy {
    /// Keeps its incarnation, because other state such as tickets is bound to
    /// it.
    Keep,
    /// Takes an incarnation above the later one.
    Raise,
}

impl Default for SwimConfig {
    /// A probe every 500 ms with 3 indirect probes, 8 updates in a message, and
    /// incarnations that are kept.
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(500),
            indirect_probes: 3,
            max_updates: 8,
            incarnation_policy: IncarnationPolicy::Keep,
        }
    }
}

/// Divisor of the probe interval that gives the delay before each retry of an unanswered probe,
/// so that lost datagrams seldom cause false suspicions. One lost datagram in ten would
/// otherwise make one probe in a hundred fail, and the suspicions of a large fleet would fill
/// all messages.
const RETRY_DIVISOR: u32 = 3;
/// Maximum number of retries of a probe.
const MAX_RETRIES: u32 = 2;
/// Probe intervals until a suspect member is declared gone. Leaves time for its
/// refutation, which spreads as fast as the suspicion.
const SUSPECT_INTERVALS: u32 = 4;
/// Maximum local health multiplier (Lifeguard); timeouts are scaled by one plus
/// the multiplier.
const MAX_HEALTH_MULTIPLIER: u32 = 8;

/// Purpose of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests an ack.
    Ping,
    /// Answers a ping.
    Ack,
    /// Requests an indirect probe: the receiver pings `target` and forwards the
    /// ack.
    IndirectPing {
        /// Member to ping.
        target: MemberId,
    },
}

/// A message of the failure detector.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Purpose of the message.
    pub kind: MessageKind,
    /// Sequence number of the probe at the member that started it.
    pub seq: u64,
    /// The sender's own state.
    pub from: Member,
    /// Digest of the sender's configuration.
    pub digest: ConfigDigest,
    /// How long ago the sender's configuration was confirmed; `None` if never.
    pub confirmed: Option<Duration>,
    /// Number of requests that the sender is running, used to order entries.
    pub load: u32,
    /// Version of the sender's active route book (its set of routing rules); 0
    /// if none.
    pub book: BookVersion,
    /// The latest epoch of the store that the sender knows.
    pub epoch: Epoch,
    /// Updates about other members.
    pub updates: Vec<Member>,
    /// Quarantine reports on requests that crashed leafs.
    pub reports: Vec<SuspectReport>,
}

/// Maximum number of quarantine reports in a message. Limited so that a datagram is never
/// fragmented. A report takes some 60 bytes, a member update twice as many, and datagrams of
/// 1,400 bytes are not fragmented.
const MAX_REPORTS: usize = 4;
/// Maximum number of quarantine reports in a message with more than
/// [`CROWDED_UPDATES`] member updates.
const MAX_REPORTS_CROWDED: usize = 1;
/// Number of member updates in a message above which it has room for fewer
/// quarantine reports.
const CROWDED_UPDATES: usize = 6;
/// Number of member updates from which a message has room for no quarantine report.
const FULL_UPDATES: usize = 8;

impl Message {
    /// Replaces the quarantine reports of the message by the first of `reports`,
    /// as many as fit beside its member updates.
    pub fn attach_reports(&mut self, reports: &[SuspectReport]) {
        let max_reports = match self.updates.len() {
            FULL_UPDATES.. => 0,
            updates if updates > CROWDED_UPDATES => MAX_REPORTS_CROWDED,
            _ => MAX_REPORTS,
        };
        self.reports = reports.iter().take(max_reports).cloned().collect();
    }
}

/// An outgoing message.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Destination.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// What each message tells of its sender beside its membership: digest and
/// confirmation of the configuration, load, route book, and epoch of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Digest of the configuration.
    pub digest: ConfigDigest,
    /// Time since the configuration was confirmed; `None` if never.
    pub confirmed: Option<Duration>,
    /// Number of running requests.
    pub load: u32,
    /// Version of the active route book; 0 if none.
    pub book: BookVersion,
    /// The latest known epoch of the store.
    pub epoch: Epoch,
}

/// A probe of this entry without an answer yet: its target, start and number of
/// retries.
#[derive(Clone, Debug)]
struct PendingProbe {
    target: MemberId,
    started: Time,
    retries: u32,
}

/// A ping sent for another member: the address and sequence number to which its
/// ack is forwarded, and when it was sent.
#[derive(Clone, Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    seq: u64,
    at: Time,
}

/// Divisor of the member's capacity that gives the margin, beyond a quarter of
/// the published load, below which load changes are not published.
const LOAD_DIVISOR: u32 = 32;

/// The failure detector of one entry: its membership list, queued updates,
/// probes in flight, suspicions, and the loads of other members.
#[derive(Clone, Debug)]
pub struct Swim {
    config: SwimConfig,
    /// The membership list.
    pub view: View,
    queue: GossipQueue,
    probe_orders: BTreeMap<Round, Vec<MemberId>>,
    pending: BTreeMap<u64, PendingProbe>,
    relayed: BTreeMap<u64, RelayedProbe>,
    suspects: BTreeMap<MemberId, Time>,
    loads: BTreeMap<MemberId, u32>,
    seq: u64,
    next_probe_at: Time,
    health_multiplier: u32,
    changes: Vec<(MemberId, Change)>,
}

impl Swim {
    /// Creates a detector that knows only its own member, whose state it queues
    /// for gossip. The first probe is due at `now`.
    #[must_use]
    pub fn new(config: SwimConfig, own: Member, now: Time) -> Self {
        let mut queue = GossipQueue::default();
        queue.add(own.clone());
        Self {
            config,
            view: View::new(own, now),
            queue,
            probe_orders: BTreeMap::new(),
            pending: BTreeMap::new(),
            relayed: BTreeMap::new(),
            suspects: BTreeMap::new(),
            loads: BTreeMap::new(),
            seq: 0,
            next_probe_at: now,
            health_multiplier: 0,
            changes: Vec::new(),
        }
    }

    /// Returns and clears the membership changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(MemberId, Change)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of running requests in the last message of a member,
    /// or 0 if it sent none.
    #[must_use]
    pub fn load(&self, id: &MemberId) -> u32 {
        self.loads.get(id).copied().unwrap_or(0)
    }

    /// Returns the number of queued updates.
    #[must_use]
    pub fn queued_updates(&self) -> usize {
        self.queue.len()
    }

    /// Merges members from another source, such as the platform's list or a
    /// peer's full view. They are not gossiped: others have the same sources,
    /// and a new entry would otherwise resend the whole membership.
    pub fn merge_members(&mut self, members: &[Member], now: Time) {
        let queued = self.queue.clone();
        for member in members {
            self.apply_update(member, now);
        }
        self.queue = queued;
    }

    /// Announces that this entry is leaving and which successor took over its
    /// tickets.
    pub fn leave(&mut self, successor: Option<Successor>) {
        self.view.change_own(|own| {
            own.leaving = true;
            if let Some(successor) = successor {
                own.successors.insert(own.incarnation, successor);
            }
        });
        self.queue.add(self.view.own().clone());
    }

    /// Stores and gossips `load`, the calls to leafs per second that this entry
    /// makes, if it differs from the published load by more than a quarter plus
    /// a margin. Otherwise, or once this entry is gone, nothing changes.
    ///
    /// Probes alone reach each member too rarely: members would choose serving
    /// entries from stale loads and switch between too few and all of them.
    pub fn publish_load(&mut self, load: u32) {
        let own = self.view.own();
        let (reported, margin) = (own.load, own.weight / LOAD_DIVISOR);
        let grown = load > reported + reported / 4 + margin;
        let fallen = load + margin < reported - reported / 4;
        if own.liveness == Liveness::Gone || !(grown || fallen) {
            return;
        }
        self.view.change_own(|own| {
            own.load = load;
            own.version += 1;
        });
        self.queue.add(self.view.own().clone());
    }

    /// Marks this entry as gone. Returns the leave messages to send, to up to
    /// `max_members` members.
    pub fn stop(&mut self, status: Status, max_members: usize) -> Vec<Outgoing> {
        self.view.change_own(|own| own.liveness = Liveness::Gone);
        self.announce(status, max_members)
    }

    /// Returns messages that report this entry's state to up to `max_members`
    /// members at once, without waiting for probes.
    #[must_use]
    pub fn announce(&self, status: Status, max_members: usize) -> Vec<Outgoing> {
        let targets = self.view.others().take(max_members);
        self.report_to(status, targets.map(|member| member.addresses.peers))
    }

    /// Returns messages that report this entry's state to the members at
    /// `targets`.
    #[must_use]
    pub fn report_to(
        &self,
        status: Status,
        targets: impl IntoIterator<Item = SocketAddr>,
    ) -> Vec<Outgoing> {
        let outgoing = |to| Outgoing {
            to,
            message: self.bare_message(MessageKind::Ack, 0, status),
        };
        targets.into_iter().map(outgoing).collect()
    }

    /// Returns a join request to an address whose member is not known yet; the
    /// answer identifies it.
    #[must_use]
    pub fn join_request(&self, to: SocketAddr, status: Status) -> Outgoing {
        let message = self.bare_message(MessageKind::Ping, 0, status);
        Outgoing { to, message }
    }

    /// Returns when [`Swim::tick`] next has work to do.
    #[must_use]
    pub fn wake(&self) -> Time {
        let retry = self
            .pending
            .values()
            .filter(|pending| pending.retries < MAX_RETRIES)
            .map(|pending| self.retry_at(pending))
            .min();
        let suspect = self.suspects.values().min().copied();
        [Some(self.next_probe_at), retry, suspect]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(self.next_probe_at)
    }

    /// Returns when an unanswered probe is next retried; later with a higher
    /// health multiplier.
    fn retry_at(&self, pending: &PendingProbe) -> Time {
        let retry_delay = self.config.interval / RETRY_DIVISOR * (1 + self.health_multiplier);
        pending.started + retry_delay * (pending.retries + 1)
    }

    /// Runs due work: sends probes and retries, suspects members that did not
    /// answer, declares expired suspects gone, and forgets old members. Messages
    /// to send are appended to `out`; `rng` draws the targets.
    pub fn tick(&mut self, status: Status, now: Time, rng: &mut dyn Rng, out: &mut Vec<Outgoing>) {
        self.detect_own_pause(now);
        self.retry_overdue(status, now, rng, out);
        self.suspect_unanswered(status, now, out);
        self.expire_suspects(now);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.config.interval;
            self.probe_next(status, now, rng, out);
            self.view.forget(now);
            let oldest = now - self.config.interval * 8;
            self.relayed.retain(|_, relayed| relayed.at > oldest);
        }
    }

    /// Handles a message that arrived from the address `from`: merges its
    /// updates and the sender's load, and acks a ping, completes a probe or
    /// relays an indirect one. Messages to send are appended to `out`.
    pub fn receive(
        &mut self,
        message: &Message,
        from: SocketAddr,
        status: Status,
        now: Time,
        out: &mut Vec<Outgoing>,
    ) {
        self.apply_update(&message.from, now);
        for member in &message.updates {
            self.apply_update(member, now);
        }
        self.loads.insert(message.from.id.clone(), message.load);
        match &message.kind {
            MessageKind::Ping => {
                let mut ack = self.message_with_updates(MessageKind::Ack, message.seq, status);
                self.attach_suspicion(&message.from.id, &mut ack);
                self.attach_later_incarnation(&message.from, &mut ack);
                out.push(Outgoing {
                    to: from,
                    message: ack,
                });
            }
            MessageKind::Ack => self.handle_ack(message, status, out),
            MessageKind::IndirectPing { target } => {
                self.relay_ping(target, message.seq, from, status, now, out);
            }
        }
    }

    /// Applies an update, from a message or from this entry's own detector. One
    /// about this entry is refuted if need be. One that changes another member
    /// is gossiped, starts or ends its suspicion, and its [`Change`], if any, is
    /// recorded for [`Swim::take_changes`].
    fn apply_update(&mut self, update: &Member, now: Time) {
        if update.id == self.view.own().id {
            self.adopt_successors(update);
            self.refute(update);
            return;
        }
        let (change, updated) = self.view.merge(update, now);
        if !updated {
            return;
        }
        let Some(member) = self.view.get(&update.id).cloned() else {
            return;
        };
        match member.liveness {
            Liveness::Suspect => {
                let until = now + self.suspicion_timeout();
                self.suspects.entry(member.id.clone()).or_insert(until);
            }
            Liveness::Alive | Liveness::Gone => {
                self.suspects.remove(&member.id);
            }
        }
        if change != Change::None {
            self.changes.push((member.id.clone(), change));
        }
        self.queue.add(member);
    }

    /// Adopts successors of this member's earlier incarnations, and gossips them
    /// if any is new.
    fn adopt_successors(&mut self, update: &Member) {
        let before = self.view.own().successors.clone();
        self.view
            .change_own(|own| own.add_successors(&update.successors));
        if self.view.own().successors != before {
            self.queue.add(self.view.own().clone());
        }
    }

    /// Refutes an update that declares this entry suspect or gone by raising the
    /// version, and raises the health multiplier; not once this entry is gone
    /// itself. Updates about earlier incarnations need no refutation, since the
    /// present one overrides them. A later incarnation is answered by taking a
    /// higher one, if so configured.
    fn refute(&mut self, update: &Member) {
        let own = self.view.own();
        if update.incarnation > own.incarnation
            && self.config.incarnation_policy == IncarnationPolicy::Raise
        {
            let incarnation = Incarnation(update.incarnation.0 + 1);
            self.view.change_own(|own| own.incarnation = incarnation);
            self.queue.add(self.view.own().clone());
            return;
        }
        if update.incarnation != own.incarnation || update.liveness == Liveness::Alive {
            return;
        }
        if update.version < own.version || own.liveness == Liveness::Gone {
            return;
        }
        let version = update.version + 1;
        self.view.change_own(|own| own.version = version);
        self.queue.add(self.view.own().clone());
        self.health_multiplier = (self.health_multiplier + 1).min(MAX_HEALTH_MULTIPLIER);
    }

    /// Returns the time after which a suspect member is declared gone.
    fn suspicion_timeout(&self) -> Duration {
        self.config.interval * SUSPECT_INTERVALS
    }

    /// Builds a message that carries queued updates, which count as sent.
    fn message_with_updates(&mut self, kind: MessageKind, seq: u64, status: Status) -> Message {
        let members = self.view.present().count();
        let mut message = self.bare_message(kind, seq, status);
        message.updates = self.queue.take(self.config.max_updates, members);
        message
    }

    /// Builds a message without updates about others.
    fn bare_message(&self, kind: MessageKind, seq: u64, status: Status) -> Message {
        Message {
            kind,
            seq,
            from: self.view.own().clone(),
            digest: status.digest,
            confirmed: status.confirmed,
            load: status.load,
            book: status.book,
            epoch: status.epoch,
            updates: Vec::new(),
            reports: Vec::new(),
        }
    }
}
