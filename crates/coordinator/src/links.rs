//! Links to the other control processes, made as they become known.

use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use base::secret::Secret;
use fleet::{LOG_SESSION_PATH, LogMessage};
use net::Pool;
use peer::{ByteCount, Session, open};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

const QUEUE: usize = 1024;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Sends messages to other control processes; what can't be sent now is dropped, as the
/// protocol of the log allows.
#[derive(Debug)]
pub struct Links {
    pool: Pool,
    from: IpAddr,
    secret: Secret,
    bytes: Arc<ByteCount>,
    queues: BTreeMap<SocketAddr, Sender<LogMessage>>,
}

struct Link {
    pool: Pool,
    from: IpAddr,
    to: SocketAddr,
    secret: Secret,
    bytes: Arc<ByteCount>,
    queue: Receiver<LogMessage>,
}

impl Links {
    /// Links that start at the address `from`; there are none yet.
    pub fn new(pool: Pool, from: IpAddr, secret: Secret, bytes: Arc<ByteCount>) -> Links {
        Links { pool, from, secret, bytes, queues: BTreeMap::new() }
    }

    /// Starts a link, unless there is one.
    pub(crate) fn ensure(&mut self, to: SocketAddr) {
        if self.queues.contains_key(&to) {
            return;
        }
        let (tx, queue) = bounded(QUEUE);
        let link = Link {
            pool: self.pool,
            from: self.from,
            to,
            secret: self.secret.clone(),
            bytes: self.bytes.clone(),
            queue,
        };
        self.pool.spawn(link.run()).detach();
        self.queues.insert(to, tx);
    }

    /// Ends a link.
    pub(crate) fn remove(&mut self, to: SocketAddr) {
        if let Some(queue) = self.queues.remove(&to) {
            queue.close();
        }
    }

    /// Where the links go.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.queues.keys().copied().collect()
    }

    /// Sends a message to the process at `to`.
    pub(crate) fn send(&self, to: SocketAddr, message: LogMessage) {
        if let Some(queue) = self.queues.get(&to) {
            let _ = queue.try_send(message);
        }
    }

    /// Sends a message to all.
    pub(crate) fn broadcast(&self, message: &LogMessage) {
        for queue in self.queues.values() {
            let _ = queue.try_send(message.clone());
        }
    }
}

impl Link {
    async fn run(self) {
        while !self.queue.is_closed() {
            let opened =
                open(self.pool, Some(self.from), self.to, &self.secret, LOG_SESSION_PATH).await;
            match opened {
                Ok(raw) => {
                    log::info!("event=link_up to={}", self.to);
                    self.forward(raw.start(self.pool, self.bytes.clone())).await;
                    log::info!("event=link_down to={}", self.to);
                }
                Err(e) => log::debug!("event=link_failed to={} cause=\"{e}\"", self.to),
            }
            // Messages that waited are out of date by now.
            while self.queue.try_recv().is_ok() {}
            Timer::after(RECONNECT_PAUSE).await;
        }
    }

    async fn forward(&self, session: Session<LogMessage, LogMessage>) {
        while let Ok(message) = self.queue.recv().await {
            if session.tx.send(message).await.is_err() {
                return;
            }
        }
    }
}
