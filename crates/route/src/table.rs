//! Lookup of the service and the team that a request belongs to.

use model::{
    ids::{ModelId, ServiceId, TeamId},
    manifest::{Manifest, RequestKey, TeamSelector},
    request::{CHAT_PATH, COMPLETIONS_PATH},
};
use std::{net::IpAddr, sync::Arc, time::Duration};

/// The route that the manifest defines for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RouteMatch {
    /// A request for the model named in its body.
    Model,
    /// A request for a plain service.
    Service {
        /// The service.
        service: ServiceId,
        /// Whether the request may run more than once.
        idempotent: bool,
        /// Where the request carries its key.
        key: Option<RequestKey>,
        /// The time limit for the answer.
        deadline: Duration,
    },
}

/// Why a request has no route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteFault {
    /// No manifest has been accepted yet.
    NoManifest,
    /// No route matches the path.
    UnknownPath,
    /// A route matches the path, but not the method.
    WrongMethod,
}

/// The routes of the manifest in force.
#[derive(Debug, Clone, Default)]
pub struct Routes {
    manifest: Option<Arc<Manifest>>,
}

impl Routes {
    /// Creates the routes of a manifest.
    pub fn new(manifest: Arc<Manifest>) -> Routes {
        Routes { manifest: Some(manifest) }
    }

    /// The manifest in force, if one has been accepted.
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        self.manifest.as_ref()
    }

    /// Finds the route for the method whose path prefix is the longest match.
    ///
    /// # Errors
    ///
    /// Fails if no route matches.
    pub fn find(&self, method: &str, path: &str) -> Result<RouteMatch, RouteFault> {
        let manifest = self.manifest.as_ref().ok_or(RouteFault::NoManifest)?;
        if path == CHAT_PATH || path == COMPLETIONS_PATH {
            return if method == "POST" {
                Ok(RouteMatch::Model)
            } else {
                Err(RouteFault::WrongMethod)
            };
        }
        let routes = manifest
            .services
            .iter()
            .flat_map(|service| service.routes.iter().map(move |route| (service, route)));
        let matching: Vec<_> =
            routes.filter(|(_, route)| path.starts_with(&*route.path_prefix)).collect();
        if matching.is_empty() {
            return Err(RouteFault::UnknownPath);
        }
        let longest = matching
            .into_iter()
            .filter(|(_, route)| *route.method == *method)
            .max_by_key(|(_, route)| route.path_prefix.len());
        let (service, route) = longest.ok_or(RouteFault::WrongMethod)?;
        Ok(RouteMatch::Service {
            service: service.name.clone(),
            idempotent: route.idempotent,
            key: route.request_key.clone(),
            deadline: service.deadline,
        })
    }

    /// The name and deadline of a model, if the manifest has it.
    pub fn model(&self, name: &str) -> Option<(ModelId, Duration)> {
        let model = self.manifest.as_ref()?.model(name)?;
        Some((model.name.clone(), model.deadline))
    }

    /// The team of a caller. A mark in a header takes precedence over the caller's address; among
    /// addresses, the longest matching prefix wins.
    pub fn team(&self, header: &dyn Fn(&str) -> Option<String>, address: IpAddr) -> Option<TeamId> {
        let manifest = self.manifest.as_ref()?;
        let by_header = manifest.teams.iter().find(|team| {
            team.selectors.iter().any(|mark| match mark {
                TeamSelector::Header { name, value } => header(name).as_deref() == Some(&**value),
                TeamSelector::Address { .. } => false,
            })
        });
        let by_address = || {
            let marks = manifest.teams.iter().flat_map(|team| {
                team.selectors.iter().filter_map(move |mark| match mark {
                    TeamSelector::Address { bits, .. } if mark.covers(address) => {
                        Some((*bits, team))
                    }
                    _ => None,
                })
            });
            marks.max_by_key(|(bits, _)| *bits).map(|(_, team)| team)
        };
        by_header.or_else(by_address).map(|team| team.name.clone())
    }
}
