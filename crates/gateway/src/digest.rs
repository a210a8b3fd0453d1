//! The digest by which entries recognize a request that is sent again.

use bytes::Bytes;
use hyper::{Method, Uri};
use model::ids::{RequestDigest, TeamId};
use xxhash_rust::xxh3::Xxh3;

/// The digest of a request's host, method, path, caller and body.
pub(crate) fn request_digest(
    host: &str,
    method: &Method,
    uri: &Uri,
    caller: Option<&TeamId>,
    body: &Bytes,
) -> RequestDigest {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let caller = caller.map_or("", |team| team);
    let mut hasher = Xxh3::new();
    for field in [host.as_bytes(), method.as_str().as_bytes(), path.as_bytes(), caller.as_bytes()] {
        hasher.update(&(field.len() as u64).to_le_bytes());
        hasher.update(field);
    }
    hasher.update(body);
    hasher.digest()
}
