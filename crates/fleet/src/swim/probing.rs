//! Probes: who is probed, what repeats a probe, and what its silence means.

use std::net::SocketAddr;

use chestnut_unit::{MemberId, Time};
use rand::Rng;

use super::{DOUBT_MAX, Pending, Probe, ProbeKind, REPEATS, Relayed, Send, Status, Swim};
use crate::{Liveness, Member};

/// One probe in this many goes to a member that is gone, so that two halves of
/// a split find each other again without the platform.
const REVIVE_EVERY: u64 = 10;

/// One probe in this many goes to a member of any failure domain, where the own one has
/// [`NEAR_LEAST`] others. Each member is then still probed from elsewhere every two to
/// three seconds, as all members do the same. With all of them going anywhere 295 members
/// in 5 domains sent 49 of 60 MB between domains in 48 s of a calm day.
const FAR_EVERY: u64 = 4;
/// Other members of a failure domain from which on they mostly watch each other. Their
/// probes notice a death as soon as everybody's do: a member is probed as often.
const NEAR_LEAST: usize = 16;

/// Which members a round of probes goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Round {
    /// All.
    All,
    /// Those of the own failure domain.
    Near,
}

impl Swim {
    /// A pause of this process makes everybody else look silent. Probes that
    /// were under way then prove nothing: they are dropped, and doubt grows.
    /// Without this a VM that is frozen for some seconds suspects its peers
    /// when it wakes, and they spend their news on refuting it.
    pub(super) fn notice_own_pause(&mut self, now: Time) {
        let late = now.since(self.due);
        if late <= self.config.interval * 2 {
            return;
        }
        self.pending.clear();
        self.doubt = (self.doubt + 2).min(DOUBT_MAX);
        let grace = self.suspect_span();
        for until in self.suspects.values_mut() {
            *until = (*until).max(now + grace);
        }
    }

    pub(super) fn probe_next(
        &mut self,
        status: Status,
        now: Time,
        rng: &mut dyn Rng,
        out: &mut Vec<Send>,
    ) {
        self.seq += 1;
        let revive = self.seq.is_multiple_of(REVIVE_EVERY);
        let target = if revive {
            self.some_gone(rng).or_else(|| self.next_target(rng))
        } else {
            self.next_target(rng)
        };
        let Some(id) = target else {
            return;
        };
        self.ping(self.seq, &id, status, out);
        let pending = Pending {
            target: id,
            started: now,
            repeats: 0,
        };
        self.pending.insert(self.seq, pending);
    }

    /// Adds to a message what is held against the member that it goes to. Only
    /// that member can refute it, and news of it has long stopped travelling
    /// when two halves of a split meet again.
    pub(super) fn tell_it(&self, to: &MemberId, probe: &mut Probe) {
        let held = self.view.get(to).filter(|m| m.liveness != Liveness::Alive);
        if let Some(member) = held
            && !probe.news.iter().any(|said| said.id == *to)
        {
            probe.news.push(member.clone());
        }
    }

    /// Tells a member of a later life of its name. Until it takes a greater
    /// number nobody believes what it says of itself: one that left and came
    /// back with its clock behind would count as leaving for good.
    pub(super) fn tell_later_life(&self, to: &Member, probe: &mut Probe) {
        let held = self
            .view
            .get(&to.id)
            .filter(|m| m.incarnation > to.incarnation);
        if let Some(member) = held
            && !probe.news.iter().any(|said| said.id == to.id)
        {
            probe.news.push(member.clone());
        }
    }

    /// The next member of a shuffled round, so that each is probed once in
    /// every round and the time to notice a death is bounded. Where the own failure
    /// domain has members enough to watch each other, three probes of four go to them.
    pub(super) fn next_target(&mut self, rng: &mut dyn Rng) -> Option<MemberId> {
        let round = match self.seq.is_multiple_of(FAR_EVERY) || !self.watch_near() {
            true => Round::All,
            false => Round::Near,
        };
        for _ in 0..2 {
            while let Some(id) = self.orders.entry(round).or_default().pop() {
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
            self.orders.insert(round, order);
        }
        None
    }

    fn watch_near(&self) -> bool {
        let own = &self.view.own().domain;
        let near = self.view.others().filter(|m| m.domain == *own);
        near.take(NEAR_LEAST).count() == NEAR_LEAST
    }

    pub(super) fn some_gone(&self, rng: &mut dyn Rng) -> Option<MemberId> {
        let gone: Vec<&Member> = self
            .view
            .all()
            .filter(|m| m.liveness == Liveness::Gone && !m.leaving)
            .collect();
        if gone.is_empty() {
            return None;
        }
        Some(gone[below(rng, gone.len())].id.clone())
    }

    pub(super) fn repeat_late(
        &mut self,
        status: Status,
        now: Time,
        rng: &mut dyn Rng,
        out: &mut Vec<Send>,
    ) {
        let late: Vec<(u64, MemberId)> = self
            .pending
            .iter()
            .filter(|(_, p)| p.repeats < REPEATS && self.repeat_at(p) <= now)
            .map(|(seq, p)| (*seq, p.target.clone()))
            .collect();
        for (seq, target) in late {
            if let Some(pending) = self.pending.get_mut(&seq) {
                pending.repeats += 1;
            }
            self.ping(seq, &target, status, out);
            self.ask_helpers(seq, &target, status, rng, out);
        }
    }

    /// Pings a member, telling it what is held against it.
    pub(super) fn ping(&mut self, seq: u64, id: &MemberId, status: Status, out: &mut Vec<Send>) {
        let Some(to) = self.view.get(id).map(|m| m.addresses.peers) else {
            return;
        };
        let mut probe = self.message(ProbeKind::Ping, seq, status);
        self.tell_it(id, &mut probe);
        out.push(Send { to, probe });
    }

    pub(super) fn ask_helpers(
        &mut self,
        seq: u64,
        target: &MemberId,
        status: Status,
        rng: &mut dyn Rng,
        out: &mut Vec<Send>,
    ) {
        let mut helpers: Vec<SocketAddr> = self
            .view
            .others()
            .filter(|m| m.id != *target && m.liveness == Liveness::Alive)
            .map(|m| m.addresses.peers)
            .collect();
        shuffle(&mut helpers, rng);
        helpers.truncate(self.config.helpers);
        for to in helpers {
            let kind = ProbeKind::Relay {
                target: target.clone(),
            };
            let probe = self.message(kind, seq, status);
            out.push(Send { to, probe });
        }
    }

    pub(super) fn suspect_silent(&mut self, status: Status, now: Time, out: &mut Vec<Send>) {
        let patience = self.config.interval * (1 + self.doubt);
        let silent: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.started + patience <= now)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in silent {
            let Some(pending) = self.pending.remove(&seq) else {
                continue;
            };
            self.doubt = (self.doubt + 1).min(DOUBT_MAX);
            let Some(member) = self.view.get(&pending.target) else {
                continue;
            };
            if member.liveness != Liveness::Alive {
                continue;
            }
            let mut said = member.clone();
            said.liveness = Liveness::Suspect;
            self.hear(&said, now);
            self.ping(seq, &pending.target, status, out);
        }
    }

    pub(super) fn give_up_suspects(&mut self, now: Time) {
        let over: Vec<MemberId> = self
            .suspects
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in over {
            self.suspects.remove(&id);
            let Some(member) = self.view.get(&id) else {
                continue;
            };
            if member.liveness != Liveness::Suspect {
                continue;
            }
            let mut said = member.clone();
            said.liveness = Liveness::Gone;
            self.hear(&said, now);
        }
    }

    pub(super) fn acked(&mut self, probe: &Probe, status: Status, out: &mut Vec<Send>) {
        if let Some(relayed) = self.relayed.remove(&probe.seq) {
            let mut passed = self.plain(ProbeKind::Ack, relayed.seq, status);
            passed.news.push(probe.from.clone());
            out.push(Send {
                to: relayed.asker,
                probe: passed,
            });
            return;
        }
        if self.pending.remove(&probe.seq).is_some() {
            self.doubt = self.doubt.saturating_sub(1);
        }
    }

    pub(super) fn relay(
        &mut self,
        target: &MemberId,
        seq: u64,
        asker: SocketAddr,
        status: Status,
        now: Time,
        out: &mut Vec<Send>,
    ) {
        let Some(to) = self.view.get(target).map(|m| m.addresses.peers) else {
            return;
        };
        self.seq += 1;
        let relayed = Relayed {
            asker,
            seq,
            at: now,
        };
        self.relayed.insert(self.seq, relayed);
        let probe = self.message(ProbeKind::Ping, self.seq, status);
        out.push(Send { to, probe });
    }
}

fn shuffle<T>(items: &mut [T], rng: &mut dyn Rng) {
    for last in (1..items.len()).rev() {
        items.swap(last, below(rng, last + 1));
    }
}

fn below(rng: &mut dyn Rng, bound: usize) -> usize {
    let wide = u128::from(rng.next_u64()) * bound as u128;
    usize::try_from(wide >> 64).expect("below the bound")
}
