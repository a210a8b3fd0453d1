//! Intervals, timeouts and size limits; command-line flags override some of them.

use std::time::Duration;

/// Interval of the log leader's heartbeats to each follower.
pub const LOG_HEARTBEAT: Duration = Duration::from_millis(100);

/// Minimum election timeout: the shortest leader silence after which a voter starts an election.
pub const ELECTION_MIN: Duration = Duration::from_millis(500);

/// Maximum election timeout: the longest leader silence after which a voter starts an election.
pub const ELECTION_MAX: Duration = Duration::from_millis(1000);

/// Leader lease, counted from the start of a heartbeat round that a quorum acknowledged.
/// Shorter than `ELECTION_MIN` to tolerate clocks that run at different speeds.
pub const LEADER_LEASE: Duration = Duration::from_millis(450);

/// Lease on a view, counted from the time at which the entry requested it.
pub const VIEW_LEASE: Duration = Duration::from_millis(2000);

/// How long control waits before it reuses resources that an old view may still refer to.
pub const VIEW_DRAIN: Duration = Duration::from_millis(2300);

/// Interval of an entry's reports to control, each of which also requests the view lease.
pub const ENTRY_REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// How long control retains an entry that has stopped reporting.
pub const ENTRY_LEASE: Duration = Duration::from_millis(2000);

/// Interval of a backend server's announcements.
pub const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

/// How long an announcement is valid.
pub const ANNOUNCE_LEASE: Duration = Duration::from_millis(1500);

/// How long a new leader collects reports before it acts on the absence of a host.
pub const DISCOVERY_PERIOD: Duration = Duration::from_millis(2000);

/// How long a member may be absent before its group is repaired.
pub const REPAIR_DELAY: Duration = Duration::from_millis(1000);

/// How long a host that is present may report no outcome of an order before the order counts as
/// lost. An order is in transit for at most `ORDER_TIMEOUT`, and a pause of the host shorter than
/// `ANNOUNCE_LEASE` goes undetected, so the limit exceeds their sum.
pub const ORDER_OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a voter may be silent before a follower replaces it.
pub const VOTER_REPLACE_AFTER: Duration = Duration::from_secs(10);

/// Planning interval while no work is in progress and nothing new is reported.
pub const IDLE_PLAN_INTERVAL: Duration = Duration::from_millis(1000);

/// Planning interval while work is in progress.
pub const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// How long callers may cache a directory response.
pub const DIRECTORY_TTL: Duration = Duration::from_secs(5);

/// Retention of the stored answer of a claimed request.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Maximum size, in bytes, of an answer that is stored for a claimed request.
pub const KEPT_ANSWER_MAX: usize = 16 * 1024;

/// Default maximum size of a request body, in bytes.
pub const BODY_MAX: usize = 4 * 1024 * 1024;

/// Default maximum size of a request's headers, in bytes.
pub const HEADER_MAX: usize = 32 * 1024;

/// Maximum size, in bytes, of a unary response that an entry buffers before forwarding it.
pub const RESPONSE_MAX: usize = 16 * 1024 * 1024;

/// Default maximum size, in bytes, of the bodies of all requests that a process holds.
pub const REQUESTS_MAX: usize = 64 * 1024 * 1024;

/// Default maximum size, in bytes, of the bodies of all responses that a process holds.
pub const RESPONSES_MAX: usize = 64 * 1024 * 1024;

/// Maximum size, in bytes, of a message between the system's own processes.
pub const MESSAGE_MAX: usize = 64 * 1024 * 1024;

/// Timeout for receiving the headers of a caller's request.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout for receiving the body of a request that has no deadline of its own.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout for connecting to another process.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of log entries after which the log is compacted into a snapshot.
pub const COMPACTION_THRESHOLD: u64 = 10_000;

/// How long a draining process waits for its last request to finish.
pub const DRAIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Minimum time for which a new leader collects reports, even if all members have reported.
pub const DISCOVERY_PERIOD_MIN: Duration = Duration::from_millis(1000);

/// Interval at which control processes send each other `Hello` messages.
pub const HELLO_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for a backend server's response to an order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);

/// How long an operator's request waits for a commit.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

const _: () = {
    let transit_and_pause = ORDER_TIMEOUT.as_millis() + ANNOUNCE_LEASE.as_millis();
    assert!(ORDER_OUTCOME_TIMEOUT.as_millis() > transit_and_pause + ANNOUNCE_INTERVAL.as_millis());
    assert!(LEADER_LEASE.as_millis() < ELECTION_MIN.as_millis());
    assert!(VIEW_DRAIN.as_millis() > VIEW_LEASE.as_millis());
};
