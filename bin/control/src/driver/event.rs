//! Events that the driver handles, and its replies.

use crate::sessions::SessionId;
use async_channel::Sender;
use model::{
    ids::{Digest, DomainId, ManifestNumber},
    manifest::CheckedManifest,
    status::Status,
};
use peer::{ControlToEntry, EntryHello, EntryToControl, PeerMessage};
use plan::OrderOutcome;
use state::{Rejection, Reply, State};
use std::{sync::mpsc, time::Duration};

/// Input to the driver.
#[derive(Debug)]
pub enum Event {
    /// A message from another control process.
    Peer(PeerMessage),
    /// An entry opened a session.
    EntryOpened {
        /// The session.
        session: SessionId,
        /// The entry's introduction.
        hello: EntryHello,
        /// Channel for messages to the entry.
        tx: Sender<ControlToEntry>,
    },
    /// A message from an entry.
    Entry {
        /// The session.
        session: SessionId,
        /// The message.
        message: EntryToControl,
    },
    /// A session with an entry was closed.
    EntryClosed {
        /// The session.
        session: SessionId,
    },
    /// The outcome of an order that was sent.
    OrderOutcome(OrderOutcome),
    /// A call by an operator.
    Operator {
        /// The call.
        call: OperatorCall,
        /// Channel for the reply.
        reply: Sender<OperatorReply>,
    },
    /// Requests a dump of the state.
    Dump(mpsc::Sender<serde_json::Value>),
    /// Stops the driver.
    Stop,
}

/// A call by an operator.
#[derive(Debug)]
pub enum OperatorCall {
    /// Replaces the current manifest.
    Apply(Box<CheckedManifest>),
    /// Takes a failure domain out of service.
    DomainOut {
        /// The failure domain.
        domain: DomainId,
        /// Time to start replacements before the domain stops serving.
        notice: Duration,
    },
    /// Returns a failure domain to service.
    DomainBack {
        /// The failure domain.
        domain: DomainId,
    },
    /// Requests the status.
    Status,
}

/// The reply to a call.
#[derive(Debug)]
pub enum OperatorReply {
    /// The manifest is committed as the current one.
    Accepted {
        /// Its number.
        number: ManifestNumber,
        /// Its digest.
        digest: Digest,
    },
    /// The change is committed.
    Done,
    /// The status.
    Status(Box<Status>),
    /// The change was rejected and will not take effect later.
    Rejected(Rejection),
    /// This process doesn't lead, or lost the leadership before the outcome was known.
    NotLeader,
}

/// The recipient of the outcome of a record.
#[derive(Debug)]
pub(super) enum Waiter {
    /// No recipient.
    None,
    /// An operator.
    Operator(Sender<OperatorReply>),
    /// An entry that waits for the reply to a claim.
    Claim { token: u64, tx: Sender<ControlToEntry> },
}

impl Waiter {
    /// Reports that the record was applied.
    pub(super) fn complete(self, reply: &Reply, state: &State) {
        match self {
            Waiter::None => {}
            Waiter::Operator(tx) => {
                let _ = tx.try_send(operator_reply(reply, state));
            }
            Waiter::Claim { token, tx } => {
                let _ =
                    tx.try_send(ControlToEntry::ClaimReply { token, reply: Some(reply.clone()) });
            }
        }
    }

    /// Reports that another leader may have replaced the record, or that it couldn't be
    /// proposed by this process.
    pub(super) fn abandon(self) {
        match self {
            Waiter::None => {}
            Waiter::Operator(tx) => {
                let _ = tx.try_send(OperatorReply::NotLeader);
            }
            Waiter::Claim { token, tx } => {
                let _ = tx.try_send(ControlToEntry::ClaimReply { token, reply: None });
            }
        }
    }
}

fn operator_reply(reply: &Reply, state: &State) -> OperatorReply {
    match (reply, &state.manifest) {
        (Reply::Rejected(rejection), _) => OperatorReply::Rejected(rejection.clone()),
        (_, Some(accepted)) => {
            OperatorReply::Accepted { number: accepted.number, digest: accepted.digest.clone() }
        }
        _ => OperatorReply::Done,
    }
}

/// Sends events to the driver.
#[derive(Debug, Clone)]
pub struct DriverHandle(mpsc::Sender<Event>);

impl DriverHandle {
    /// Creates a handle and the receiver of its events.
    pub fn new() -> (DriverHandle, mpsc::Receiver<Event>) {
        let (tx, rx) = mpsc::channel();
        (DriverHandle(tx), rx)
    }

    /// Sends an event, which is dropped if the driver has stopped.
    pub fn send(&self, event: Event) {
        let _ = self.0.send(event);
    }
}
