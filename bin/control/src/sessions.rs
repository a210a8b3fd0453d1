//! Accepts sessions from other control processes and from entries.

use crate::{
    driver::{DriverHandle, Event},
    metrics::ControlMetrics,
};
use net::Pool;
use peer::{
    Accept, ByteCount, CONTROL_PATH, ControlToEntry, ENTRY_PATH, EntryToControl, PeerMessage,
    RawSession, Session,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// Identifies one session with an entry.
pub type SessionId = u64;

/// Accepts sessions and forwards their messages to the driver.
#[derive(Debug)]
pub struct SessionAcceptor {
    pool: Pool,
    driver: DriverHandle,
    metrics: ControlMetrics,
    bytes: Arc<ByteCount>,
    next_id: AtomicU64,
}

impl SessionAcceptor {
    /// Creates an acceptor that forwards messages through `driver`.
    pub fn new(
        pool: Pool,
        driver: DriverHandle,
        metrics: ControlMetrics,
        bytes: Arc<ByteCount>,
    ) -> SessionAcceptor {
        SessionAcceptor { pool, driver, metrics, bytes, next_id: AtomicU64::new(1) }
    }
}

impl Accept for SessionAcceptor {
    fn supports(&self, path: &str) -> bool {
        path == CONTROL_PATH || path == ENTRY_PATH
    }

    fn accept(&self, path: &str, _remote: SocketAddr, session: RawSession) {
        let driver = self.driver.clone();
        if path == CONTROL_PATH {
            let session = session.start(self.pool, self.bytes.clone());
            self.pool.spawn(forward_peer(session, driver)).detach();
        } else {
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let session = session.start(self.pool, self.bytes.clone());
            self.pool.spawn(forward_entry(id, session, driver)).detach();
        }
    }

    fn on_refused(&self, _remote: SocketAddr) {
        self.metrics.peers_refused.inc();
    }
}

async fn forward_peer(session: Session<PeerMessage, PeerMessage>, driver: DriverHandle) {
    while let Ok(message) = session.rx.recv().await {
        driver.send(Event::Peer(message));
    }
}

async fn forward_entry(
    id: SessionId,
    session: Session<ControlToEntry, EntryToControl>,
    driver: DriverHandle,
) {
    let Ok(EntryToControl::Hello(hello)) = session.rx.recv().await else {
        return;
    };
    driver.send(Event::EntryOpened { session: id, hello, tx: session.tx.clone() });
    while let Ok(message) = session.rx.recv().await {
        driver.send(Event::Entry { session: id, message });
    }
    driver.send(Event::EntryClosed { session: id });
}
