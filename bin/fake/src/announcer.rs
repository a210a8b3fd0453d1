//! Announcements to an entry, and to another one when it does not answer.

use crate::machine::Machine;
use async_channel::Receiver;
use async_io::Timer;
use base::limits::ANNOUNCE_INTERVAL;
use futures_lite::FutureExt;
use http::{Client, collect, full};
use hyper::{
    Request, StatusCode,
    header::{CONTENT_TYPE, HOST},
};
use log::info;
use model::{order::SECRET_HEADER, request::ANNOUNCE_PATH};
use net::{Pool, with_timeout};
use std::{net::SocketAddr, sync::Arc, time::Duration};

const ANSWER_LIMIT: Duration = Duration::from_millis(300);
const ANSWER_BYTES: usize = 4096;

/// Announces the host for as long as the process runs; `nudge` asks for an announcement
/// before the next is due.
pub async fn run(pool: Pool, machine: Arc<Machine>, nudge: Receiver<()>) {
    let client = Client::new(pool, Some(machine.config().listen.ip()));
    let entries = &machine.config().entries;
    let mut current = fastrand::usize(..entries.len());
    let mut failing = false;
    loop {
        let mut taken = true;
        if let Some(announcement) = machine.announcement() {
            let body = serde_json::to_vec(&announcement).unwrap_or_default();
            let post = post(&client, &machine, entries[current], body);
            taken = with_timeout(ANSWER_LIMIT, post).await.unwrap_or(false);
        }
        if !taken {
            current = (current + 1) % entries.len();
        }
        if failing == taken {
            failing = !taken;
            info!(
                "event=announcing host={} entry={} taken={taken}",
                machine.config().name,
                entries[current]
            );
        }
        let wait = if taken { ANNOUNCE_INTERVAL } else { ANNOUNCE_INTERVAL / 8 };
        let timer = async {
            Timer::after(wait).await;
        };
        let nudged = async {
            let _ = nudge.recv().await;
        };
        timer.or(nudged).await;
    }
}

async fn post(client: &Client, machine: &Machine, entry: SocketAddr, body: Vec<u8>) -> bool {
    let request = Request::post(ANNOUNCE_PATH)
        .header(HOST, entry.to_string())
        .header(SECRET_HEADER, machine.config().secret.text())
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
    let taken = response.status() == StatusCode::OK;
    if collect(response.into_body(), ANSWER_BYTES).await.is_ok() {
        client.return_idle(entry, connection);
    }
    taken
}
