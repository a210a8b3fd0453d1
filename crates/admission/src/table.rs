//! Lookup of the route of a request and of the team that an API key belongs to.

use fleet::{Manifest, Route, Team};
use std::{collections::HashMap, sync::Arc};

/// A manifest with indexes of its routes by host and of its teams by key.
#[derive(Debug)]
pub struct RouteTable {
    manifest: Arc<Manifest>,
    /// Indexes into the manifest's routes by lower-case host, longest prefix first.
    by_host: HashMap<Box<str>, Vec<usize>>,
    /// Indexes into the manifest's teams.
    by_key: HashMap<Box<str>, usize>,
}

/// The result of checking an API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyCheck<'a> {
    /// The key belongs to no team, but the route is public or the manifest has no teams.
    NotNeeded,
    /// The key belongs to this team.
    Team(&'a Team),
    /// The key is missing or belongs to no team.
    Unknown,
}

impl RouteTable {
    /// Builds the indexes of a manifest.
    pub fn new(manifest: Arc<Manifest>) -> RouteTable {
        let mut by_host: HashMap<Box<str>, Vec<usize>> = HashMap::new();
        for (index, route) in manifest.routes.iter().enumerate() {
            by_host.entry(route.host.to_ascii_lowercase().into()).or_default().push(index);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|index| std::cmp::Reverse(manifest.routes[*index].prefix.len()));
        }
        let mut by_key = HashMap::new();
        for (index, team) in manifest.teams.iter().enumerate() {
            for key in &team.keys {
                by_key.insert(key.clone(), index);
            }
        }
        RouteTable { manifest, by_host, by_key }
    }

    /// The indexed manifest.
    pub fn manifest(&self) -> &Arc<Manifest> {
        &self.manifest
    }

    /// Finds the route of `host` whose prefix is the longest one that `path` starts with. The port
    /// and the case of `host` are ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let indexes = self.by_host.get(name.as_str())?;
        let mut routes = indexes.iter().map(|index| &self.manifest.routes[*index]);
        routes.find(|route| path.starts_with(&*route.prefix))
    }

    /// Checks the API key of a request on a route.
    pub fn check_key(&self, route: &Route, key: Option<&str>) -> KeyCheck<'_> {
        let team =
            key.and_then(|key| self.by_key.get(key)).map(|index| &self.manifest.teams[*index]);
        match team {
            Some(team) => KeyCheck::Team(team),
            None if route.is_public || self.manifest.teams.is_empty() => KeyCheck::NotNeeded,
            None => KeyCheck::Unknown,
        }
    }
}
