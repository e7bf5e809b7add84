//! What an entry spends, as counters and a line of the log now and then.

use std::{fmt::Write, sync::Arc, time::Duration};

use chestnut_flow::lock;
use chestnut_port::{Distance, Flow, Purpose, Traffic};
use chestnut_route::{Gauge, Tally};
use slog::info;
use tokio::time::sleep;

use crate::shared::Shared;

/// Time between two lines. Three lines in it are a thousandth of what an entry logs
/// that serves ten requests a second.
const EVERY: Duration = Duration::from_secs(10);

/// Bytes by purpose, distance and flow.
#[derive(Clone, Copy, Default)]
struct Bytes([[[u64; 2]; 2]; Purpose::ALL.len()]);

impl Bytes {
    fn take(traffic: &Traffic) -> Self {
        let mut bytes = Self::default();
        for (purpose, distance, flow) in kinds() {
            bytes.0[purpose as usize][distance as usize][flow as usize] =
                traffic.get(purpose, distance, flow);
        }
        bytes
    }

    /// What was counted since `before`, as `purpose=near in/near out/far in/far out`.
    fn since(&self, before: &Self) -> String {
        let mut text = String::new();
        for purpose in Purpose::ALL {
            let gap = if text.is_empty() { "" } else { " " };
            let count = |distance: usize, flow: usize| {
                let at = purpose as usize;
                self.0[at][distance][flow] - before.0[at][distance][flow]
            };
            let word = purpose.as_str();
            // Writing to a string does not fail.
            let _ = write!(
                text,
                "{gap}{word}={}/{}/{}/{}",
                count(0, 0),
                count(0, 1),
                count(1, 0),
                count(1, 1)
            );
        }
        text
    }
}

fn kinds() -> impl Iterator<Item = (Purpose, Distance, Flow)> {
    let pairs = |purpose| {
        Distance::ALL
            .into_iter()
            .flat_map(move |distance| Flow::ALL.map(|flow| (purpose, distance, flow)))
    };
    Purpose::ALL.into_iter().flat_map(pairs)
}

/// What is told of extra calls.
#[derive(Clone, Copy, Default)]
struct Extra {
    tally: Tally,
    gauge: Gauge,
}

/// Logs what was spent since the line before, for as long as the entry runs.
pub(crate) async fn run(shared: Arc<Shared>) {
    let (mut bytes, mut extra) = (Bytes::default(), Extra::default());
    loop {
        sleep(EVERY).await;
        let now = Bytes::take(&shared.traffic);
        let asked = shared.metrics.take_asked();
        let asked: Vec<String> = asked
            .iter()
            .map(|(kind, n)| format!("{kind}={n}"))
            .collect();
        info!(shared.host.log, "spend: bytes"; "bytes" => now.since(&bytes), "store" => asked.join(", "));
        bytes = now;
        let (next, way, samples, overrun) = {
            let state = lock(&shared.cell.state);
            let (tally, gauge) = (state.table.tally(), state.table.gauge());
            let callers = &state.extra.callers;
            (
                Extra { tally, gauge },
                callers.way(Duration::ZERO),
                callers.samples(),
                callers.overrun(),
            )
        };
        if next.gauge.first > extra.gauge.first {
            info!(shared.host.log, "spend: extra calls";
                "earned" => next.tally.earned - extra.tally.earned,
                "lost" => next.tally.lost - extra.tally.lost,
                "spent" => next.tally.spent - extra.tally.spent,
                "first" => next.gauge.first - extra.gauge.first,
                "hedges" => next.gauge.hedges - extra.gauge.hedges,
                "retries" => next.gauge.retries - extra.gauge.retries,
                "unpaid" => next.gauge.unpaid - extra.gauge.unpaid,
                "spared" => next.gauge.spared - extra.gauge.spared,
                "way_ms" => way.as_secs_f64() * 1e3, "way_samples" => samples, "overrun_ms" => overrun.as_secs_f64() * 1e3);
        }
        extra = next;
    }
}

/// Brings the metrics up to what was counted.
pub(crate) fn measure(shared: &Shared) {
    for (purpose, distance, flow) in kinds() {
        let bytes = shared.traffic.get(purpose, distance, flow);
        shared.metrics.set_bytes(purpose, distance, flow, bytes);
    }
    let (tally, gauge, barred) = {
        let state = lock(&shared.cell.state);
        (
            state.table.tally(),
            state.table.gauge(),
            state.table.outstanding_barred(),
        )
    };
    shared.metrics.evacuated_calls.set(i64::from(barred));
    shared.metrics.set_extra("earned", tally.earned);
    shared.metrics.set_extra("lost", tally.lost);
    shared.metrics.set_extra("spent", tally.spent);
    shared.metrics.set_extra("unpaid", gauge.unpaid as f64);
    shared.metrics.set_extra("spared", gauge.spared as f64);
}
