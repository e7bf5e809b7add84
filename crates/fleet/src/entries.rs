//! Which entries callers should use.

use std::net::SocketAddr;

use chestnut_unit::{DomainName, MemberId};
use rand::Rng;

use crate::Swim;

/// One entry in the list that callers get.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub member: MemberId,
    /// Where callers connect.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
}

/// Load differences below this many running requests don't matter.
const LOAD_STEP: u32 = 8;

/// The entries that take new work, in the order in which a caller should try
/// them: its own failure domain first, then lightly loaded ones; entries that
/// are alike come in a random order, so that callers who ask together don't
/// all go to the same one.
#[must_use]
pub fn order_entries(
    swim: &Swim,
    domain: Option<&DomainName>,
    own_load: u32,
    rng: &mut dyn Rng,
) -> Vec<Entry> {
    let own = &swim.view.own().id;
    let mut keyed: Vec<(bool, u32, u64, Entry)> = swim
        .view
        .working()
        .map(|member| {
            let load = if member.id == *own {
                own_load
            } else {
                swim.load(&member.id)
            };
            let entry = Entry {
                member: member.id.clone(),
                address: member.addresses.callers,
                domain: member.domain.clone(),
            };
            let far = domain.is_some_and(|domain| member.domain != *domain);
            (far, load / LOAD_STEP, rng.next_u64(), entry)
        })
        .collect();
    keyed.sort_by_key(|(far, load, draw, _)| (*far, *load, *draw));
    keyed.into_iter().map(|(.., entry)| entry).collect()
}
