//! Finds the route of a request and the team of its key.

use fleet::{Manifest, Route, Team};
use std::{collections::HashMap, sync::Arc};

/// A manifest with indexes.
#[derive(Debug)]
pub struct RouteTable {
    manifest: Arc<Manifest>,
    /// Routes of a host, the longest prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    by_key: HashMap<Box<str>, usize>,
}

/// What a key says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyCheck<'a> {
    /// The route or the manifest needs no key.
    NotNeeded,
    /// The key belongs to this team.
    Team(&'a Team),
    /// There is no key, or no team holds it.
    Unknown,
}

impl RouteTable {
    /// Indexes a manifest.
    pub fn new(manifest: Arc<Manifest>) -> RouteTable {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (at, route) in manifest.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase().into()).or_default().push(at);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(manifest.routes[*at].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (at, team) in manifest.teams.iter().enumerate() {
            for key in &team.keys {
                by_key.insert(key.clone(), at);
            }
        }
        RouteTable { manifest, by_host, by_key }
    }

    /// The manifest.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// The route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.by_host.get(name.as_str())?;
        let route = routes.iter().map(|at| &self.manifest.routes[*at]);
        route.into_iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Checks the key of a request on a route.
    pub fn check_key(&self, route: &Route, key: Option<&str>) -> KeyCheck<'_> {
        let team = key.and_then(|key| self.by_key.get(key)).map(|at| &self.manifest.teams[*at]);
        match team {
            Some(team) => KeyCheck::Team(team),
            None if route.is_public || self.manifest.teams.is_empty() => KeyCheck::NotNeeded,
            None => KeyCheck::Unknown,
        }
    }
}
