//! The entry's session with control: reports, views, leases and claims.

use crate::entry_state::EntryState;
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use base::{limits::ENTRY_REPORT_INTERVAL, secret::Secret, sync::lock};
use futures_lite::FutureExt;
use log::info;
use model::ids::EntryId;
use peer::{ControlToEntry, ENTRY_PATH, EntryHello, EntryToControl, Session, open};
use plan::EntryReport;
use state::Reply;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Delay before the next control process is tried.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Time without a message from control after which the session is closed and another control
/// process is tried.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(700);
/// Reports whose send time is kept. The lease that answers a report counts from that time.
const MAX_TRACKED_REPORTS: u64 = 64;
/// Capacity of the queue of claim messages.
const CALL_QUEUE_LEN: usize = 4096;

/// A message about a claim, and the channel for its reply.
#[derive(Debug)]
pub struct ClaimCall {
    /// The message.
    pub message: EntryToControl,
    /// The token in the message.
    pub token: u64,
    /// Receives the outcome, or `None` if control cannot determine it.
    pub reply: Sender<Option<Reply>>,
}

/// Sends claims over the current session with control.
#[derive(Debug)]
pub struct ControlClient {
    calls: Sender<ClaimCall>,
}

/// Keeps a session with the leader of control open.
struct SessionTask {
    state: Arc<EntryState>,
    control: Vec<SocketAddr>,
    secret: Secret,
    calls: Receiver<ClaimCall>,
    /// Claim messages that wait for a reply, by token.
    pending_calls: Arc<Mutex<BTreeMap<u64, Sender<Option<Reply>>>>>,
}

/// Why a session ended.
enum SessionEnd {
    /// The peer is not the leader; it named the leader if it knows it.
    Redirect(Option<SocketAddr>),
    /// The connection failed, timed out, or delivered a delta against another view.
    Broken,
}

/// What a session waits for.
enum Event {
    /// The next report is due.
    Timer,
    /// A claim message to send.
    Call(ClaimCall),
    /// A message from control, or `None` if the connection has closed.
    Message(Option<ControlToEntry>),
}

/// The state of an open session.
struct SessionState {
    channel: Session<EntryToControl, ControlToEntry>,
    /// Send times of the latest reports, by number.
    sent_at: BTreeMap<u64, Instant>,
    report_number: u64,
    /// Whether the next report lists all hosts rather than changes only.
    full_wanted: bool,
    /// Whether a full view has arrived in this session.
    has_view: bool,
    next_report_at: Instant,
    last_contact: Instant,
}

impl ControlClient {
    /// Starts the task that keeps a session with control open.
    pub fn start(
        state: &Arc<EntryState>,
        control: Vec<SocketAddr>,
        secret: Secret,
    ) -> ControlClient {
        let (tx, calls) = bounded(CALL_QUEUE_LEN);
        let task = SessionTask {
            state: state.clone(),
            control,
            secret,
            calls,
            pending_calls: Arc::default(),
        };
        state.pool.spawn(task.run()).detach();
        ControlClient { calls: tx }
    }

    /// Sends a message about a claim and waits for the reply. Returns `None` if control cannot
    /// determine the outcome now.
    pub async fn call(&self, message: EntryToControl, token: u64) -> Option<Reply> {
        let (reply, answer) = bounded(1);
        let call = ClaimCall { message, token, reply };
        self.calls.send(call).await.ok()?;
        answer.recv().await.ok().flatten()
    }
}

impl SessionTask {
    async fn run(self) {
        let mut next = 0;
        let mut redirect = None;
        loop {
            let to = redirect.take().unwrap_or_else(|| self.control[next % self.control.len()]);
            let entry: EntryId = self.state.name.clone();
            let from = Some(self.state.listen.ip());
            let opened = open(self.state.pool, from, to, &self.secret, ENTRY_PATH).await;
            if let Ok(raw) = opened {
                let channel = raw.start(self.state.pool, self.state.control_bytes.clone());
                let end = self.run_session(channel, entry).await;
                self.fail_pending_calls();
                if let SessionEnd::Redirect(leader) = end {
                    redirect = leader.filter(|leader| *leader != to);
                }
            }
            if redirect.is_none() {
                next += 1;
                Timer::after(RECONNECT_DELAY).await;
            }
        }
    }

    async fn run_session(
        &self,
        channel: Session<EntryToControl, ControlToEntry>,
        entry: EntryId,
    ) -> SessionEnd {
        let now = self.state.clock.now();
        let hello = EntryHello { entry, address: self.state.listen, version: self.state.version() };
        if channel.tx.send(EntryToControl::Hello(hello)).await.is_err() {
            return SessionEnd::Broken;
        }
        let mut session = SessionState {
            channel,
            sent_at: BTreeMap::new(),
            report_number: 0,
            full_wanted: true,
            has_view: false,
            next_report_at: now,
            last_contact: now,
        };
        loop {
            let now = self.state.clock.now();
            if now >= session.next_report_at && self.send_report(&mut session, now).await.is_err() {
                return SessionEnd::Broken;
            }
            if now.saturating_duration_since(session.last_contact) > CONTROL_TIMEOUT {
                return SessionEnd::Broken;
            }
            match self.next_event(&session).await {
                Event::Timer => {}
                Event::Call(call) => {
                    lock(&self.pending_calls).insert(call.token, call.reply);
                    if session.channel.tx.send(call.message).await.is_err() {
                        return SessionEnd::Broken;
                    }
                }
                Event::Message(Some(message)) => {
                    session.last_contact = self.state.clock.now();
                    if let Err(end) = self.handle_message(&mut session, message) {
                        return end;
                    }
                }
                Event::Message(None) => return SessionEnd::Broken,
            }
        }
    }

    async fn next_event(&self, session: &SessionState) -> Event {
        let message = async { Event::Message(session.channel.rx.recv().await.ok()) };
        let call = async {
            match self.calls.recv().await {
                Ok(call) => Event::Call(call),
                Err(_) => std::future::pending().await,
            }
        };
        let timer = async {
            Timer::at(session.next_report_at).await;
            Event::Timer
        };
        message.or(call).or(timer).await
    }

    async fn send_report(
        &self,
        session: &mut SessionState,
        now: Instant,
    ) -> Result<(), SessionEnd> {
        session.next_report_at = now + ENTRY_REPORT_INTERVAL;
        session.report_number += 1;
        let full = std::mem::take(&mut session.full_wanted);
        let report = self.build_report(full);
        session.sent_at.insert(session.report_number, now);
        let oldest = session.report_number.saturating_sub(MAX_TRACKED_REPORTS);
        session.sent_at = session.sent_at.split_off(&oldest);
        let message = EntryToControl::Report { number: session.report_number, report };
        session.channel.tx.send(message).await.map_err(|_| SessionEnd::Broken)
    }

    fn build_report(&self, full: bool) -> EntryReport {
        let manifest = self.state.manifest_number();
        let (active, settled) = self.state.share_status();
        let mut hosts = self.state.hosts();
        let (announcements, lost) =
            if full { (hosts.take_all(), Vec::new()) } else { hosts.take_changes() };
        let leaving = self.state.leaving.is_triggered();
        EntryReport { full, announcements, lost, manifest, leaving, active, settled }
    }

    fn handle_message(
        &self,
        session: &mut SessionState,
        message: ControlToEntry,
    ) -> Result<(), SessionEnd> {
        match message {
            ControlToEntry::NotLeader { leader } => return Err(SessionEnd::Redirect(leader)),
            ControlToEntry::Snapshot { version, view } => {
                info!(
                    "event=view_snapshot term={} view={} groups={}",
                    version.term,
                    version.number,
                    view.groups.len()
                );
                self.state.set_view(version, view);
                session.has_view = true;
            }
            ControlToEntry::Delta { base, version, delta } => {
                if !self.state.apply_delta(base, version, delta) {
                    return Err(SessionEnd::Broken);
                }
            }
            ControlToEntry::Lease { number, full_report_requested } => {
                session.full_wanted |= full_report_requested;
                if let Some(sent_at) = session.sent_at.get(&number) {
                    self.state.extend_lease(*sent_at, session.has_view);
                }
            }
            ControlToEntry::ClaimReply { token, reply } => {
                let waiter = lock(&self.pending_calls).remove(&token);
                if let Some(waiter) = waiter {
                    let _ = waiter.try_send(reply);
                }
            }
        }
        Ok(())
    }

    /// Answers the calls of a closed session with `None`, as their replies can no longer arrive.
    fn fail_pending_calls(&self) {
        let pending = std::mem::take(&mut *lock(&self.pending_calls));
        for (_, waiter) in pending {
            let _ = waiter.try_send(None);
        }
    }
}
