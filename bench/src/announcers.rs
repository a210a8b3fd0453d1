//! Simulated hosts that send announcements to an entry.

use crate::sim_cluster::host_specs;
use async_io::Timer;
use base::limits::ANNOUNCE_INTERVAL;
use http::{Client, collect, full};
use hyper::{
    Request,
    header::{CONTENT_TYPE, HOST},
};
use model::{order::SECRET_HEADER, request::ANNOUNCE_PATH};
use net::Pool;
use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use testbed::FakeHost;

const MAX_RESPONSE_BYTES: usize = 4096;

/// Starts `count` hosts that announce themselves to the entry at `to`. Returns a counter of the
/// accepted announcements.
pub fn start(
    pool: Pool,
    from: IpAddr,
    to: SocketAddr,
    secret: &str,
    count: usize,
) -> Arc<AtomicU64> {
    let accepted = Arc::new(AtomicU64::new(0));
    for (number, mut spec) in
        host_specs(count, 32, SocketAddr::new(from, 0)).into_iter().enumerate()
    {
        spec.address.set_port(1 + number as u16);
        let host = FakeHost::new(spec);
        let client = Client::new(pool, Some(from));
        let sender = Sender { client, to, secret: secret.into(), accepted: accepted.clone() };
        pool.spawn(sender.run(host)).detach();
    }
    accepted
}

struct Sender {
    client: Client,
    to: SocketAddr,
    secret: Box<str>,
    accepted: Arc<AtomicU64>,
}

impl Sender {
    async fn run(self, mut host: FakeHost) {
        // Spreads the announcements of the hosts over the interval.
        Timer::after(ANNOUNCE_INTERVAL.mul_f64(fastrand::f64())).await;
        loop {
            let body = serde_json::to_vec(&host.next_announcement(0)).unwrap_or_default();
            if self.post(body).await.is_some() {
                self.accepted.fetch_add(1, Ordering::Relaxed);
            }
            Timer::after(ANNOUNCE_INTERVAL).await;
        }
    }

    async fn post(&self, body: Vec<u8>) -> Option<()> {
        let request = Request::post(ANNOUNCE_PATH)
            .header(HOST, self.to.to_string())
            .header(SECRET_HEADER, &*self.secret)
            .header(CONTENT_TYPE, "application/json")
            .body(full(body))
            .ok()?;
        let mut connection = self.client.connection(self.to).await.ok()?;
        let response = connection.send(request).await.ok()?;
        let is_accepted = response.status().is_success();
        collect(response.into_body(), MAX_RESPONSE_BYTES).await.ok()?;
        self.client.return_idle(self.to, connection);
        is_accepted.then_some(())
    }
}
