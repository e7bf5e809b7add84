//! Statements about members that still have to be passed on.

use std::collections::BTreeMap;

use chestnut_unit::MemberId;

use crate::Member;

/// A statement is passed on this many times the number of decimal digits of
/// the number of members. More fills the messages: at 10% loss and 800 members
/// three times the binary digits left refutations waiting behind suspicions
/// until their time was over (docs/MEASUREMENTS.md, membership).
const REPEAT: u32 = 4;

/// The newest statement about each member, with the times it was passed on.
#[derive(Clone, Debug, Default)]
pub struct News {
    waiting: BTreeMap<MemberId, (u32, Member)>,
}

impl News {
    /// Queues a statement in place of an earlier one about the same member.
    pub fn add(&mut self, member: Member) {
        self.waiting.insert(member.id.clone(), (0, member));
    }

    /// The statements that go with the next message, the least often told
    /// first, at most `most`.
    pub fn take(&mut self, most: usize, members: usize) -> Vec<Member> {
        let limit = REPEAT * (members.max(1).ilog10() + 1);
        let mut order: Vec<(u32, MemberId)> = self
            .waiting
            .iter()
            .map(|(id, (told, _))| (*told, id.clone()))
            .collect();
        order.sort();
        order.truncate(most);
        let mut taken = Vec::with_capacity(order.len());
        for (told, id) in order {
            if let Some(entry) = self.waiting.get_mut(&id) {
                entry.0 += 1;
                taken.push(entry.1.clone());
            }
            if told + 1 >= limit {
                self.waiting.remove(&id);
            }
        }
        taken
    }

    /// Statements that still wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
