//! All members that an entry knows of.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use chestnut_unit::{DomainName, Incarnation, MemberId, Time};

use crate::{Liveness, Member};

/// How long a member that is known to be gone is remembered: as long as its
/// tickets live, so that they find its successor, and far longer than news of
/// it travels, so that an old "alive" can't bring it back.
const GONE_KEPT: Duration = Duration::from_secs(900);

/// A change of the view that others act upon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member came, or came back.
    Joined,
    /// A member is suspected.
    Suspected,
    /// A member says that it is leaving.
    Leaving,
    /// A member is gone.
    Gone,
    /// Nothing that others act upon.
    None,
}

#[derive(Clone, Debug)]
struct Known {
    member: Member,
    changed: Time,
    dismissed: bool,
}

impl Known {
    fn new(member: Member, now: Time) -> Self {
        Self {
            member,
            changed: now,
            dismissed: false,
        }
    }

    /// Whether the member itself or the platform said that it is gone. A
    /// member that merely stopped answering may be on the other side of a
    /// split, where it goes on accepting edits.
    fn known_gone(&self) -> bool {
        self.member.liveness == Liveness::Gone && (self.member.leaving || self.dismissed)
    }
}

/// The members that one entry knows, itself included.
#[derive(Clone, Debug)]
pub struct View {
    own: MemberId,
    known: BTreeMap<MemberId, Known>,
}

impl View {
    /// A view that knows only `own`.
    #[must_use]
    pub fn new(own: Member, now: Time) -> Self {
        let id = own.id.clone();
        Self {
            known: BTreeMap::from([(id.clone(), Known::new(own, now))]),
            own: id,
        }
    }

    /// This entry.
    ///
    /// # Panics
    ///
    /// Never: a view always knows its own member.
    #[must_use]
    pub fn own(&self) -> &Member {
        &self.known[&self.own].member
    }

    /// Changes this entry's own statement.
    pub fn change_own(&mut self, change: impl FnOnce(&mut Member)) {
        if let Some(known) = self.known.get_mut(&self.own) {
            change(&mut known.member);
        }
    }

    /// A member.
    #[must_use]
    pub fn get(&self, id: &MemberId) -> Option<&Member> {
        self.known.get(id).map(|known| &known.member)
    }

    /// Takes a statement about another member. Returns what changed, and
    /// whether the statement is news that should travel on.
    pub fn merge(&mut self, said: &Member, now: Time) -> (Change, bool) {
        let Some(known) = self.known.get_mut(&said.id) else {
            if said.liveness == Liveness::Gone {
                return (Change::None, false);
            }
            let known = Known::new(said.clone(), now);
            self.known.insert(said.id.clone(), known);
            return (Change::Joined, true);
        };
        let before = known.member.clone();
        if !known.member.merge(said) {
            return (Change::None, false);
        }
        known.changed = now;
        known.dismissed = false;
        (change_between(&before, &known.member), true)
    }

    /// Drops members that have been known to be gone for long.
    pub fn forget(&mut self, now: Time) {
        self.known
            .retain(|_, known| !known.known_gone() || now.since(known.changed) < GONE_KEPT);
    }

    /// Takes the platform's list of live VMs: members that are gone and not on
    /// it are gone for good.
    pub fn dismiss_absent(&mut self, live: &BTreeSet<MemberId>) {
        for (id, known) in &mut self.known {
            if known.member.liveness == Liveness::Gone && !live.contains(id) {
                known.dismissed = true;
            }
        }
    }

    /// Other members of which neither they nor the platform said that they
    /// are gone, whether they answer or not.
    pub fn not_known_gone(&self) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .filter(|known| known.member.id != self.own && !known.known_gone())
            .map(|known| &known.member)
    }

    /// All members that are not gone, this entry included.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.known
            .values()
            .map(|known| &known.member)
            .filter(|member| member.liveness != Liveness::Gone)
    }

    /// All members that take new work, this entry included.
    pub fn working(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.takes_work())
    }

    /// All members that are not gone, but for this entry.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|member| member.id != self.own)
    }

    /// Every member that is remembered, the gone included.
    pub fn all(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Members of one failure domain that take new work.
    pub fn working_in<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a Member> {
        self.working()
            .filter(move |member| member.domain == *domain)
    }

    /// Who keeps the tickets that `keeper` minted in its life `life`: itself
    /// in that life, or whoever took them over. A life that this view has not
    /// heard of yet is taken to be the present one: only the member itself
    /// knows, and it decides when it is asked.
    #[must_use]
    pub fn keeper_of(&self, keeper: &MemberId, life: Incarnation) -> Option<&Member> {
        let (mut id, mut life) = (keeper, life);
        for _ in 0..self.known.len() {
            let member = self.get(id)?;
            if let Some(heir) = member.heirs.get(&life) {
                (id, life) = (&heir.member, heir.life);
                continue;
            }
            let here = member.incarnation <= life && member.liveness != Liveness::Gone;
            return here.then_some(member);
        }
        None
    }
}

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
