//! What an entry says of a request that it passes on to another entry.

use crate::refusal::Refusal;
use fleet::{Incarnation, Replica, RouteKind};
use hyper::{HeaderMap, header::HeaderValue};
use model::ids::{EntryId, HostId, RequestDigest, ServiceId, TeamId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;

/// The header of a request with its [`RelayedRequest`], and of a response with its
/// [`RelayedResponse`], both in JSON.
pub(crate) const RELAY_HEADER: &str = "kingcup-relay";
/// Maximum size, in bytes, of the headers that are added to a relayed request.
pub(crate) const RELAY_HEADERS_MAX: usize = 8 * 1024;

/// What the entry that took a request from its caller has decided.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayedRequest {
    /// The entry that took the request from its caller.
    pub(crate) entry: EntryId,
    /// The share of the slots that its requests may take.
    pub(crate) share: f64,
    pub(crate) service: ServiceId,
    pub(crate) kind: RouteKind,
    pub(crate) team: Option<TeamId>,
    pub(crate) priority: u8,
    pub(crate) digest: RequestDigest,
    /// How long the caller still waits.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(crate) timeout: Duration,
    pub(crate) attempts_left: u32,
    /// Backend servers that have failed the request.
    pub(crate) avoid: Vec<HostId>,
    /// The id of the last event that the caller has received.
    pub(crate) after_event: Option<u64>,
}

/// What came of a relayed request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayedResponse {
    /// The response is that of a backend server.
    Answered(Answerer),
    /// No backend server answered.
    Refused(Refusal),
}

/// The backend server that a response comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Answerer {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
}

impl Answerer {
    pub(crate) fn of(replica: &Replica) -> Answerer {
        Answerer { host: replica.host.clone(), incarnation: replica.incarnation }
    }
}

/// Encodes the value of a `RELAY_HEADER`. `None` if it holds what no header may hold.
pub(crate) fn encode<T: Serialize>(value: &T) -> Option<HeaderValue> {
    HeaderValue::from_bytes(&serde_json::to_vec(value).ok()?).ok()
}

/// Takes the `RELAY_HEADER` out of the headers of a message and decodes it.
pub(crate) fn take<T: DeserializeOwned>(headers: &mut HeaderMap) -> Option<T> {
    let value = headers.remove(RELAY_HEADER)?;
    serde_json::from_slice(value.as_bytes()).ok()
}
