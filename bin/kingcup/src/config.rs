//! The flags that all commands share, and HTTP calls to control and entry processes.

use crate::{cmd::Args, error::CliError};
use async_io::block_on;
use base::{
    secret::Secret,
    settings::{Flag, parse_addresses, read_secret},
};
use http::{Client, collect_response, full};
use hyper::{
    Method, Request, StatusCode,
    header::{AUTHORIZATION, CONTENT_TYPE, HOST},
};
use net::{Pool, start_pool, with_timeout};
use serde::de::DeserializeOwned;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// The program name.
pub const PROGRAM: &str = "kingcup";

/// The flags that environment variables may set.
pub const FLAGS: [Flag; 3] = [
    Flag::new("operator", "IP:PORT,IP:PORT,... of the control processes' --operator-listen"),
    Flag::new("token-file", "a file that contains the operators' token"),
    Flag::new("entry", "IP:PORT of an entry's --listen"),
];

const CALL_TIMEOUT: Duration = Duration::from_secs(6);
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// How long a call is retried while no control process is the leader, as during an election.
const LEADER_TIMEOUT: Duration = Duration::from_secs(6);
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Validated shared flags, and the pool that runs HTTP calls.
#[derive(Debug)]
pub struct Config {
    operators: Vec<SocketAddr>,
    token: Option<Secret>,
    /// The address of an entry, if `--entry` is set.
    pub entry: Option<SocketAddr>,
    pool: Pool,
}

struct RawResponse {
    status: StatusCode,
    body: Vec<u8>,
}

impl Config {
    /// Validates the shared flags.
    pub fn new(args: &Args) -> Result<Config, CliError> {
        let operators = parse_addresses("operator", &args.operator)?;
        let token =
            args.token_file.as_ref().map(|path| read_secret("token-file", path)).transpose()?;
        Ok(Config { operators, token, entry: args.entry, pool: start_pool(1)? })
    }

    /// Calls the leader of control and parses its JSON response. Tries the control processes in
    /// turn until the leader answers; this is safe because every operator call may be repeated.
    pub fn call_leader<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<T, CliError> {
        if self.operators.is_empty() {
            return Err(CliError::Usage(
                "--operator is not set: set --operator or KINGCUP_OPERATOR to IP:PORT,IP:PORT,... \
                 of the control processes' --operator-listen",
            ));
        }
        let deadline = Instant::now() + LEADER_TIMEOUT;
        loop {
            let mut last_error = CliError::Usage("--operator names no control process");
            for operator in &self.operators {
                match self.call(*operator, method.clone(), path, body.clone()) {
                    Err(e) if e.may_succeed_elsewhere() => last_error = e,
                    outcome => return outcome,
                }
            }
            if Instant::now() >= deadline {
                return Err(last_error);
            }
            std::thread::sleep(LEADER_RETRY_INTERVAL);
        }
    }

    /// Calls one process and parses its JSON response.
    pub fn call<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<T, CliError> {
        let response = block_on(with_timeout(CALL_TIMEOUT, self.send(to, method, path, body)))
            .map_err(|cause| CliError::Unreachable { to, cause: cause.to_string() })??;
        if response.status.is_success() {
            return serde_json::from_slice(&response.body).map_err(|e| CliError::Unreachable {
                to,
                cause: format!("unexpected response body: {e}"),
            });
        }
        Err(CliError::refused(to, response.status, &response.body))
    }

    async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<RawResponse, CliError> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, to.to_string())
            .header(CONTENT_TYPE, "application/json");
        if let Some(token) = &self.token {
            request = request.header(AUTHORIZATION, format!("Bearer {}", token.text()));
        }
        let unreachable = |cause: String| CliError::Unreachable { to, cause };
        let request = request.body(full(body)).map_err(|e| unreachable(e.to_string()))?;
        let client = Client::new(self.pool, None);
        let mut connection = client.connection(to).await.map_err(|e| unreachable(e.to_string()))?;
        let response = connection.send(request).await.map_err(|e| unreachable(e.to_string()))?;
        let status = response.status();
        let body = collect_response(response.into_body(), MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|e| unreachable(e.to_string()))?.to_vec();
        Ok(RawResponse { status, body })
    }
}
