//! Entries that only talk to control: they report hosts and hold views.

use crate::field::Field;
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

/// What the subscribers hold together.
#[derive(Debug, Default)]
pub struct Subscribers {
    /// Bytes of all conversations.
    pub bytes: Arc<ByteCount>,
    /// Groups in the view of the first subscriber.
    pub groups: AtomicU64,
    /// Views and deltas received by all.
    pub updates: AtomicU64,
    view: Mutex<View>,
}

impl Subscribers {
    /// Starts `count` subscribers of the control process at `to`. The hosts of the field
    /// are spread over them.
    pub fn start(
        pool: Pool,
        to: SocketAddr,
        secret: &Secret,
        count: usize,
        field: &Arc<Field>,
    ) -> Arc<Subscribers> {
        let all = Arc::new(Subscribers::default());
        for number in 0..count {
            let subscriber = Subscriber {
                pool,
                to,
                secret: secret.clone(),
                number,
                count,
                field: field.clone(),
                all: all.clone(),
            };
            pool.spawn(subscriber.run()).detach();
        }
        all
    }
}

struct Subscriber {
    pool: Pool,
    to: SocketAddr,
    secret: Secret,
    number: usize,
    count: usize,
    field: Arc<Field>,
    all: Arc<Subscribers>,
}

impl Subscriber {
    async fn run(self) {
        loop {
            let opened = open(self.pool, None, self.to, &self.secret, ENTRY_PATH).await;
            if let Ok(raw) = opened {
                let session = raw.start(self.pool, self.all.bytes.clone());
                let (tx, rx) = (session.tx, session.rx);
                let reading = self.pool.spawn(read(self.number, rx, tx.clone(), self.all.clone()));
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
        let mine = |host: usize| host % self.count == self.number;
        self.field.mark_all(&mine);
        let mut number = 0;
        loop {
            number += 1;
            let seen = self.field.take_changed(&mine);
            let report = EntryReport {
                full: number == 1,
                announcements: seen,
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
    all: Arc<Subscribers>,
) {
    while let Ok(message) = rx.recv().await {
        let mut view = match message {
            ControlToEntry::Snapshot { view, .. } if number == 0 => view,
            ControlToEntry::Delta { delta, .. } if number == 0 => {
                let mut view = lock(&all.view).clone();
                view.apply(delta);
                view
            }
            ControlToEntry::Snapshot { .. } | ControlToEntry::Delta { .. } => {
                all.updates.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            ControlToEntry::NotLeader { .. } => {
                tx.close();
                return;
            }
            _ => continue,
        };
        all.updates.fetch_add(1, Ordering::Relaxed);
        all.groups.store(view.groups.len() as u64, Ordering::Relaxed);
        std::mem::swap(&mut *lock(&all.view), &mut view);
    }
}
