//! How requests and answers are written on the wire.

use crate::refusal::Refusal;
use http::Body;
use hyper::{HeaderMap, Response, StatusCode};
use model::ids::{HostId, ModelId, TeamId};
use std::{fmt, time::Duration};

/// What a request says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The caller's id of this try.
    pub id: Box<str>,
    /// The caller's key.
    pub key: Option<Box<str>>,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// The model.
    pub model: Option<ModelId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer that are expected.
    pub answer_tokens: u64,
    /// The last event of an earlier answer that the caller has.
    pub after_event: Option<u64>,
}

/// What an entry adds to a request that it passes on.
#[derive(Debug, Clone)]
pub struct ForwardInfo<'a> {
    /// The only backend server that may run it.
    pub host: &'a HostId,
    /// The team of the caller's key.
    pub team: Option<&'a TeamId>,
    /// How long the caller will wait from now on.
    pub timeout: Duration,
    /// The last event that was delivered.
    pub after_event: Option<u64>,
    /// Rank among the requests at the backend server, 0 to 9; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It answers this request.
    Own,
    /// It answers another request.
    Foreign,
    /// The request has not run and will not run here; the backend server is full or leaves.
    NotRun,
    /// The request has not run: another backend server has the address, or it is no head.
    WrongServer,
}

/// Reads and writes the headers of requests and answers.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads what a request says of itself.
    fn parse_request(&self, headers: &HeaderMap) -> RequestInfo;

    /// Turns a caller's headers into those for a backend server.
    fn prepare_request(&self, headers: &mut HeaderMap, pass: &ForwardInfo<'_>);

    /// Judges the head of an answer to the try `id`.
    fn classify_response(&self, status: StatusCode, headers: &HeaderMap, id: &str) -> ResponseKind;

    /// The answer to a request that is refused or has failed.
    fn refusal_response(&self, refusal: &Refusal, id: &str) -> Response<Body>;
}
