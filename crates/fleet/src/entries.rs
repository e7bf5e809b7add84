//! The list of entries that callers receive.

use std::net::SocketAddr;

use chestnut_unit::{DomainName, MemberId};
use rand::Rng;

use crate::Swim;

/// An entry that callers can connect to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name of the entry.
    pub member: MemberId,
    /// Address for callers.
    pub address: SocketAddr,
    /// Failure domain of the entry.
    pub domain: DomainName,
}

/// Divisor of the number of running requests; entries with the same quotient
/// are ordered at random.
const LOAD_STEP: u32 = 8;

/// Returns the entries that accept new work in the order in which a caller
/// should try them: first those in `domain`, the caller's failure domain if
/// known; among them and among the others, by load. `own_load` is the number of
/// requests that this entry runs. Ties are broken at random by `rng`, so that
/// callers that ask at the same time don't all choose the same entry.
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
        .accepting_work()
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
            let remote = domain.is_some_and(|domain| member.domain != *domain);
            (remote, load / LOAD_STEP, rng.next_u64(), entry)
        })
        .collect();
    keyed.sort_by_key(|(remote, load, tiebreak, _)| (*remote, *load, *tiebreak));
    keyed.into_iter().map(|(.., entry)| entry).collect()
}
