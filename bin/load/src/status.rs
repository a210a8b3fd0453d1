//! Samples the status that control reports during a run.

use crate::{error::LoadError, record::Recorder};
use async_io::Timer;
use base::secret::Secret;
use http::{Client, collect_response, empty};
use hyper::{
    Request, StatusCode,
    header::{AUTHORIZATION, HOST},
};
use model::status::Status;
use net::{Pool, with_timeout};
use std::{net::SocketAddr, path::Path, sync::Arc, time::Duration};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1000);
const MAX_STATUS_BYTES: usize = 64 << 20;

/// Records the number of serving groups at regular intervals.
pub struct StatusSampler {
    pool: Pool,
    operators: Vec<SocketAddr>,
    token: Option<Secret>,
}

impl StatusSampler {
    /// Creates a sampler. It does nothing if `operators` is empty.
    pub fn new(
        pool: Pool,
        operators: Vec<SocketAddr>,
        token: Option<&Path>,
    ) -> Result<StatusSampler, LoadError> {
        let token = token
            .map(|path| Secret::read(path).map_err(|e| LoadError::file(path, &e)))
            .transpose()?;
        Ok(StatusSampler { pool, operators, token })
    }

    /// Starts a task that samples until the process exits.
    pub fn start(self, recorder: Arc<Recorder>) {
        if self.operators.is_empty() {
            return;
        }
        let pool = self.pool;
        pool.spawn(async move {
            let client = Client::new(self.pool, None);
            loop {
                if let Some(status) = self.sample(&client).await {
                    let serving = status.groups.iter().filter(|group| group.serving).count();
                    recorder.record_groups_serving(serving as u64);
                }
                Timer::after(SAMPLE_INTERVAL).await;
            }
        })
        .detach();
    }

    /// Returns the status from the first control process that answers with one.
    async fn sample(&self, client: &Client) -> Option<Status> {
        for operator in &self.operators {
            let response = with_timeout(REQUEST_TIMEOUT, self.fetch(client, *operator)).await;
            if let Some(status) = response.ok().flatten() {
                return Some(status);
            }
        }
        None
    }

    async fn fetch(&self, client: &Client, operator: SocketAddr) -> Option<Status> {
        let token = self.token.as_ref().map_or("", |token| token.text());
        let request = Request::get("/v1/status")
            .header(HOST, operator.to_string())
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .body(empty())
            .ok()?;
        let response = client.send(operator, request).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let body = collect_response(response.into_body(), MAX_STATUS_BYTES).await.ok()?;
        serde_json::from_slice(&body).ok()
    }
}
