//! The conversation with control: manifests and routing views in, the entry's status out.

use crate::{metrics::GatewayMetrics, shared::GatewayState};
use async_channel::Receiver;
use async_io::Timer;
use base::secret::Secret;
use fleet::{ControlMessage, ENTRY_SESSION_PATH, EntryMessage};
use log::info;
use net::{Pool, with_timeout};
use peer::{ByteCount, Session, open};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

/// How often an entry reports.
const STATUS_EVERY: Duration = Duration::from_millis(200);
/// Silence of control after which the entry turns to another control process.
const CONTROL_SILENCE: Duration = Duration::from_millis(1500);
/// Pause between two conversations.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Control processes that are remembered.
const KNOWN_MAX: usize = 32;

/// Settings of the conversation.
#[derive(Debug, Clone)]
pub struct ControlClientConfig {
    /// The address that conversations start from.
    pub local_ip: IpAddr,
    /// Where some control processes take conversations.
    pub seeds: Vec<SocketAddr>,
    /// Brings other seeds when the settings change.
    pub seed_updates: Receiver<Vec<SocketAddr>>,
    /// The secret of the system's own processes.
    pub secret: Secret,
}

/// Keeps up a conversation with the leader of control.
#[derive(Debug)]
pub struct ControlClient {
    pool: Pool,
    cfg: ControlClientConfig,
    shared: Arc<GatewayState>,
    counters: GatewayMetrics,
    bytes: Arc<ByteCount>,
    known: Vec<SocketAddr>,
}

impl ControlClient {
    /// A feed that has not begun.
    pub fn new(
        pool: Pool,
        cfg: ControlClientConfig,
        shared: Arc<GatewayState>,
        counters: GatewayMetrics,
    ) -> ControlClient {
        let known = cfg.seeds.clone();
        ControlClient { pool, cfg, shared, counters, bytes: Arc::default(), known }
    }

    /// Runs for as long as the process does.
    pub async fn run(mut self) {
        let mut turn = fastrand::usize(..);
        let mut leader = None;
        loop {
            while let Ok(seeds) = self.cfg.seed_updates.try_recv() {
                self.learn(&seeds);
            }
            let to = leader.take().unwrap_or_else(|| {
                turn = turn.wrapping_add(1);
                self.known[turn % self.known.len()]
            });
            let raw =
                open(self.pool, Some(self.cfg.local_ip), to, &self.cfg.secret, ENTRY_SESSION_PATH)
                    .await;
            match raw {
                Ok(raw) => {
                    let session = raw.start(self.pool, self.bytes.clone());
                    leader = self.converse(to, &session).await;
                }
                Err(e) => info!("event=control_unreachable control={to} cause=\"{e}\""),
            }
            if leader.is_none() {
                Timer::after(RECONNECT_PAUSE).await;
            }
        }
    }

    /// Talks until the conversation ends; returns the leader that the other side named.
    async fn converse(
        &mut self,
        to: SocketAddr,
        session: &Session<EntryMessage, ControlMessage>,
    ) -> Option<SocketAddr> {
        let mut status_at = Instant::now();
        let mut heard = Instant::now();
        let mut leads = false;
        loop {
            let now = Instant::now();
            if now >= status_at {
                status_at = now + STATUS_EVERY;
                let status = EntryMessage::Status(self.shared.status());
                if session.tx.try_send(status).is_err() {
                    break;
                }
            }
            if now.saturating_duration_since(heard) > CONTROL_SILENCE {
                break;
            }
            let wait = status_at.saturating_duration_since(now);
            let Ok(received) = with_timeout(wait, session.rx.recv()).await else {
                continue;
            };
            let Ok(message) = received else {
                break;
            };
            heard = Instant::now();
            match message {
                ControlMessage::NotLeader { leader, known } => {
                    self.learn(&known);
                    return leader.filter(|leader| *leader != to);
                }
                message => {
                    if !leads {
                        info!("event=control_found control={to}");
                        leads = true;
                    }
                    self.take(message);
                }
            }
        }
        if leads {
            info!("event=control_lost control={to}");
        }
        None
    }

    fn take(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Manifest(manifest) => self.shared.set_manifest(manifest),
            ControlMessage::View(view) => {
                self.counters.view_replicas.set(view.replicas.len() as i64);
                info!("event=view replicas={} entries={}", view.replicas.len(), view.entries.len());
                self.shared.set_view(view);
            }
            ControlMessage::Share(part) => {
                info!("event=share part={part:.3}");
                self.shared.set_share(part);
            }
            ControlMessage::Alive { known } => self.learn(&known),
            ControlMessage::NotLeader { .. } => {}
        }
    }

    fn learn(&mut self, known: &[SocketAddr]) {
        for address in known {
            if !self.known.contains(address) {
                self.known.push(*address);
            }
        }
        let excess = self.known.len().saturating_sub(KNOWN_MAX);
        self.known.drain(..excess);
    }
}
