//! Refusal records on their way to the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use chestnut_unit::{Incarnation, MemberId, Reason, Time, Wall};
use serde::{Deserialize, Serialize};

/// Parameters of a journal.
#[derive(Clone, Copy, Debug)]
pub struct JournalConfig {
    /// Time between two batches.
    pub interval: Duration,
    /// Records that are kept while the platform is out.
    pub most: usize,
    /// Records in one batch, so that its object stays below a megabyte.
    pub batch: usize,
}

impl Default for JournalConfig {
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(5),
            most: 50_000,
            batch: 2_000,
        }
    }
}

/// One refusal on record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The receipt that the caller got.
    pub receipt: String,
    /// What the receipt has no room for: the detail of a bad request, the
    /// shards that were missing.
    pub detail: String,
}

/// Records that were dropped because the platform was out for too long.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// When the first was dropped.
    pub since: Wall,
    /// Records dropped, by reason.
    pub dropped: BTreeMap<Reason, u64>,
}

/// Records that are written as one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the object, unique to this life of the entry.
    pub name: String,
    /// The records.
    pub records: Vec<Record>,
    /// What was dropped before them.
    pub gap: Option<Gap>,
}

/// Refusal records of one entry. A batch is kept until the platform has
/// confirmed it; writing it again after a lost answer changes nothing, since
/// its name and content stay the same.
#[derive(Clone, Debug)]
pub struct Journal {
    config: JournalConfig,
    owner: (MemberId, Incarnation),
    waiting: VecDeque<(Reason, Record)>,
    flying: Option<Batch>,
    entrusted: VecDeque<Batch>,
    gap: Option<Gap>,
    dropped: u64,
    written: u64,
    next: u64,
    due: Time,
}

impl Journal {
    /// An empty journal.
    #[must_use]
    pub fn new(config: JournalConfig, member: MemberId, incarnation: Incarnation) -> Self {
        Self {
            config,
            owner: (member, incarnation),
            waiting: VecDeque::new(),
            flying: None,
            entrusted: VecDeque::new(),
            gap: None,
            dropped: 0,
            written: 0,
            next: 0,
            due: Time::ZERO,
        }
    }

    /// Records that the platform has not confirmed.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let batches = self.flying.iter().chain(&self.entrusted);
        self.waiting.len() + batches.map(|batch| batch.records.len()).sum::<usize>()
    }

    /// The detail of a record that still waits for the platform.
    #[must_use]
    pub fn find(&self, receipt: &str) -> Option<String> {
        let batches = self.flying.iter().chain(&self.entrusted);
        let cut = batches.flat_map(|batch| &batch.records);
        let waiting = self.waiting.iter().map(|(_, record)| record);
        cut.chain(waiting)
            .find(|record| record.receipt == receipt)
            .map(|record| record.detail.clone())
    }

    /// Records dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Records that the platform has confirmed.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Adds a record, dropping the oldest waiting one if there are too many.
    pub fn add(&mut self, reason: Reason, record: Record, wall: Wall) {
        if self.waiting() >= self.config.most
            && let Some((reason, _)) = self.waiting.pop_front()
        {
            self.note_drop(reason, wall);
        }
        self.waiting.push_back((reason, record));
    }

    /// The batch to write now, if one is due. A batch that failed comes again.
    /// The interval grows with the number of entries, so that all together
    /// write at a rate that the platform bears.
    pub fn next_batch(&mut self, members: usize, now: Time) -> Option<Batch> {
        if now < self.due {
            return None;
        }
        let batch = self.last_batch()?;
        let spread = WRITE_GAP * u32::try_from(members).unwrap_or(u32::MAX);
        self.due = now + self.config.interval.max(spread);
        Some(batch)
    }

    /// The batch to write at a planned stop, due or not.
    pub fn last_batch(&mut self) -> Option<Batch> {
        if self.flying.is_none() {
            self.flying = self.cut().or_else(|| self.entrusted.pop_front());
        }
        self.flying.clone()
    }

    /// A peer has a copy of the batch under way, which the platform did not
    /// take. It is written again later, by this entry or, if that dies first,
    /// by the peer; the next records come first.
    pub fn entrust(&mut self, name: &str) {
        let batch = self.flying.take_if(|batch| batch.name == name);
        self.entrusted.extend(batch);
    }

    /// The platform confirmed a batch.
    pub fn confirm(&mut self, name: &str) {
        if let Some(batch) = self.flying.take_if(|batch| batch.name == name) {
            self.written += batch.records.len() as u64;
        }
    }

    fn cut(&mut self) -> Option<Batch> {
        if self.waiting.is_empty() && self.gap.is_none() {
            return None;
        }
        let count = self.waiting.len().min(self.config.batch);
        let records = self.waiting.drain(..count).map(|(_, r)| r).collect();
        let (member, incarnation) = &self.owner;
        let name = format!("{member}.{incarnation}.{}", self.next);
        self.next += 1;
        Some(Batch {
            name,
            records,
            gap: self.gap.take(),
        })
    }

    fn note_drop(&mut self, reason: Reason, wall: Wall) {
        self.dropped += 1;
        let gap = self.gap.get_or_insert_with(|| Gap {
            since: wall,
            dropped: BTreeMap::new(),
        });
        *gap.dropped.entry(reason).or_default() += 1;
    }
}

/// Least time between two writes of all entries together: 50 a second, a
/// tenth of the platform's writes.
const WRITE_GAP: Duration = Duration::from_millis(20);

/// Batches of other entries that this one keeps copies of.
#[derive(Clone, Debug)]
pub struct Copies {
    batches: VecDeque<Batch>,
    most: usize,
    dropped: u64,
}

impl Copies {
    /// Keeps at most `most` batches; more drop the oldest, which their own
    /// entry still has while it lives.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            batches: VecDeque::new(),
            most,
            dropped: 0,
        }
    }

    /// Takes a copy.
    pub fn add(&mut self, batch: Batch) {
        if self.batches.iter().any(|held| held.name == batch.name) {
            return;
        }
        if self.batches.len() >= self.most {
            self.batches.pop_front();
            self.dropped += 1;
        }
        self.batches.push_back(batch);
    }

    /// A batch to write. The platform takes each name once, so writing one
    /// that its own entry has written changes nothing.
    #[must_use]
    pub fn next(&self) -> Option<Batch> {
        self.batches.front().cloned()
    }

    /// The platform has a batch.
    pub fn confirm(&mut self, name: &str) {
        self.batches.retain(|batch| batch.name != name);
    }

    /// Copies dropped for want of room.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
