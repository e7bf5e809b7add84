//! The membership list of an entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chestnut_unit::{DomainName, Incarnation, MemberId, Time};

use crate::{Liveness, Member};

/// How long a member that is confirmed gone is kept. Covers the validity of its
/// tickets, and delayed "alive" updates that would revive it.
const GONE_RETENTION: Duration = Duration::from_secs(900);

/// A membership change that other components react to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member joined or came back.
    Joined,
    /// A member became suspect.
    Suspected,
    /// A member announced that it is leaving.
    Leaving,
    /// A member is gone.
    Gone,
    /// No change that needs a reaction.
    None,
}

/// A member, when its state last changed, and whether the platform confirmed
/// that it is gone.
#[derive(Clone, Debug)]
struct MemberRecord {
    member: Member,
    changed_at: Time,
    /// Whether it was gone and missing from the platform's list of live VMs.
    unlisted: bool,
}

impl MemberRecord {
    /// Creates the record of a member whose state changed at `now`.
    fn new(member: Member, now: Time) -> Self {
        Self {
            member,
            changed_at: now,
            unlisted: false,
        }
    }

    /// Whether the member itself or the platform reported that it is gone. A
    /// member that merely stopped answering may be on the other side of a
    /// partition, where it goes on accepting edits.
    fn confirmed_gone(&self) -> bool {
        self.member.liveness == Liveness::Gone && (self.member.leaving || self.unlisted)
    }
}

/// The members that an entry knows, itself included.
#[derive(Clone, Debug)]
pub struct View {
    own: MemberId,
    members: BTreeMap<MemberId, MemberRecord>,
}

impl View {
    /// Creates a view that contains only `own`.
    #[must_use]
    pub fn new(own: Member, now: Time) -> Self {
        let id = own.id.clone();
        Self {
            members: BTreeMap::from([(id.clone(), MemberRecord::new(own, now))]),
            own: id,
        }
    }

    /// Returns this entry's own state.
    ///
    /// # Panics
    ///
    /// Never: a view always contains its own member.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.members[&self.own].member
    }

    /// Changes this entry's own state; the caller has to gossip the change.
    pub fn change_own(&mut self, change: impl FnOnce(&mut Member)) {
        if let Some(record) = self.members.get_mut(&self.own) {
            change(&mut record.member);
        }
    }

    /// Returns a member, or `None` if it is unknown.
    #[must_use]
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.members.get(id).map(|record| &record.member)
    }

    /// Merges an update about another member; an unknown member that is gone
    /// isn't added. Returns what changed, and whether the update should be
    /// gossiped further.
    pub fn merge(&mut self, update: &Member, now: Time) -> (Change, bool) {
        let Some(record) = self.members.get_mut(&update.id) else {
            if update.liveness == Liveness::Gone {
                return (Change::None, false);
            }
            let record = MemberRecord::new(update.clone(), now);
            self.members.insert(update.id.clone(), record);
            return (Change::Joined, true);
        };
        let before = record.member.clone();
        if !record.member.merge(update) {
            return (Change::None, false);
        }
        record.changed_at = now;
        record.unlisted = false;
        (change_between(&before, &record.member), true)
    }

    /// Removes members that have been confirmed gone for longer than any of
    /// their tickets is valid.
    pub fn forget(&mut self, now: Time) {
        self.members
            .retain(|_, m| !m.confirmed_gone() || now.since(m.changed_at) < GONE_RETENTION);
    }

    /// Marks members that are gone and not in the platform's list of live VMs
    /// as confirmed gone.
    pub fn confirm_absent_gone(&mut self, live: &BTreeSet<MemberId>) {
        for (id, record) in &mut self.members {
            if record.member.liveness == Liveness::Gone && !live.contains(id) {
                record.unlisted = true;
            }
        }
    }

    /// Returns the other members that neither they themselves nor the platform
    /// reported as gone, whether they answer or not.
    pub fn not_confirmed_gone(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(|record| record.member.id != self.own && !record.confirmed_gone())
            .map(|record| &record.member)
    }

    /// Returns all members that are not gone, this entry included.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .map(|record| &record.member)
            .filter(|member| member.liveness != Liveness::Gone)
    }

    /// Returns all members that accept new work, this entry included.
    pub fn accepting_work(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.accepts_work())
    }

    /// Returns all members that are not gone, except this entry.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.id != self.own)
    }

    /// Returns all known members, including those that are gone.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|record| &record.member)
    }

    /// Returns the members of a failure domain that accept new work.
    pub fn accepting_work_in<'a>(
        &'a self,
        domain: &'a DomainName,
    ) -> impl Iterator<Item = &'a Member> {
        self.accepting_work()
            .filter(move |member| member.domain == *domain)
    }

    /// Returns the member that owns the tickets that `issuer` issued in
    /// `incarnation`: that member itself, or the successor that took them over.
    /// Returns `None` if the one found is unknown, gone, or known in a later
    /// incarnation. An incarnation newer than the known one counts as the
    /// present one; the member decides when asked.
    #[must_use]
    pub fn ticket_owner(&self, issuer: &MemberId, incarnation: Incarnation) -> Option<&Member> {
        let (mut id, mut incarnation) = (issuer, incarnation);
        for _ in 0..self.members.len() {
            let member = self.get(id)?;
            if let Some(successor) = member.successors.get(&incarnation) {
                (id, incarnation) = (&successor.member, successor.incarnation);
                continue;
            }
            let owns_tickets =
                member.incarnation <= incarnation && member.liveness != Liveness::Gone;
            return owns_tickets.then_some(member);
        }
        None
    }
}

/// Returns the change between two states of a member that others react to;
/// [`Change::None`] if there is none, such as a refuted suspicion or a new
/// load.
fn change_between(before: &Member, after: &Member) -> Change {
    if after.incarnation > before.incarnation {
        return Change::Joined;
    }
    if after.liveness == Liveness::Gone && before.liveness != Liveness::Gone {
        return Change::Gone;
    }
    if after.leaving && !before.leaving {
        return Change::Leaving;
    }
    match (before.liveness, after.liveness) {
        (Liveness::Gone, Liveness::Alive | Liveness::Suspect) => Change::Joined,
        (Liveness::Alive, Liveness::Suspect) => Change::Suspected,
        _ => Change::None,
    }
}
