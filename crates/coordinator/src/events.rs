//! What the driver takes and what it answers.

use crate::ledger::Command;
use async_channel::{Receiver, Sender, bounded};
use fleet::{ControlMessage, EntryMessage, GroupMember, HostReport, HostState, LogMessage};
use groups::OrderOutcome;
use model::ids::HostId;
use std::{net::SocketAddr, sync::mpsc};

/// Identifies one conversation with an entry.
pub type SessionId = u64;

/// Something that happened outside the driver.
#[derive(Debug)]
pub enum Event {
    /// A message of another control process.
    Peer(LogMessage),
    /// An entry opened a conversation.
    EntryOpened {
        /// The conversation.
        session: SessionId,
        /// Messages to the entry.
        tx: Sender<ControlMessage>,
    },
    /// A message of an entry.
    Entry {
        /// The conversation.
        session: SessionId,
        /// The message.
        message: EntryMessage,
    },
    /// A conversation with an entry ended.
    EntryClosed {
        /// The conversation.
        session: SessionId,
    },
    /// The sending of an order ended.
    OrderDone(OrderOutcome),
    /// A member of a group answered how its engine is.
    MemberSeen {
        /// The term of the leader that asked.
        term: u64,
        /// The member.
        member: GroupMember,
        /// Its answer, if any came.
        state: Option<HostState>,
    },
    /// A call from outside.
    Call {
        /// The call.
        call: Call,
        /// Takes the answer.
        reply: Sender<Reply>,
    },
    /// The settings name other seeds.
    Seeds(Vec<SocketAddr>),
    /// Asks for a dump of the state.
    Dump(mpsc::Sender<serde_json::Value>),
    /// Ends the driver.
    Stop,
}

/// A call of an operator or a backend server.
#[derive(Debug)]
pub enum Call {
    /// Changes the replicated state.
    Change(Command),
    /// Reads the manifest in force.
    ReadManifest,
    /// A backend server reports.
    Report(HostReport),
    /// A backend server ends.
    Left(HostId),
}

/// The answer to a call.
#[derive(Debug)]
pub enum Reply {
    /// It is done and, where it matters, committed and passed on.
    Done,
    /// The manifest in force, as it was sent.
    Manifest(Vec<u8>),
    /// No manifest has been accepted.
    NoManifest,
    /// Another process decides, or none that is known.
    NotLeader(Option<SocketAddr>),
}

/// Passes events to the driver.
#[derive(Debug, Clone)]
pub struct Handle(mpsc::Sender<Event>);

impl Handle {
    /// A handle, and the events that it passes.
    pub fn new() -> (Handle, mpsc::Receiver<Event>) {
        let (tx, rx) = mpsc::channel();
        (Handle(tx), rx)
    }

    /// Passes an event; after the driver's end it is dropped.
    pub fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }

    /// Passes a call; the answer comes through the receiver, which closes without one if
    /// the driver can't tell the outcome.
    pub fn call(&self, call: Call) -> Receiver<Reply> {
        let (reply, rx) = bounded(1);
        self.send(Event::Call { call, reply });
        rx
    }
}
