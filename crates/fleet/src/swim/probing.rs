//! Choice of probe targets, retries of probes, and handling of missing answers.

use std::net::SocketAddr;

use chestnut_unit::{MemberId, Time};
use rand::Rng;

use super::{
    MAX_HEALTH_MULTIPLIER, MAX_RETRIES, Message, MessageKind, Outgoing, PendingProbe, RelayedProbe,
    Status, Swim,
};
use crate::{Liveness, Member};

/// One in this many probes goes to a member that is gone, so that the sides of
/// a healed partition find each other without the platform.
const GONE_PROBE_EVERY: u64 = 10;

/// One in this many probes goes to a member of any failure domain when the own one has at least
/// [`MIN_LOCAL_PEERS`] others. Limits traffic between domains. Each member is still probed from
/// elsewhere every two to three seconds. With all probes going anywhere, four fifths of the
/// bytes of 295 members in 5 domains went between domains.
const ANY_DOMAIN_EVERY: u64 = 4;
/// Minimum number of other members in the own failure domain for most probes to go to them.
/// Their probes notice a death as soon as those of all members would, as a member is probed as
/// often.
const MIN_LOCAL_PEERS: usize = 16;

/// The members that a round of probes covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Round {
    /// Members of all failure domains.
    All,
    /// Members of the own failure domain.
    Local,
}

impl Swim {
    /// Detects a pause of this process, during which acks could not be read.
    /// Drops the probes in flight, extends running suspicions and raises the
    /// health multiplier; otherwise a VM that was frozen for some seconds would
    /// suspect all its peers on resuming.
    pub(super) fn detect_own_pause(&mut self, now: Time) {
        let delay = now.since(self.next_probe_at);
        if delay <= self.config.interval * 2 {
            return;
        }
        self.pending.clear();
        self.health_multiplier = (self.health_multiplier + 2).min(MAX_HEALTH_MULTIPLIER);
        let grace = self.suspicion_timeout();
        for until in self.suspects.values_mut() {
            *until = (*until).max(now + grace);
        }
    }

    /// Starts the next probe: pings a member and waits for its ack. One in
    /// [`GONE_PROBE_EVERY`] goes to a member that is gone, if there is one. Does
    /// nothing without a target.
    pub(super) fn probe_next(
        &mut self,
        status: Status,
        now: Time,
        rng: &mut dyn Rng,
        out: &mut Vec<Outgoing>,
    ) {
        self.seq += 1;
        let probe_gone = self.seq.is_multiple_of(GONE_PROBE_EVERY);
        let target = if probe_gone {
            self.random_gone(rng).or_else(|| self.next_target(rng))
        } else {
            self.next_target(rng)
        };
        let Some(id) = target else {
            return;
        };
        self.ping(self.seq, &id, status, out);
        let pending = PendingProbe {
            target: id,
            started: now,
            retries: 0,
        };
        self.pending.insert(self.seq, pending);
    }

    /// Attaches the suspicion about the receiver `to`, or that it is gone, to a
    /// message without an update about it. Only the receiver can refute it, and
    /// its gossip may have ended before a partition healed.
    pub(super) fn attach_suspicion(&self, to: &MemberId, message: &mut Message) {
        let known = self.view.get(to).filter(|m| m.liveness != Liveness::Alive);
        if let Some(member) = known
            && !message.updates.iter().any(|update| update.id == *to)
        {
            message.updates.push(member.clone());
        }
    }

    /// If a later incarnation of the receiver is known, attaches it to the
    /// message, so that the receiver can take a higher one. Otherwise a member that
    /// left and restarted with its clock behind would count as leaving forever.
    pub(super) fn attach_later_incarnation(&self, to: &Member, message: &mut Message) {
        let known = self
            .view
            .get(&to.id)
            .filter(|m| m.incarnation > to.incarnation);
        if let Some(member) = known
            && !message.updates.iter().any(|update| update.id == to.id)
        {
            message.updates.push(member.clone());
        }
    }

    /// Returns the next member of a shuffled round, so that each is probed once
    /// per round and the detection time is bounded; `None` if no other member is
    /// present. If the own failure domain has enough members, most probes go to
    /// them.
    pub(super) fn next_target(&mut self, rng: &mut dyn Rng) -> Option<MemberId> {
        let round = match self.seq.is_multiple_of(ANY_DOMAIN_EVERY) || !self.probes_locally() {
            true => Round::All,
            false => Round::Local,
        };
        for _ in 0..2 {
            while let Some(id) = self.probe_orders.entry(round).or_default().pop() {
                let present = self.view.get(&id).filter(|m| m.liveness != Liveness::Gone);
                if present.is_some() {
                    return Some(id);
                }
            }
            let own = &self.view.own().domain;
            let members = self.view.others();
            let members = members.filter(|m| round == Round::All || m.domain == *own);
            let mut order: Vec<MemberId> = members.map(|m| m.id.clone()).collect();
            shuffle(&mut order, rng);
            self.probe_orders.insert(round, order);
        }
        None
    }

    /// Whether the own failure domain has at least [`MIN_LOCAL_PEERS`] other
    /// members.
    fn probes_locally(&self) -> bool {
        let own = &self.view.own().domain;
        let local = self.view.others().filter(|m| m.domain == *own);
        local.take(MIN_LOCAL_PEERS).count() == MIN_LOCAL_PEERS
    }

    /// Returns a random member that is gone without having announced it, or
    /// `None` if there is none.
    pub(super) fn random_gone(&self, rng: &mut dyn Rng) -> Option<MemberId> {
        let gone: Vec<&Member> = self
            .view
            .all()
            .filter(|m| m.liveness == Liveness::Gone && !m.leaving)
            .collect();
        if gone.is_empty() {
            return None;
        }
        Some(gone[random_below(rng, gone.len())].id.clone())
    }

    /// Retries probes that had no answer in time, directly and through other
    /// members, each up to [`MAX_RETRIES`] times.
    pub(super) fn retry_overdue(
        &mut self,
        status: Status,
        now: Time,
        rng: &mut dyn Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let overdue: Vec<(u64, MemberId)> = self
            .pending
            .iter()
            .filter(|(_, p)| p.retries < MAX_RETRIES && self.retry_at(p) <= now)
            .map(|(seq, p)| (*seq, p.target.clone()))
            .collect();
        for (seq, target) in overdue {
            if let Some(pending) = self.pending.get_mut(&seq) {
                pending.retries += 1;
            }
            self.ping(seq, &target, status, out);
            self.request_indirect_pings(seq, &target, status, rng, out);
        }
    }

    /// Pings a member, attaching any suspicion about it. Does nothing if the
    /// member is unknown.
    pub(super) fn ping(
        &mut self,
        seq: u64,
        id: &MemberId,
        status: Status,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(to) = self.view.get(id).map(|m| m.addresses.peers) else {
            return;
        };
        let mut message = self.message_with_updates(MessageKind::Ping, seq, status);
        self.attach_suspicion(id, &mut message);
        out.push(Outgoing { to, message });
    }

    /// Asks random members that are alive, as many as configured, to ping
    /// `target` on behalf of this entry.
    pub(super) fn request_indirect_pings(
        &mut self,
        seq: u64,
        target: &MemberId,
        status: Status,
        rng: &mut dyn Rng,
        out: &mut Vec<Outgoing>,
    ) {
        let mut relays: Vec<SocketAddr> = self
            .view
            .others()
            .filter(|m| m.id != *target && m.liveness == Liveness::Alive)
            .map(|m| m.addresses.peers)
            .collect();
        shuffle(&mut relays, rng);
        relays.truncate(self.config.indirect_probes);
        for to in relays {
            let kind = MessageKind::IndirectPing {
                target: target.clone(),
            };
            let message = self.message_with_updates(kind, seq, status);
            out.push(Outgoing { to, message });
        }
    }

    /// Ends the probes that timed out and raises the health multiplier for each.
    /// A target that was alive becomes suspect and is pinged again, so that it
    /// can refute this.
    pub(super) fn suspect_unanswered(
        &mut self,
        status: Status,
        now: Time,
        out: &mut Vec<Outgoing>,
    ) {
        let timeout = self.config.interval * (1 + self.health_multiplier);
        let unanswered: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.started + timeout <= now)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in unanswered {
            let Some(pending) = self.pending.remove(&seq) else {
                continue;
            };
            self.health_multiplier = (self.health_multiplier + 1).min(MAX_HEALTH_MULTIPLIER);
            let Some(member) = self.view.get(&pending.target) else {
                continue;
            };
            if member.liveness != Liveness::Alive {
                continue;
            }
            let mut update = member.clone();
            update.liveness = Liveness::Suspect;
            self.apply_update(&update, now);
            self.ping(seq, &pending.target, status, out);
        }
    }

    /// Declares members gone whose suspicion timed out.
    pub(super) fn expire_suspects(&mut self, now: Time) {
        let expired: Vec<MemberId> = self
            .suspects
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.suspects.remove(&id);
            let Some(member) = self.view.get(&id) else {
                continue;
            };
            if member.liveness != Liveness::Suspect {
                continue;
            }
            let mut update = member.clone();
            update.liveness = Liveness::Gone;
            self.apply_update(&update, now);
        }
    }

    /// Completes the probe that an ack answers and lowers the health multiplier,
    /// or forwards the ack of a relayed ping to its requester. Ignores other
    /// acks.
    pub(super) fn handle_ack(
        &mut self,
        message: &Message,
        status: Status,
        out: &mut Vec<Outgoing>,
    ) {
        if let Some(relayed) = self.relayed.remove(&message.seq) {
            let mut forwarded = self.bare_message(MessageKind::Ack, relayed.seq, status);
            forwarded.updates.push(message.from.clone());
            out.push(Outgoing {
                to: relayed.requester,
                message: forwarded,
            });
            return;
        }
        if self.pending.remove(&message.seq).is_some() {
            self.health_multiplier = self.health_multiplier.saturating_sub(1);
        }
    }

    /// Pings `target` on behalf of `requester`, which receives the ack under its
    /// own sequence number `seq`. Does nothing if the target is unknown.
    pub(super) fn relay_ping(
        &mut self,
        target: &MemberId,
        seq: u64,
        requester: SocketAddr,
        status: Status,
        now: Time,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(to) = self.view.get(target).map(|m| m.addresses.peers) else {
            return;
        };
        self.seq += 1;
        let relayed = RelayedProbe {
            requester,
            seq,
            at: now,
        };
        self.relayed.insert(self.seq, relayed);
        let message = self.message_with_updates(MessageKind::Ping, self.seq, status);
        out.push(Outgoing { to, message });
    }
}

/// Shuffles `items` in place.
fn shuffle<T>(items: &mut [T], rng: &mut dyn Rng) {
    for last in (1..items.len()).rev() {
        items.swap(last, random_below(rng, last + 1));
    }
}

/// Draws a random number below `bound`.
fn random_below(rng: &mut dyn Rng, bound: usize) -> usize {
    let scaled = u128::from(rng.next_u64()) * bound as u128;
    usize::try_from(scaled >> 64).expect("below the bound")
}
