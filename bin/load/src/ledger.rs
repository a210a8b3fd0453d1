//! The ledgers of the fake backend servers, read at the end of a run: what each has executed.

use http::{Client, collect_response, empty};
use hyper::{Request, header::HOST};
use net::{Pool, with_timeout};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_LEDGER_BYTES: usize = 256 << 20;

/// The totals over all ledgers.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LedgerTotals {
    /// Whether every ledger could be read. A fake backend server that was killed loses its
    /// ledger, and a booking that is missing from the others may still have run there.
    pub is_complete: bool,
    /// How many times each booking ran, by its key.
    #[serde(skip)]
    pub bookings: BTreeMap<Box<str>, u32>,
    /// Requests that ran.
    pub ran: u64,
    /// Requests that were cancelled because the caller disconnected.
    pub cancelled: u64,
    /// Requests that exceeded the limit of a cold engine.
    pub above_cold_limit: u64,
    /// Requests that exceeded the limit of a warm engine.
    pub above_warm_limit: u64,
    /// Requests whose prompt prefix was cached.
    pub cache_hits: u64,
}

#[derive(Debug, Default, Deserialize)]
struct Ledger {
    bookings: BTreeMap<Box<str>, u32>,
    ran: u64,
    cancelled: u64,
    above_cold_limit: u64,
    above_warm_limit: u64,
    cache_hits: u64,
}

/// Reads the ledgers at the admin addresses of fake backend servers, and adds them up.
pub async fn read_ledgers(pool: Pool, addresses: &[SocketAddr]) -> LedgerTotals {
    let client = Client::new(pool, None);
    let mut totals = LedgerTotals { is_complete: !addresses.is_empty(), ..LedgerTotals::default() };
    for address in addresses {
        match with_timeout(REQUEST_TIMEOUT, read_ledger(&client, *address)).await.ok().flatten() {
            Some(ledger) => totals.add(ledger),
            None => totals.is_complete = false,
        }
    }
    totals
}

async fn read_ledger(client: &Client, address: SocketAddr) -> Option<Ledger> {
    let request =
        Request::get("/fake/ledger").header(HOST, address.to_string()).body(empty()).ok()?;
    let response = client.send(address, request).await.ok()?;
    let body = collect_response(response.into_body(), MAX_LEDGER_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}

impl LedgerTotals {
    fn add(&mut self, ledger: Ledger) {
        for (key, times) in ledger.bookings {
            *self.bookings.entry(key).or_default() += times;
        }
        self.ran += ledger.ran;
        self.cancelled += ledger.cancelled;
        self.above_cold_limit += ledger.above_cold_limit;
        self.above_warm_limit += ledger.above_warm_limit;
        self.cache_hits += ledger.cache_hits;
    }
}
