//! Sends announcements to one entry, and switches to another when it does not accept them.

use crate::backend::FakeBackend;
use async_channel::Receiver;
use async_io::Timer;
use base::limits::ANNOUNCE_INTERVAL;
use futures_lite::FutureExt;
use http::{Client, collect_response, full};
use hyper::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use log::info;
use model::{order::SECRET_HEADER, request::ANNOUNCE_PATH};
use net::{Pool, with_timeout};
use std::{net::SocketAddr, sync::Arc, time::Duration};

const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
const MAX_RESPONSE_BYTES: usize = 4096;

/// Announces the host for as long as the process runs. A message on `wake` sends an announcement
/// before the next one is due.
pub async fn run(pool: Pool, backend: Arc<FakeBackend>, wake: Receiver<()>) {
    let client = Client::new(pool, Some(backend.config().listen.ip()));
    let entries = &backend.config().entries;
    let mut current = fastrand::usize(..entries.len());
    let mut is_failing = false;
    loop {
        let mut accepted = true;
        if let Some(announcement) = backend.next_announcement() {
            let body = serde_json::to_vec(&announcement).unwrap_or_default();
            let post = post(&client, &backend, entries[current], body);
            accepted = with_timeout(RESPONSE_TIMEOUT, post).await.unwrap_or(false);
        }
        if !accepted {
            current = (current + 1) % entries.len();
        }
        if is_failing == accepted {
            is_failing = !accepted;
            info!(
                "event=announcing host={} entry={} taken={accepted}",
                backend.config().name,
                entries[current]
            );
        }
        let wait = if accepted { ANNOUNCE_INTERVAL } else { ANNOUNCE_INTERVAL / 8 };
        let timer = async {
            Timer::after(wait).await;
        };
        let woken = async {
            let _ = wake.recv().await;
        };
        timer.or(woken).await;
    }
}

async fn post(client: &Client, backend: &FakeBackend, entry: SocketAddr, body: Vec<u8>) -> bool {
    let request = Request::post(ANNOUNCE_PATH)
        .header(HOST, entry.to_string())
        .header(SECRET_HEADER, backend.config().secret.text())
        .header(CONTENT_TYPE, "application/json")
        .body(full(body));
    let Ok(request) = request else {
        return false;
    };
    let Ok(mut connection) = client.connection(entry).await else {
        return false;
    };
    let Ok(response) = connection.send(request).await else {
        return false;
    };
    let accepted = response.status() == StatusCode::OK;
    if collect_response(response.into_body(), MAX_RESPONSE_BYTES).await.is_ok() {
        client.return_idle(entry, connection);
    }
    accepted
}
