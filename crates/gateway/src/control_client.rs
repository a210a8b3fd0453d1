//! The entry's session with control: receives manifests and routing views, sends its status.

use crate::{metrics::GatewayMetrics, state::GatewayState};
use async_channel::Receiver;
use async_io::Timer;
use base::{secret::Secret, sync::lock};
use fleet::{ControlMessage, ENTRY_SESSION_PATH, EntryMessage};
use log::{info, warn};
use model::ids::CulpritId;
use net::{Pool, with_timeout};
use peer::{ByteCount, Session, open};
use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

/// Interval at which an entry sends its status.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);
/// Time without a message from control after which the entry tries another control process.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay between two sessions.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Maximum number of known addresses of control processes.
const MAX_KNOWN_CONTROLS: usize = 32;

/// Settings of the session with control.
#[derive(Debug, Clone)]
pub struct ControlClientConfig {
    /// The local address of outgoing connections.
    pub local_ip: IpAddr,
    /// The addresses of some control processes.
    pub seeds: Vec<SocketAddr>,
    /// Delivers new seeds when the settings change.
    pub seed_updates: Receiver<Vec<SocketAddr>>,
    /// The secret shared by the system's processes.
    pub secret: Secret,
}

/// Keeps a session with the leader of control open.
#[derive(Debug)]
pub struct ControlClient {
    pool: Pool,
    config: ControlClientConfig,
    state: Arc<GatewayState>,
    metrics: GatewayMetrics,
    bytes: Arc<ByteCount>,
    known_controls: Vec<SocketAddr>,
}

impl ControlClient {
    /// Creates a client that is not connected.
    pub fn new(
        pool: Pool,
        config: ControlClientConfig,
        state: Arc<GatewayState>,
        metrics: GatewayMetrics,
    ) -> ControlClient {
        let known_controls = config.seeds.clone();
        ControlClient { pool, config, state, metrics, bytes: Arc::default(), known_controls }
    }

    /// Connects to one control process after another. Never returns.
    pub async fn run(mut self) {
        let mut next = fastrand::usize(..);
        let mut leader = None;
        loop {
            while let Ok(seeds) = self.config.seed_updates.try_recv() {
                self.add_controls(&seeds);
            }
            let to = leader.take().unwrap_or_else(|| {
                next = next.wrapping_add(1);
                self.known_controls[next % self.known_controls.len()]
            });
            let opened = open(
                self.pool,
                Some(self.config.local_ip),
                to,
                &self.config.secret,
                ENTRY_SESSION_PATH,
            )
            .await;
            match opened {
                Ok(raw) => {
                    let session = raw.start(self.pool, self.bytes.clone());
                    leader = self.run_session(to, &session).await;
                }
                Err(e) => info!("event=control_unreachable control={to} cause=\"{e}\""),
            }
            if leader.is_none() {
                Timer::after(RECONNECT_DELAY).await;
            }
        }
    }

    /// Runs a session until it ends. Returns the leader if the peer named another process.
    async fn run_session(
        &mut self,
        to: SocketAddr,
        session: &Session<EntryMessage, ControlMessage>,
    ) -> Option<SocketAddr> {
        let mut next_status_at = Instant::now();
        let mut last_contact = Instant::now();
        let mut is_leader = false;
        lock(&self.state.evidence).restart();
        loop {
            let now = Instant::now();
            if now >= next_status_at {
                next_status_at = now + STATUS_INTERVAL;
                let status = EntryMessage::Status(Box::new(self.state.status()));
                if session.tx.try_send(status).is_err() {
                    break;
                }
                let unsent = lock(&self.state.evidence).take_unsent(self.state.clock.now());
                if !unsent.is_empty()
                    && session.tx.try_send(EntryMessage::Evidence(unsent)).is_err()
                {
                    break;
                }
            }
            if now.saturating_duration_since(last_contact) > CONTROL_TIMEOUT {
                break;
            }
            let wait = next_status_at.saturating_duration_since(now);
            let Ok(received) = with_timeout(wait, session.rx.recv()).await else {
                continue;
            };
            let Ok(message) = received else {
                break;
            };
            last_contact = Instant::now();
            match message {
                ControlMessage::NotLeader { leader, control_addresses } => {
                    self.add_controls(&control_addresses);
                    return leader.filter(|leader| *leader != to);
                }
                message => {
                    if !is_leader {
                        info!("event=control_found control={to}");
                        is_leader = true;
                    }
                    if matches!(message, ControlMessage::Manifest(_)) {
                        // Confirms the manifest at once.
                        next_status_at = last_contact;
                    }
                    self.handle_message(message);
                }
            }
        }
        if is_leader {
            info!("event=control_lost control={to}");
        }
        None
    }

    fn handle_message(&mut self, message: ControlMessage) {
        match message {
            ControlMessage::Manifest(packed) => match packed.unpack() {
                Ok(manifest) => self.state.set_manifest(Arc::new(manifest)),
                Err(e) => {
                    warn!("event=manifest_unreadable number={} cause=\"{e}\"", packed.number());
                }
            },
            ControlMessage::View(view) => {
                self.metrics.view_replicas.set(view.replicas.len() as i64);
                info!("event=view replicas={} entries={}", view.replicas.len(), view.entries.len());
                self.state.set_view(view);
            }
            ControlMessage::Share(share) => {
                info!("event=share part={share:.3}");
                self.state.set_share(share);
            }
            ControlMessage::RateShare(share) => {
                info!("event=rate_share start={:.3} size={:.3}", share.start, share.size);
                lock(&self.state.backends).set_rate_share(share);
            }
            ControlMessage::Quarantine(culprits) => {
                info!("event=quarantine parts={:x?}", ids(&culprits));
                self.metrics.parts_in_quarantine.set(culprits.len() as i64);
                self.state.set_blocklist(&culprits);
            }
            ControlMessage::Watch(requests) => lock(&self.state.evidence).watch(&requests),
            ControlMessage::Keepalive { control_addresses } => {
                self.add_controls(&control_addresses);
            }
            ControlMessage::NotLeader { .. } => {}
        }
    }

    /// Adds addresses of control processes, and drops the oldest beyond the maximum.
    fn add_controls(&mut self, addresses: &[SocketAddr]) {
        for address in addresses {
            if !self.known_controls.contains(address) {
                self.known_controls.push(*address);
            }
        }
        let excess = self.known_controls.len().saturating_sub(MAX_KNOWN_CONTROLS);
        self.known_controls.drain(..excess);
    }
}

fn ids(culprits: &[(CulpritId, Duration)]) -> Vec<CulpritId> {
    culprits.iter().map(|(id, _)| *id).collect()
}
