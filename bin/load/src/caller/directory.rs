//! A caller's copy of the directory, cached for as long as the directory's response allows.

use base::sync::lock;
use http::{Client, collect_response, empty};
use hyper::{Request, header::HOST};
use model::request::DIRECTORY_PATH;
use net::with_timeout;
use serde::Deserialize;
use std::{
    net::SocketAddr,
    sync::Mutex,
    time::{Duration, Instant},
};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// The source of the addresses to which a caller sends requests.
#[derive(Debug, Clone)]
pub enum Directory {
    /// One fixed address. The directory is not used.
    Fixed(SocketAddr),
    /// The entries from the caller's settings, which serve the directory of all entries.
    Entries(Vec<SocketAddr>),
}

#[derive(Debug, Deserialize)]
struct DirectoryResponse {
    entries: Vec<SocketAddr>,
    keep_seconds: u64,
}

#[derive(Debug)]
struct CachedEntries {
    entries: Vec<SocketAddr>,
    expires: Instant,
}

/// One caller's cache of the directory.
#[derive(Debug)]
pub struct DirectoryCache {
    directory: Directory,
    number: usize,
    cached: Mutex<Option<CachedEntries>>,
}

impl DirectoryCache {
    /// Creates an empty cache. The caller's `number` selects the known entry that it asks first,
    /// which spreads callers over the entries.
    pub fn new(directory: Directory, number: usize) -> DirectoryCache {
        DirectoryCache { directory, number, cached: Mutex::default() }
    }

    /// Returns the addresses to try, in order of preference. Asks the known entries in turn for the
    /// directory if the cache has expired; empty if none of them answers.
    pub async fn addresses(&self, client: &Client) -> Vec<SocketAddr> {
        let known = match &self.directory {
            Directory::Fixed(address) => return vec![*address],
            Directory::Entries(known) => known,
        };
        if let Some(entries) = self.cached_entries() {
            return entries;
        }
        for step in 0..known.len() {
            let entry = known[(self.number + step) % known.len()];
            if let Some(response) = fetch(client, entry).await {
                let expires = Instant::now() + Duration::from_secs(response.keep_seconds);
                let cached = CachedEntries { entries: response.entries.clone(), expires };
                *lock(&self.cached) = Some(cached);
                return response.entries;
            }
        }
        Vec::new()
    }

    /// Clears the cache after a connection to one of its addresses failed.
    pub fn clear(&self) {
        *lock(&self.cached) = None;
    }

    fn cached_entries(&self) -> Option<Vec<SocketAddr>> {
        let cached = lock(&self.cached);
        cached
            .as_ref()
            .filter(|cached| cached.expires > Instant::now())
            .map(|cached| cached.entries.clone())
    }
}

async fn fetch(client: &Client, entry: SocketAddr) -> Option<DirectoryResponse> {
    let request =
        Request::get(DIRECTORY_PATH).header(HOST, entry.to_string()).body(empty()).ok()?;
    let exchange = async {
        let response = client.send(entry, request).await.ok()?;
        let body = collect_response(response.into_body(), MAX_RESPONSE_BYTES).await.ok()?;
        serde_json::from_slice::<DirectoryResponse>(&body).ok()
    };
    let response = with_timeout(REQUEST_TIMEOUT, exchange).await.ok().flatten()?;
    (!response.entries.is_empty()).then_some(response)
}
