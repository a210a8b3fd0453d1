//! Many small senders of announcements in one process.

use crate::field::sites;
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

const ANSWER_MAX: usize = 4096;

/// Starts `count` hosts that announce themselves to one entry; returns the number of
/// announcements that were taken so far.
pub fn start(
    pool: Pool,
    from: IpAddr,
    to: SocketAddr,
    secret: &str,
    count: usize,
) -> Arc<AtomicU64> {
    let taken = Arc::new(AtomicU64::new(0));
    for (number, mut site) in sites(count, 32, SocketAddr::new(from, 0)).into_iter().enumerate() {
        site.address.set_port(1 + number as u16);
        let host = FakeHost::new(site);
        let client = Client::new(pool, Some(from));
        let sender = Sender { client, to, secret: secret.into(), taken: taken.clone() };
        pool.spawn(sender.run(host)).detach();
    }
    taken
}

struct Sender {
    client: Client,
    to: SocketAddr,
    secret: Box<str>,
    taken: Arc<AtomicU64>,
}

impl Sender {
    async fn run(self, mut host: FakeHost) {
        // The hosts' announcements are spread over the interval.
        Timer::after(ANNOUNCE_INTERVAL.mul_f64(fastrand::f64())).await;
        loop {
            let body = serde_json::to_vec(&host.announce(0)).unwrap_or_default();
            if self.post(body).await.is_some() {
                self.taken.fetch_add(1, Ordering::Relaxed);
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
        let is_taken = response.status().is_success();
        collect(response.into_body(), ANSWER_MAX).await.ok()?;
        self.client.return_idle(self.to, connection);
        is_taken.then_some(())
    }
}
