//! Queue of member updates to be sent by gossip.

use std::collections::BTreeMap;

use chestnut_unit::MemberId;

use crate::Member;

/// Times that an update is sent, per decimal digit of the number of members. More would delay
/// refutations until after the suspicion timeout. At 10% loss and 800 members, three times the
/// binary digits left refutations waiting behind suspicions until their timeout
/// (docs/MEASUREMENTS.md, membership).
const RETRANSMIT_FACTOR: u32 = 4;

/// The newest update about each member, with the number of times it was sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    queued: BTreeMap<MemberId, (u32, Member)>,
}

impl GossipQueue {
    /// Queues an update, replacing an earlier one about the same member.
    pub fn add(&mut self, member: Member) {
        self.queued.insert(member.id.clone(), (0, member));
    }

    /// Returns at most `max_updates` updates for the next message, those sent
    /// least often first, and counts them as sent. Drops an update once it was
    /// sent often enough for a membership of `members`.
    pub fn take(&mut self, max_updates: usize, members: usize) -> Vec<Member> {
        let limit = RETRANSMIT_FACTOR * (members.max(1).ilog10() + 1);
        let mut order: Vec<(u32, MemberId)> = self
            .queued
            .iter()
            .map(|(id, (sent, _))| (*sent, id.clone()))
            .collect();
        order.sort();
        order.truncate(max_updates);
        let mut taken = Vec::with_capacity(order.len());
        for (sent, id) in order {
            if let Some(entry) = self.queued.get_mut(&id) {
                entry.0 += 1;
                taken.push(entry.1.clone());
            }
            if sent + 1 >= limit {
                self.queued.remove(&id);
            }
        }
        taken
    }

    /// Returns the number of queued updates.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queued.len()
    }

    /// Whether no update is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }
}
