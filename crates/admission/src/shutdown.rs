//! Which requests an entry still accepts after it was told to stop.

use std::time::{Duration, Instant};

/// How long every request is accepted after the signal to stop, because callers may go on using
/// the entry's address that long. A request accepted in this period has the rest of the grace
/// period to complete.
const ACCEPT_ALL_PERIOD: Duration = Duration::from_millis(2800);

/// How long before the end of the process the last responses are sent, so that they arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// The grace period between the signal to stop and the end of the process.
#[derive(Debug, Clone, Copy)]
pub struct Shutdown {
    /// When the signal arrived.
    pub began: Instant,
    /// The latest time at which the process ends.
    pub end: Instant,
}

impl Shutdown {
    /// Whether to accept a request at `now` whose caller waits until `deadline`. After
    /// `ACCEPT_ALL_PERIOD`, only requests that are certain to end before the process does are
    /// accepted.
    pub fn accepts(&self, now: Instant, deadline: Instant) -> bool {
        now.saturating_duration_since(self.began) < ACCEPT_ALL_PERIOD
            || deadline <= self.respond_by()
    }

    /// When requests that are still in flight get a response, as the process ends.
    pub fn respond_by(&self) -> Instant {
        self.end.checked_sub(RESPONSE_MARGIN).unwrap_or(self.end)
    }
}
