//! The event queue of the simulations.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use chestnut_unit::Time;

/// An event with its virtual time and insertion number, ordered by these two.
struct Scheduled<E> {
    at: Time,
    seq: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// Events ordered by virtual time. Events of the same time keep their insertion
/// order, so that runs are reproducible.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    seq: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self {
            heap: BinaryHeap::new(),
            seq: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event at a time.
    pub(crate) fn push(&mut self, at: Time, event: E) {
        self.seq += 1;
        let seq = self.seq;
        self.heap.push(Reverse(Scheduled { at, seq, event }));
    }

    /// Removes and returns the earliest event and its time; `None` if the queue is empty.
    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        let Reverse(item) = self.heap.pop()?;
        Some((item.at, item.event))
    }
}
