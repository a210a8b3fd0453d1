//! The conversation with control: reports, views, leases and claims.

use crate::core::Core;
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use base::{limits::ENTRY_REPORT, secret::Secret, sync::lock};
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

const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Silence of control after which another process is tried.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Reports whose time of sending is remembered.
const REPORTS_KEPT: u64 = 64;
const QUEUE: usize = 4096;

/// A message about a claim, and who waits for the answer.
#[derive(Debug)]
pub struct ClaimCall {
    /// The message.
    pub message: EntryToControl,
    /// The token in the message.
    pub token: u64,
    /// Takes the outcome, or nothing if control can't tell.
    pub reply: Sender<Option<Reply>>,
}

/// Passes claims to the conversation that is open.
#[derive(Debug)]
pub struct ControlLink {
    calls: Sender<ClaimCall>,
}

struct Link {
    core: Arc<Core>,
    control: Vec<SocketAddr>,
    secret: Secret,
    calls: Receiver<ClaimCall>,
    waiting: Arc<Mutex<BTreeMap<u64, Sender<Option<Reply>>>>>,
}

/// How a conversation ended.
enum End {
    /// The process named another one, or none, as the leader.
    Redirect(Option<SocketAddr>),
    /// It broke, fell silent, or sent a delta that doesn't fit.
    Broken,
}

struct Conversation {
    session: Session<EntryToControl, ControlToEntry>,
    sent_at: BTreeMap<u64, Instant>,
    number: u64,
    full_wanted: bool,
    has_view: bool,
    report_at: Instant,
    heard: Instant,
}

impl ControlLink {
    /// Starts the link and keeps it up.
    pub fn start(core: &Arc<Core>, control: Vec<SocketAddr>, secret: Secret) -> ControlLink {
        let (tx, calls) = bounded(QUEUE);
        let link = Link { core: core.clone(), control, secret, calls, waiting: Arc::default() };
        core.pool.spawn(link.run()).detach();
        ControlLink { calls: tx }
    }

    /// Asks control about a claim. The answer is nothing if control can't tell now.
    pub async fn call(&self, message: EntryToControl, token: u64) -> Option<Reply> {
        let (reply, answer) = bounded(1);
        let call = ClaimCall { message, token, reply };
        self.calls.send(call).await.ok()?;
        answer.recv().await.ok().flatten()
    }
}

impl Link {
    async fn run(self) {
        let mut next = 0;
        let mut redirect = None;
        loop {
            let to = redirect.take().unwrap_or_else(|| self.control[next % self.control.len()]);
            let own: EntryId = self.core.name.clone();
            let from = Some(self.core.listen.ip());
            let opened = open(self.core.pool, from, to, &self.secret, ENTRY_PATH).await;
            if let Ok(raw) = opened {
                let session = raw.start(self.core.pool, self.core.control_bytes.clone());
                let end = self.converse(session, own).await;
                self.drop_waiting();
                if let End::Redirect(leader) = end {
                    redirect = leader.filter(|leader| *leader != to);
                }
            }
            if redirect.is_none() {
                next += 1;
                Timer::after(RECONNECT_PAUSE).await;
            }
        }
    }

    async fn converse(
        &self,
        session: Session<EntryToControl, ControlToEntry>,
        entry: EntryId,
    ) -> End {
        let now = self.core.clock.now();
        let hello = EntryHello { entry, address: self.core.listen, version: self.core.version() };
        if session.tx.send(EntryToControl::Hello(hello)).await.is_err() {
            return End::Broken;
        }
        let mut conversation = Conversation {
            session,
            sent_at: BTreeMap::new(),
            number: 0,
            full_wanted: true,
            has_view: false,
            report_at: now,
            heard: now,
        };
        loop {
            let now = self.core.clock.now();
            if now >= conversation.report_at && self.report(&mut conversation, now).await.is_err() {
                return End::Broken;
            }
            if now.saturating_duration_since(conversation.heard) > SILENCE_LIMIT {
                return End::Broken;
            }
            match self.next_step(&conversation).await {
                Step::Timer => {}
                Step::Call(call) => {
                    lock(&self.waiting).insert(call.token, call.reply);
                    if conversation.session.tx.send(call.message).await.is_err() {
                        return End::Broken;
                    }
                }
                Step::Message(Some(message)) => {
                    conversation.heard = self.core.clock.now();
                    if let Err(end) = self.take(&mut conversation, message) {
                        return end;
                    }
                }
                Step::Message(None) => return End::Broken,
            }
        }
    }

    async fn next_step(&self, conversation: &Conversation) -> Step {
        let message = async { Step::Message(conversation.session.rx.recv().await.ok()) };
        let call = async {
            match self.calls.recv().await {
                Ok(call) => Step::Call(call),
                Err(_) => std::future::pending().await,
            }
        };
        let timer = async {
            Timer::at(conversation.report_at).await;
            Step::Timer
        };
        message.or(call).or(timer).await
    }

    async fn report(&self, conversation: &mut Conversation, now: Instant) -> Result<(), End> {
        conversation.report_at = now + ENTRY_REPORT;
        conversation.number += 1;
        let full = std::mem::take(&mut conversation.full_wanted);
        let report = self.make_report(full);
        conversation.sent_at.insert(conversation.number, now);
        let oldest = conversation.number.saturating_sub(REPORTS_KEPT);
        conversation.sent_at = conversation.sent_at.split_off(&oldest);
        let message = EntryToControl::Report { number: conversation.number, report };
        conversation.session.tx.send(message).await.map_err(|_| End::Broken)
    }

    fn make_report(&self, full: bool) -> EntryReport {
        let manifest = self.core.manifest_number();
        let (active, settled) = self.core.share_use();
        let mut hosts = self.core.hosts();
        let (seen, lost) = if full { (hosts.take_all(), Vec::new()) } else { hosts.take_changes() };
        let leaving = self.core.leaving.is_triggered();
        EntryReport { full, announcements: seen, lost, manifest, leaving, active, settled }
    }

    fn take(&self, conversation: &mut Conversation, message: ControlToEntry) -> Result<(), End> {
        match message {
            ControlToEntry::NotLeader { leader } => return Err(End::Redirect(leader)),
            ControlToEntry::Snapshot { version, view } => {
                info!(
                    "event=view_snapshot term={} view={} groups={}",
                    version.term,
                    version.number,
                    view.groups.len()
                );
                self.core.set_view(version, view);
                conversation.has_view = true;
            }
            ControlToEntry::Delta { base, version, delta } => {
                if !self.core.apply_delta(base, version, delta) {
                    return Err(End::Broken);
                }
            }
            ControlToEntry::Lease { number, full_wanted } => {
                conversation.full_wanted |= full_wanted;
                if let Some(sent_at) = conversation.sent_at.get(&number) {
                    self.core.extend_lease(*sent_at, conversation.has_view);
                }
            }
            ControlToEntry::ClaimReply { token, reply } => {
                let waiter = lock(&self.waiting).remove(&token);
                if let Some(waiter) = waiter {
                    let _ = waiter.try_send(reply);
                }
            }
        }
        Ok(())
    }

    /// Claims whose answer can't come any more are answered with "can't tell".
    fn drop_waiting(&self) {
        let waiting = std::mem::take(&mut *lock(&self.waiting));
        for (_, waiter) in waiting {
            let _ = waiter.try_send(None);
        }
    }
}

enum Step {
    Timer,
    Call(ClaimCall),
    Message(Option<ControlToEntry>),
}
