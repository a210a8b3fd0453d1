//! Many simulated backend servers in one process. One address accepts the orders of all of them.

use base::{limits::REQUESTS_MAX, sync::lock};
use http::{
    Body, ByteBudget, Handler, HandlerFuture, Incoming, Limits, Server, collect, json_response,
};
use hyper::{Request, Response, StatusCode};
use model::{announce::Announcement, ids::HostId, order::Order};
use net::{Pool, Stop, bind};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Instant,
};
use testbed::{FakeHost, HostSpec};

const LOAD_MS: u64 = 50;
const MAX_ORDER_BYTES: usize = 1 << 20;

/// The simulated hosts.
#[derive(Debug)]
pub struct SimCluster {
    start: Instant,
    hosts: Mutex<Hosts>,
}

#[derive(Debug)]
struct Hosts {
    hosts: BTreeMap<HostId, FakeHost>,
    /// Hosts whose state changed since it was last reported.
    changed: BTreeSet<HostId>,
    /// For each host that loads a model, the time in milliseconds at which loading ends.
    loading: BTreeMap<HostId, u64>,
}

/// Returns the properties of `count` hosts in three failure domains, with `per_fabric` hosts per
/// fabric domain.
pub fn host_specs(count: usize, per_fabric: usize, address: SocketAddr) -> Vec<HostSpec> {
    (0..count)
        .map(|number| {
            let domain = number % 3;
            let fabric = number / 3 / per_fabric;
            HostSpec {
                host: format!("host-{number:05}").into(),
                address,
                domain: format!("domain-{domain}").into(),
                fabric: format!("fabric-{domain}-{fabric}").into(),
                accelerators: 4,
                checks_fence: true,
            }
        })
        .collect()
}

impl SimCluster {
    /// Starts a server that accepts orders for all hosts at `address`.
    ///
    /// # Panics
    ///
    /// Panics if the server can't listen on the address.
    pub fn start(
        pool: Pool,
        address: SocketAddr,
        count: usize,
        per_fabric: usize,
    ) -> Arc<SimCluster> {
        let hosts: BTreeMap<HostId, FakeHost> = host_specs(count, per_fabric, address)
            .into_iter()
            .map(|spec| (spec.host.clone(), FakeHost::new(spec)))
            .collect();
        let changed = hosts.keys().cloned().collect();
        let hosts = Mutex::new(Hosts { hosts, changed, loading: BTreeMap::new() });
        let cluster = Arc::new(SimCluster { start: Instant::now(), hosts });
        let server = Server {
            pool,
            listener: bind("sim-cluster", address).expect("listen on the address for orders"),
            limits: Limits::default(),
            bodies: Arc::new(ByteBudget::new(REQUESTS_MAX)),
            handler: cluster.clone(),
            stop: Stop::default(),
        };
        pool.spawn(server.run()).detach();
        cluster
    }

    /// Returns the announcements of the hosts that changed since the last call, among those
    /// selected by `filter`.
    pub fn take_changed(&self, filter: &dyn Fn(usize) -> bool) -> Vec<Announcement> {
        let now_ms = self.now_ms();
        let mut hosts = self.lock();
        let ready: Vec<HostId> = hosts
            .loading
            .iter()
            .filter(|(_, at)| **at <= now_ms)
            .map(|(host, _)| host.clone())
            .collect();
        for host in ready {
            hosts.loading.remove(&host);
            hosts.changed.insert(host);
        }
        let selected: Vec<HostId> =
            hosts.changed.iter().filter(|host| filter(host_number(host))).cloned().collect();
        selected
            .into_iter()
            .filter_map(|host| {
                hosts.changed.remove(&host);
                hosts.hosts.get_mut(&host).map(|known| known.next_announcement(now_ms))
            })
            .collect()
    }

    /// Restarts hosts. They come back idle, as another incarnation.
    pub fn restart(&self, numbers: impl Iterator<Item = usize>) {
        let mut hosts = self.lock();
        for number in numbers {
            let host: HostId = format!("host-{number:05}").into();
            if let Some(known) = hosts.hosts.get_mut(&host) {
                known.kill(0);
            }
            hosts.changed.insert(host);
        }
    }

    /// Marks the hosts selected by `filter` as changed, for a full report.
    pub fn mark_changed(&self, filter: &dyn Fn(usize) -> bool) {
        let mut hosts = self.lock();
        let all: Vec<HostId> =
            hosts.hosts.keys().filter(|host| filter(host_number(host))).cloned().collect();
        hosts.changed.extend(all);
    }

    fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Hosts> {
        lock(&self.hosts)
    }

    async fn handle_order(&self, request: Request<Incoming>) -> Response<Body> {
        let body = collect(request.into_body(), MAX_ORDER_BYTES).await.unwrap_or_default();
        if let Ok(order) = serde_json::from_slice::<Order>(&body) {
            let now_ms = self.now_ms();
            let mut hosts = self.lock();
            if let Some(known) = hosts.hosts.get_mut(&order.host) {
                known.execute(&order, now_ms, LOAD_MS);
            }
            hosts.loading.insert(order.host.clone(), now_ms + LOAD_MS);
            hosts.changed.insert(order.host);
        }
        json_response(StatusCode::OK, &true)
    }
}

impl Handler for SimCluster {
    fn handle(self: Arc<Self>, request: Request<Incoming>, _remote: SocketAddr) -> HandlerFuture {
        Box::pin(async move { self.handle_order(request).await })
    }
}

fn host_number(host: &HostId) -> usize {
    host.rsplit('-').next().and_then(|digits| digits.parse().ok()).unwrap_or(0)
}
