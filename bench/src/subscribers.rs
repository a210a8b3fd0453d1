//! Simulated entries that have a session with control only: they report hosts and receive views.

use crate::sim_cluster::SimCluster;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use base::{limits::ENTRY_REPORT_INTERVAL, secret::Secret, sync::lock};
use model::view::{View, ViewVersion};
use net::Pool;
use peer::{ByteCount, ControlToEntry, ENTRY_PATH, EntryHello, EntryToControl, open};
use plan::EntryReport;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

/// The shared state of all subscribers.
#[derive(Debug, Default)]
pub struct Subscribers {
    /// Bytes sent and received in all sessions.
    pub bytes: Arc<ByteCount>,
    /// Groups in the view of the first subscriber.
    pub groups: AtomicU64,
    /// Views and deltas received by all subscribers.
    pub updates: AtomicU64,
    view: Mutex<View>,
}

impl Subscribers {
    /// Starts `count` subscribers of the control process at `to`. Each reports its share of the
    /// hosts of the cluster.
    pub fn start(
        pool: Pool,
        to: SocketAddr,
        secret: &Secret,
        count: usize,
        cluster: &Arc<SimCluster>,
    ) -> Arc<Subscribers> {
        let shared = Arc::new(Subscribers::default());
        for number in 0..count {
            let subscriber = Subscriber {
                pool,
                to,
                secret: secret.clone(),
                number,
                count,
                cluster: cluster.clone(),
                shared: shared.clone(),
            };
            pool.spawn(subscriber.run()).detach();
        }
        shared
    }
}

struct Subscriber {
    pool: Pool,
    to: SocketAddr,
    secret: Secret,
    number: usize,
    count: usize,
    cluster: Arc<SimCluster>,
    shared: Arc<Subscribers>,
}

impl Subscriber {
    async fn run(self) {
        loop {
            let opened = open(self.pool, None, self.to, &self.secret, ENTRY_PATH).await;
            if let Ok(raw) = opened {
                let session = raw.start(self.pool, self.shared.bytes.clone());
                let (tx, rx) = (session.tx, session.rx);
                let reading =
                    self.pool.spawn(read(self.number, rx, tx.clone(), self.shared.clone()));
                self.report(&tx).await;
                drop(reading);
            }
            Timer::after(ENTRY_REPORT_INTERVAL).await;
        }
    }

    async fn report(&self, tx: &Sender<EntryToControl>) {
        let hello = EntryHello {
            entry: format!("entry-{:04}", self.number).into(),
            address: SocketAddr::from(([127, 9, 0, 9], 10_000 + self.number as u16)),
            version: ViewVersion::default(),
        };
        if tx.send(EntryToControl::Hello(hello)).await.is_err() {
            return;
        }
        let is_own = |host: usize| host % self.count == self.number;
        self.cluster.mark_changed(&is_own);
        let mut number = 0;
        loop {
            number += 1;
            let announcements = self.cluster.take_changed(&is_own);
            let report = EntryReport {
                full: number == 1,
                announcements,
                manifest: 1,
                active: true,
                ..EntryReport::default()
            };
            if tx.send(EntryToControl::Report { number, report }).await.is_err() {
                return;
            }
            Timer::after(ENTRY_REPORT_INTERVAL).await;
        }
    }
}

async fn read(
    number: usize,
    rx: Receiver<ControlToEntry>,
    tx: Sender<EntryToControl>,
    shared: Arc<Subscribers>,
) {
    while let Ok(message) = rx.recv().await {
        let mut view = match message {
            ControlToEntry::Snapshot { view, .. } if number == 0 => view,
            ControlToEntry::Delta { delta, .. } if number == 0 => {
                let mut view = lock(&shared.view).clone();
                view.apply(delta);
                view
            }
            ControlToEntry::Snapshot { .. } | ControlToEntry::Delta { .. } => {
                shared.updates.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            ControlToEntry::NotLeader { .. } => {
                tx.close();
                return;
            }
            _ => continue,
        };
        shared.updates.fetch_add(1, Ordering::Relaxed);
        shared.groups.store(view.groups.len() as u64, Ordering::Relaxed);
        std::mem::swap(&mut *lock(&shared.view), &mut view);
    }
}
