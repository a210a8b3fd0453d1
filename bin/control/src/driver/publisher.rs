//! Publication of views to subscribed entries.

use async_channel::Sender;
use model::{
    ids::EntryId,
    view::{View, ViewVersion},
};
use peer::ControlToEntry;
use std::net::SocketAddr;

/// An entry subscribed to views.
#[derive(Debug)]
pub(super) struct Subscriber {
    pub(super) entry: EntryId,
    pub(super) address: SocketAddr,
    pub(super) tx: Sender<ControlToEntry>,
    /// The last version sent in this session.
    pub(super) sent_version: Option<ViewVersion>,
}

/// Numbers and publishes the views of one leader.
#[derive(Debug)]
pub(super) struct Publisher {
    version: ViewVersion,
    view: View,
}

impl Publisher {
    /// Creates a publisher for a leader's term, without a published view.
    pub(super) fn new(term: u64) -> Publisher {
        Publisher { version: ViewVersion { term, number: 0 }, view: View::default() }
    }

    /// Returns whether a view has been published.
    pub(super) fn has_published(&self) -> bool {
        self.version.number > 0
    }

    /// Returns the version of the last published view.
    pub(super) fn version(&self) -> ViewVersion {
        self.version
    }

    /// Returns the last published view.
    pub(super) fn view(&self) -> &View {
        &self.view
    }

    /// Publishes a view if it differs from the last one or is the first. Returns whether it was
    /// published.
    pub(super) fn publish<'a>(
        &mut self,
        next: View,
        subscribers: impl Iterator<Item = &'a mut Subscriber>,
    ) -> bool {
        let delta = self.view.delta_to(&next);
        if delta.is_empty() && self.has_published() {
            return false;
        }
        let base = self.version;
        self.version.number += 1;
        self.view = next;
        for subscriber in subscribers {
            if subscriber.sent_version == Some(base) && base.number > 0 {
                let message =
                    ControlToEntry::Delta { base, version: self.version, delta: delta.clone() };
                subscriber.push(message, self.version);
            } else {
                self.send_snapshot(subscriber);
            }
        }
        true
    }

    /// Sends the whole view to an entry to which no delta can be sent in this session.
    pub(super) fn send_snapshot(&self, subscriber: &mut Subscriber) {
        let message = ControlToEntry::Snapshot { version: self.version, view: self.view.clone() };
        subscriber.push(message, self.version);
    }
}

impl Subscriber {
    fn push(&mut self, message: ControlToEntry, version: ViewVersion) {
        match self.tx.try_send(message) {
            Ok(()) => self.sent_version = Some(version),
            // The entry is too slow, so that its session is closed and it has to reconnect.
            Err(_) => {
                self.tx.close();
            }
        }
    }
}
