//! Events that the driver handles, and its replies.

use crate::ledger::{Command, StoredManifest};
use async_channel::{Receiver, Sender, bounded};
use fleet::{ControlMessage, EntryMessage, HostReport, HostState, LogMessage};
use groups::OrderOutcome;
use model::ids::HostId;
use std::{net::SocketAddr, sync::mpsc, time::Instant};

/// Identifies one session with an entry.
pub type SessionId = u64;

/// Input to the driver.
#[derive(Debug)]
pub enum Event {
    /// A message from another control process.
    Peer(LogMessage),
    /// An entry opened a session.
    EntryOpened {
        /// The session.
        session: SessionId,
        /// Channel for messages to the entry.
        tx: Sender<ControlMessage>,
    },
    /// A message from an entry.
    Entry {
        /// The session.
        session: SessionId,
        /// The message.
        message: EntryMessage,
    },
    /// A session with an entry was closed.
    EntryClosed {
        /// The session.
        session: SessionId,
    },
    /// The outcome of an order that was sent.
    OrderDone(OrderOutcome),
    /// The outcome of a state query to a host.
    HostState {
        /// The term of the leader that sent the query.
        term: u64,
        /// The host.
        host: HostId,
        /// When the query was sent.
        queried_at: Instant,
        /// The state of its engine, or `None` if it didn't answer.
        state: Option<HostState>,
    },
    /// A call from an operator or a backend server.
    Call {
        /// The call.
        call: Call,
        /// Channel for the reply.
        reply: Sender<Reply>,
    },
    /// The seeds after a reload of the settings.
    Seeds(Vec<SocketAddr>),
    /// Requests a dump of the state.
    Dump(mpsc::Sender<serde_json::Value>),
    /// Stops the driver.
    Stop,
}

/// A call by an operator or a backend server.
#[derive(Debug)]
pub enum Call {
    /// Changes the replicated state.
    Change(Command),
    /// Replaces the manifest; made by [`Call::manifest`].
    Manifest {
        /// The number of the manifest.
        number: u64,
        /// The encoded command.
        record: Vec<u8>,
    },
    /// Reads the current manifest.
    ReadManifest,
    /// A report of a backend server.
    Report(HostReport),
    /// A backend server is shutting down.
    Left(HostId),
}

impl Call {
    /// A call to replace the manifest. It encodes the manifest, which takes long for thousands of
    /// routes, so that the driver need not.
    pub fn manifest(stored: StoredManifest) -> Call {
        let number = stored.manifest.number;
        Call::Manifest { number, record: Command::Manifest(Box::new(stored)).encode() }
    }
}

/// The reply to a call.
#[derive(Debug)]
pub enum Reply {
    /// The call took effect; a change is committed and was sent to the entries.
    Done,
    /// The current manifest, as submitted.
    Manifest(Vec<u8>),
    /// There is no manifest yet.
    NoManifest,
    /// This process doesn't lead; the address is that of the leader, if known.
    NotLeader(Option<SocketAddr>),
}

/// Sends events to the driver.
#[derive(Debug, Clone)]
pub struct Handle(mpsc::Sender<Event>);

impl Handle {
    /// Creates a handle and the receiver of its events.
    pub fn new() -> (Handle, mpsc::Receiver<Event>) {
        let (tx, rx) = mpsc::channel();
        (Handle(tx), rx)
    }

    /// Sends an event, which is dropped if the driver has stopped.
    pub fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }

    /// Sends a call and returns the receiver of its reply. The channel is closed without a
    /// reply if the driver can't determine the outcome.
    pub fn call(&self, call: Call) -> Receiver<Reply> {
        let (reply, rx) = bounded(1);
        self.send(Event::Call { call, reply });
        rx
    }
}
