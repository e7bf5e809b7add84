//! A queue of events in virtual time.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use chestnut_unit::Time;

struct Item<E> {
    at: Time,
    seq: u64,
    event: E,
}

impl<E> PartialEq for Item<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Item<E> {}

impl<E> PartialOrd for Item<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Item<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// Events by time; those of the same time in the order in which they came, so
/// that a run repeats itself.
pub(crate) struct Queue<E> {
    heap: BinaryHeap<Reverse<Item<E>>>,
    seq: u64,
}

impl<E> Default for Queue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            seq: 0,
        }
    }
}

impl<E> Queue<E> {
    /// Adds an event.
    pub(crate) fn push(&mut self, at: Time, event: E) {
        self.seq += 1;
        let seq = self.seq;
        self.heap.push(Reverse(Item { at, seq, event }));
    }

    /// The next event and its time.
    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse(item) = self.heap.pop()?;
        Some((item.at, item.event))
    }
}
