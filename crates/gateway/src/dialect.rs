//! The interface to the headers of requests and responses, which the program defines.

use crate::refusal::Refusal;
use admission::Notice;
use http::Body;
use hyper::{HeaderMap, Request, Response, StatusCode};
use model::ids::{HostId, ModelId, PromptPartId, TeamId};
use std::{fmt, net::SocketAddr, time::Duration};

/// What the headers of a request say about it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestInfo {
    /// The caller's id of this attempt.
    pub id: Box<str>,
    /// The caller's API key.
    pub key: Option<Box<str>>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// The model to run.
    pub model: Option<ModelId>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Expected number of tokens in the response.
    pub answer_tokens: u64,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Box<[PromptPartId]>,
    /// The id of the last event that the caller received from an earlier response.
    pub after_event: Option<u64>,
}

/// What an entry adds to a request that it forwards.
#[derive(Debug, Clone)]
pub struct ForwardInfo<'a> {
    /// The only backend server that may run the request.
    pub host: &'a HostId,
    /// The team that the caller's key belongs to.
    pub team: Option<&'a TeamId>,
    /// How long the caller still waits.
    pub timeout: Duration,
    /// The id of the last event that was delivered to the caller.
    pub after_event: Option<u64>,
    /// Priority among the requests at the backend server, from 0, the most urgent, to 9.
    pub priority: Option<u8>,
}

/// What the status and headers of a response say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseKind {
    /// It belongs to this request.
    Own,
    /// It belongs to another request.
    Foreign,
    /// The request has not run and will not run: the backend server is full or shutting down.
    NotRun,
    /// The request has not run: the address belongs to another backend server, or to one that is
    /// not the head of its group.
    WrongServer,
}

/// Reads and writes the headers of requests and responses.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Parses the headers of a request.
    fn parse_request(&self, headers: &HeaderMap) -> RequestInfo;

    /// Removes the caller's API key, which no other process is to see.
    fn remove_key(&self, headers: &mut HeaderMap);

    /// Builds a request to a backend server that takes no slot and runs nothing.
    fn probe_request(&self, host: &HostId, address: SocketAddr) -> Request<Body>;

    /// Turns a caller's headers into those of the request to a backend server.
    fn prepare_request(&self, headers: &mut HeaderMap, info: &ForwardInfo<'_>);

    /// Classifies the response to the attempt `id`. Only the first response on a connection may
    /// name no attempt, as it can't belong to an earlier one.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &str,
        is_first: bool,
    ) -> ResponseKind;

    /// Parses what a backend server says of itself in the status and headers of a response.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Builds the response to a request that is refused or has failed.
    fn refusal_response(&self, refusal: &Refusal, id: &str) -> Response<Body>;
}
