//! The planned end of a process, one value for all who start, wait for or serve requests.

use std::{future, time::Duration};

use chestnut_port::Clock;
use chestnut_unit::Time;
use tokio::{sync::watch, time::sleep_until};

/// When the process ends by plan. Unknown until a planned stop begins.
///
/// Admission, calls and servers ask it, so that nothing is started that can't be finished, and
/// everything that runs is answered in time. Parts of a stop with times of their own would not
/// add up: a request would be accepted by one part and cut off by the next.
#[derive(Debug)]
pub struct Lifetime {
    end: watch::Sender<Option<Time>>,
}

impl Default for Lifetime {
    /// A process that isn't being stopped.
    fn default() -> Self {
        Self {
            end: watch::Sender::new(None),
        }
    }
}

impl Lifetime {
    /// Returns when the process ends; `None` if no planned stop has begun.
    #[must_use]
    pub fn end(&self) -> Option<Time> {
        *self.end.borrow()
    }

    /// Begins a planned stop that ends at `end`, and returns its end: in a stop that has begun
    /// already the earlier one holds.
    pub fn end_at(&self, end: Time) -> Time {
        self.end.send_if_modified(|known| {
            let sooner = known.is_none_or(|known| end < known);
            if sooner {
                *known = Some(end);
            }
            sooner
        });
        self.end().unwrap_or(end)
    }

    /// Returns a receiver that is told of the end.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Time>> {
        self.end.subscribe()
    }

    /// Waits until the process has only `rest` left before its end.
    pub async fn until_left(&self, clock: &Clock, rest: Duration) {
        let mut end = self.subscribe();
        loop {
            let known = *end.borrow_and_update();
            let reached = async {
                match known {
                    Some(end) => sleep_until(clock.instant(end - rest)).await,
                    None => future::pending().await,
                }
            };
            tokio::select! {
                () = reached => return,
                // Fails only if the process has no lifetime any more.
                changed = end.changed() => if changed.is_err() { return },
            }
        }
    }
}
