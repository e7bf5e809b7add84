//! Bounded queues of refusal records to be written to the platform.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use chestnut_unit::{Incarnation, MemberId, Reason, Time, WallTime};
use serde::{Deserialize, Serialize};

/// Limits of a refusal log: write interval, records kept and batch size.
#[derive(Clone, Copy, Debug)]
pub struct RefusalLogConfig {
    /// Minimum time between two batches.
    pub interval: Duration,
    /// Maximum number of records that the platform has not confirmed. Beyond
    /// it, each new record drops the oldest one that is not yet in a batch, if
    /// there is one.
    pub capacity: usize,
    /// Maximum number of records in a batch, which keeps its object below a
    /// megabyte.
    pub batch_size: usize,
}

impl Default for RefusalLogConfig {
    /// Allows a batch every 5 s, 50,000 unconfirmed records and 2,000 records
    /// in a batch.
    fn default() -> Self {
        Self {
            interval: Duration::from_secs(5),
            capacity: 50_000,
            batch_size: 2_000,
        }
    }
}

/// One refusal as it is written to the platform: the receipt and the details.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The receipt that the caller got.
    pub receipt: String,
    /// Details that the receipt leaves out, such as what was wrong with the
    /// request or which shards were missing.
    pub detail: String,
}

/// Records that were dropped because the log was full: since when, and how many
/// for each reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gap {
    /// When the first record was dropped.
    pub since: WallTime,
    /// Number of dropped records by reason.
    pub dropped: BTreeMap<Reason, u64>,
}

/// Records that are written to the platform as one object, with the gap of
/// records that were dropped before them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Name of the object, unique across entries and their incarnations.
    pub name: String,
    /// The records.
    pub records: Vec<Record>,
    /// Records that were dropped since the previous batch was made; `None` if
    /// there are none.
    pub gap: Option<Gap>,
}

/// Refusal records of one entry: those that wait for a batch, the batch being
/// written, batches that a peer has a copy of, and the gap of dropped ones. A
/// batch is kept until the platform has confirmed it; a repeated write changes
/// nothing, since its name and content stay the same.
#[derive(Clone, Debug)]
pub struct RefusalLog {
    config: RefusalLogConfig,
    owner: (MemberId, Incarnation),
    waiting: VecDeque<(Reason, Record)>,
    in_flight: Option<Batch>,
    replicated: VecDeque<Batch>,
    gap: Option<Gap>,
    dropped: u64,
    written: u64,
    next: u64,
    due: Time,
}

impl RefusalLog {
    /// Creates an empty log. Batches are named after `member` and
    /// `incarnation`; the first one is due at once.
    #[must_use]
    pub fn new(config: RefusalLogConfig, member: MemberId, incarnation: Incarnation) -> Self {
        Self {
            config,
            owner: (member, incarnation),
            waiting: VecDeque::new(),
            in_flight: None,
            replicated: VecDeque::new(),
            gap: None,
            dropped: 0,
            written: 0,
            next: 0,
            due: Time::ZERO,
        }
    }

    /// Returns the number of records that the platform has not confirmed.
    #[must_use]
    pub fn unconfirmed(&self) -> usize {
        let batches = self.in_flight.iter().chain(&self.replicated);
        self.waiting.len() + batches.map(|batch| batch.records.len()).sum::<usize>()
    }

    /// Returns the detail of the record with this receipt; `None` if it is not
    /// in the log or the platform has confirmed it.
    #[must_use]
    pub fn find(&self, receipt: &str) -> Option<String> {
        let batches = self.in_flight.iter().chain(&self.replicated);
        let batched = batches.flat_map(|batch| &batch.records);
        let waiting = self.waiting.iter().map(|(_, record)| record);
        batched
            .chain(waiting)
            .find(|record| record.receipt == receipt)
            .map(|record| record.detail.clone())
    }

    /// Returns the number of records dropped so far.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// Returns the number of records that the platform has confirmed.
    #[must_use]
    pub fn written(&self) -> u64 {
        self.written
    }

    /// Queues a record. If the log is full, the oldest record that is not yet
    /// in a batch is dropped and counted in the gap, which starts at `wall`.
    pub fn add(&mut self, reason: Reason, record: Record, wall: WallTime) {
        if self.unconfirmed() >= self.config.capacity
            && let Some((reason, _)) = self.waiting.pop_front()
        {
            self.count_drop(reason, wall);
        }
        self.waiting.push_back((reason, record));
    }

    /// Returns the batch to write now; `None` if none is due or there is
    /// nothing to write. A batch whose write failed is returned again. The
    /// interval grows with `members`, the number of entries, which bounds the
    /// write rate of all entries together.
    pub fn next_batch(&mut self, members: usize, now: Time) -> Option<Batch> {
        if now < self.due {
            return None;
        }
        let batch = self.flush_batch()?;
        let interval = WRITE_INTERVAL * u32::try_from(members).unwrap_or(u32::MAX);
        self.due = now + self.config.interval.max(interval);
        Some(batch)
    }

    /// Returns the batch to write next, whether it is due or not; `None` if the
    /// platform has confirmed everything. New records come before batches that
    /// a peer has a copy of.
    pub fn flush_batch(&mut self) -> Option<Batch> {
        if self.in_flight.is_none() {
            self.in_flight = self.cut_batch().or_else(|| self.replicated.pop_front());
        }
        self.in_flight.clone()
    }

    /// Records that a peer has a copy of the batch in flight, which the
    /// platform did not accept. It is written again after newer records, by
    /// this entry or, if this one crashes, by the peer. Does nothing if `name`
    /// is not in flight.
    pub fn mark_replicated(&mut self, name: &str) {
        let batch = self.in_flight.take_if(|batch| batch.name == name);
        self.replicated.extend(batch);
    }

    /// Drops the batch in flight, which the platform has confirmed, and counts
    /// its records as written. Does nothing if `name` is not in flight.
    pub fn confirm(&mut self, name: &str) {
        if let Some(batch) = self.in_flight.take_if(|batch| batch.name == name) {
            self.written += batch.records.len() as u64;
        }
    }

    /// Makes a batch of the oldest queued records and the gap before them;
    /// `None` if there are neither records nor a gap.
    fn cut_batch(&mut self) -> Option<Batch> {
        if self.waiting.is_empty() && self.gap.is_none() {
            return None;
        }
        let count = self.waiting.len().min(self.config.batch_size);
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

    /// Counts a dropped record in the gap, which starts at `wall` if there was
    /// none.
    fn count_drop(&mut self, reason: Reason, wall: WallTime) {
        self.dropped += 1;
        let gap = self.gap.get_or_insert_with(|| Gap {
            since: wall,
            dropped: BTreeMap::new(),
        });
        *gap.dropped.entry(reason).or_default() += 1;
    }
}

/// Minimum time between two writes of all entries together, which leaves most
/// of the platform's write rate to others.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Copies of other entries' batches, oldest first, which are written to the
/// platform in case their own entry crashes.
#[derive(Clone, Debug)]
pub struct ReplicaBatches {
    batches: VecDeque<Batch>,
    capacity: usize,
    dropped: u64,
}

impl ReplicaBatches {
    /// Keeps at most `capacity` batches; beyond it the oldest is dropped, which
    /// its own entry still has while it runs.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            batches: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Adds a copy of a batch unless there is one of the same name. If there
    /// are too many copies, the oldest is dropped and counted.
    pub fn add(&mut self, batch: Batch) {
        if self.batches.iter().any(|kept| kept.name == batch.name) {
            return;
        }
        if self.batches.len() >= self.capacity {
            self.batches.pop_front();
            self.dropped += 1;
        }
        self.batches.push_back(batch);
    }

    /// Returns the oldest copy, which stays until it is confirmed; `None` if
    /// there is none. The platform stores each name once, so writing a batch
    /// that its own entry has written changes nothing.
    #[must_use]
    pub fn next(&self) -> Option<Batch> {
        self.batches.front().cloned()
    }

    /// Drops the copy of a batch that the platform has stored.
    pub fn confirm(&mut self, name: &str) {
        self.batches.retain(|batch| batch.name != name);
    }

    /// Returns the number of copies dropped for lack of space.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
