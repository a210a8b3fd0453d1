//! Accepts sessions from other control processes and from entries.

use crate::{
    events::{Event, Handle, SessionId},
    metrics::Counters,
};
use fleet::{ControlMessage, ENTRY_SESSION_PATH, EntryMessage, LOG_SESSION_PATH, LogMessage};
use net::Pool;
use peer::{Accept, ByteCount, RawSession, Session};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Accepts sessions and forwards their messages to the driver.
#[derive(Debug)]
pub struct Sessions {
    pool: Pool,
    driver: Handle,
    counters: Counters,
    bytes: Arc<ByteCount>,
    next_id: AtomicU64,
}

impl Sessions {
    /// Creates an acceptor that forwards messages through `driver`.
    pub fn new(pool: Pool, driver: Handle, counters: Counters, bytes: Arc<ByteCount>) -> Sessions {
        Sessions { pool, driver, counters, bytes, next_id: AtomicU64::new(1) }
    }
}

impl Accept for Sessions {
    fn supports(&self, path: &str) -> bool {
        path == LOG_SESSION_PATH || path == ENTRY_SESSION_PATH
    }

    fn accept(&self, path: &str, _remote: SocketAddr, session: RawSession) {
        let driver = self.driver.clone();
        let bytes = self.bytes.clone();
        if path == LOG_SESSION_PATH {
            self.pool.spawn(forward_peer(session.start(self.pool, bytes), driver)).detach();
        } else {
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            self.pool.spawn(forward_entry(id, session.start(self.pool, bytes), driver)).detach();
        }
    }

    fn on_refused(&self, remote: SocketAddr) {
        self.counters.sessions_refused.inc();
        log::warn!("event=session_refused remote={remote}");
    }
}

async fn forward_peer(session: Session<LogMessage, LogMessage>, driver: Handle) {
    while let Ok(message) = session.rx.recv().await {
        driver.send(Event::Peer(message));
    }
}

async fn forward_entry(
    id: SessionId,
    session: Session<ControlMessage, EntryMessage>,
    driver: Handle,
) {
    driver.send(Event::EntryOpened { session: id, tx: session.tx.clone() });
    while let Ok(message) = session.rx.recv().await {
        driver.send(Event::Entry { session: id, message });
    }
    driver.send(Event::EntryClosed { session: id });
}
