//! Outgoing links over which a process sends messages to its peers.

use crate::session::{ByteCount, Session, open};
use async_channel::{Receiver, Sender, bounded};
use async_io::Timer;
use base::secret::Secret;
use net::Pool;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

/// Capacity of a link's send queue, in messages.
const QUEUE_MESSAGES: usize = 1024;
/// Delay between the end of a connection, or a failed attempt, and the next attempt.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Sends messages to other processes on a best-effort basis. Messages that can't be sent now are
/// dropped, since the protocols on top resend important ones.
#[derive(Debug)]
pub struct Links<M> {
    pool: Pool,
    from: IpAddr,
    secret: Secret,
    path: &'static str,
    bytes: Arc<ByteCount>,
    queues: BTreeMap<SocketAddr, Sender<M>>,
}

struct Link<M> {
    pool: Pool,
    from: IpAddr,
    to: SocketAddr,
    secret: Secret,
    path: &'static str,
    bytes: Arc<ByteCount>,
    queue: Receiver<M>,
}

impl<M: Clone + Serialize + DeserializeOwned + Send + 'static> Links<M> {
    /// Creates an empty set of links with the source address `from`, for sessions of the kind
    /// `path`.
    pub fn new(
        pool: Pool,
        from: IpAddr,
        secret: Secret,
        path: &'static str,
        bytes: Arc<ByteCount>,
    ) -> Links<M> {
        Links { pool, from, secret, path, bytes, queues: BTreeMap::new() }
    }

    /// Starts a link to `to`, unless one exists.
    pub fn ensure(&mut self, to: SocketAddr) {
        if self.queues.contains_key(&to) {
            return;
        }
        let (tx, queue) = bounded(QUEUE_MESSAGES);
        let link = Link {
            pool: self.pool,
            from: self.from,
            to,
            secret: self.secret.clone(),
            path: self.path,
            bytes: self.bytes.clone(),
            queue,
        };
        self.pool.spawn(link.run()).detach();
        self.queues.insert(to, tx);
    }

    /// Removes the link to `to`, if any.
    pub fn remove(&mut self, to: SocketAddr) {
        if let Some(queue) = self.queues.remove(&to) {
            queue.close();
        }
    }

    /// The addresses of the linked processes.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.queues.keys().copied().collect()
    }

    /// The bytes of the sessions that share the counter of these links.
    pub fn bytes(&self) -> &ByteCount {
        &self.bytes
    }

    /// The number of links.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Whether there are no links.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Queues a message to the process at `to`.
    pub fn send(&self, to: SocketAddr, message: M) {
        if let Some(queue) = self.queues.get(&to) {
            let _ = queue.try_send(message);
        }
    }

    /// Queues a message on every link.
    pub fn broadcast(&self, message: &M) {
        for queue in self.queues.values() {
            let _ = queue.try_send(message.clone());
        }
    }
}

impl<M: Serialize + DeserializeOwned + Send + 'static> Link<M> {
    async fn run(self) {
        while !self.queue.is_closed() {
            let opened = open(self.pool, Some(self.from), self.to, &self.secret, self.path).await;
            match opened {
                Ok(raw) => {
                    log::info!("event=link_up to={}", self.to);
                    self.forward(raw.start(self.pool, self.bytes.clone())).await;
                    log::info!("event=link_down to={}", self.to);
                }
                Err(e) => log::debug!("event=link_failed to={} cause=\"{e}\"", self.to),
            }
            // Messages queued while the link was down are out of date.
            while self.queue.try_recv().is_ok() {}
            Timer::after(RECONNECT_DELAY).await;
        }
    }

    async fn forward(&self, session: Session<M, M>) {
        while let Ok(message) = self.queue.recv().await {
            if session.tx.send(message).await.is_err() {
                return;
            }
        }
    }
}
