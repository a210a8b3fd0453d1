//! Probes of the links between this entry and the backend servers.

use crate::{dialect::Dialect, metrics::GatewayMetrics, state::GatewayState};
use admission::{LinkState, ProbeOutcome, Suspicion};
use async_channel::bounded;
use async_io::Timer;
use base::sync::lock;
use http::Client;
use log::{info, warn};
use model::ids::HostId;
use net::{Pool, Stop, with_timeout};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

/// Number of backend servers that are probed in one round.
const PROBES: usize = 3;
/// Delay between the starts of two probes of a round, of which the first usually suffices.
const PROBE_STAGGER: Duration = Duration::from_millis(60);
/// Longest wait for a connection, and then for the answer, of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay between two rounds of probes.
const ROUND_DELAY: Duration = Duration::from_millis(250);

/// Finds out whether this entry reaches backend servers when requests fail.
#[derive(Debug)]
pub(crate) struct LinkMonitor {
    pool: Pool,
    state: Arc<GatewayState>,
    dialect: Arc<dyn Dialect>,
    client: Arc<Client>,
    metrics: GatewayMetrics,
    /// Triggered at the first verdict of the last series of probes.
    first_verdict: Mutex<Stop>,
}

impl LinkMonitor {
    pub(crate) fn new(
        pool: Pool,
        state: Arc<GatewayState>,
        dialect: Arc<dyn Dialect>,
        client: Arc<Client>,
        metrics: GatewayMetrics,
    ) -> LinkMonitor {
        LinkMonitor { pool, state, dialect, client, metrics, first_verdict: Mutex::default() }
    }

    /// Takes note of a request that has failed at `host`, and starts probes if they are needed.
    pub(crate) fn suspect(self: &Arc<Self>, host: &HostId, suspicion: Suspicion) {
        let mut first_verdict = lock(&self.first_verdict);
        if lock(&self.state.links).suspect(host, suspicion, self.state.clock.now()) {
            info!("event=links state=suspect host={host} cause={}", suspicion.as_str());
            *first_verdict = Stop::default();
            self.pool.spawn(self.clone().probe_until_up()).detach();
        }
    }

    /// Takes note of a request that has failed at `host`, and returns the state of the links once
    /// they have been probed.
    pub(crate) async fn check(self: &Arc<Self>, host: &HostId, suspicion: Suspicion) -> LinkState {
        self.suspect(host, suspicion);
        if self.state.link_state() == LinkState::Suspect {
            let first_verdict = lock(&self.first_verdict).clone();
            first_verdict.wait().await;
        }
        self.state.link_state()
    }

    async fn probe_until_up(self: Arc<Self>) {
        let begin = self.state.clock.now();
        let mut logged = LinkState::Suspect;
        loop {
            let is_full = lock(&self.state.links).needs_full_round(self.state.clock.now());
            let outcomes = self.probe_round(is_full).await;
            let now = self.state.clock.now();
            let (state, has_verdict) = {
                let mut links = lock(&self.state.links);
                let state = links.record_round(&outcomes, is_full, now);
                let is_open = state == LinkState::Suspect && links.needs_full_round(now);
                (state, is_full || !is_open)
            };
            if !has_verdict {
                continue;
            }
            if state != logged {
                let after = now.saturating_duration_since(begin).as_millis();
                match state {
                    LinkState::Down => {
                        warn!("event=links state=down after_ms={after} probes=\"{outcomes:?}\"");
                    }
                    _ => info!("event=links state={} after_ms={after}", state.as_str()),
                }
                self.metrics.links_down.set(i64::from(state == LinkState::Down));
                logged = state;
            }
            lock(&self.first_verdict).trigger();
            if state == LinkState::Up {
                return;
            }
            Timer::after(ROUND_DELAY).await;
        }
    }

    /// Probes servers in several failure domains, until one answers unless the round `is_full`.
    async fn probe_round(self: &Arc<Self>, is_full: bool) -> Vec<ProbeOutcome> {
        let now = self.state.clock.now();
        let targets =
            lock(&self.state.backends).probe_targets(PROBES, now, |count| fastrand::usize(..count));
        let count = targets.len();
        let (tx, rx) = bounded(PROBES);
        let mut probes = Vec::new();
        for (number, (host, address)) in targets.into_iter().enumerate() {
            let (monitor, tx) = (self.clone(), tx.clone());
            probes.push(self.pool.spawn(async move {
                if !is_full {
                    Timer::after(PROBE_STAGGER * number as u32).await;
                }
                // The round may be over.
                let _ = tx.send(monitor.probe(&host, address).await).await;
            }));
        }
        let mut outcomes = Vec::new();
        while outcomes.len() < count
            && (is_full || !outcomes.contains(&ProbeOutcome::Answered))
            && let Ok(outcome) = rx.recv().await
        {
            outcomes.push(outcome);
        }
        // Cancels the probes that are not needed any more.
        drop(probes);
        outcomes
    }

    async fn probe(&self, host: &HostId, address: SocketAddr) -> ProbeOutcome {
        self.metrics.link_probes.inc();
        let connected = with_timeout(PROBE_TIMEOUT, self.client.new_connection(address)).await;
        let Ok(Ok(mut connection)) = connected else {
            return ProbeOutcome::Unconnected;
        };
        let request = self.dialect.probe_request(host, address);
        match with_timeout(PROBE_TIMEOUT, connection.send(request)).await {
            Ok(Ok(_)) => {
                lock(&self.state.backends).mark_proven(host, self.state.clock.now());
                ProbeOutcome::Answered
            }
            Ok(Err(_)) => ProbeOutcome::Unconnected,
            Err(_) => ProbeOutcome::Silent,
        }
    }
}
