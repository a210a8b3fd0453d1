//! Links on which a process sends messages to others of its kind.

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

/// Messages that may wait on a link.
const QUEUE: usize = 1024;
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Sends messages to other processes; what can't be sent now is dropped, as a protocol that
/// repeats what matters allows.
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
    /// Links that start at the address `from`, for conversations of the kind `path`; there
    /// are none yet.
    pub fn new(
        pool: Pool,
        from: IpAddr,
        secret: Secret,
        path: &'static str,
        bytes: Arc<ByteCount>,
    ) -> Links<M> {
        Links { pool, from, secret, path, bytes, queues: BTreeMap::new() }
    }

    /// Starts a link, unless there is one.
    pub fn ensure(&mut self, to: SocketAddr) {
        if self.queues.contains_key(&to) {
            return;
        }
        let (tx, queue) = bounded(QUEUE);
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

    /// Ends a link.
    pub fn remove(&mut self, to: SocketAddr) {
        if let Some(queue) = self.queues.remove(&to) {
            queue.close();
        }
    }

    /// Where the links go.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.queues.keys().copied().collect()
    }

    /// The number of links.
    pub fn len(&self) -> usize {
        self.queues.len()
    }

    /// Whether there is no link.
    pub fn is_empty(&self) -> bool {
        self.queues.is_empty()
    }

    /// Sends a message to the process at `to`.
    pub fn send(&self, to: SocketAddr, message: M) {
        if let Some(queue) = self.queues.get(&to) {
            let _ = queue.try_send(message);
        }
    }

    /// Sends a message to all.
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
            // Messages that waited are out of date by now.
            while self.queue.try_recv().is_ok() {}
            Timer::after(RECONNECT_PAUSE).await;
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
