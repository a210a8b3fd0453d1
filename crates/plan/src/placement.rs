//! Selects hosts for a group.

use crate::observations::Observations;
use model::{
    announce::{Announcement, Offer},
    ids::{DomainId, FabricId, HostId},
    manifest::{Manifest, Model},
    order::Member,
};
use state::{Placement, State};
use std::collections::{BTreeMap, BTreeSet};

/// How hosts are selected for a new group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The first fabric domain by name that has enough hosts.
    FirstFit,
    /// Spreads groups over failure domains, then takes the fabric domain that keeps the
    /// fewest free hosts.
    BestFit,
    /// Like `BestFit`, but prefers fabric domains that keep a spare host.
    BestFitWithSpares,
}

/// A free host that could join a group.
#[derive(Debug)]
pub(crate) struct FreeHost<'a> {
    announcement: &'a Announcement,
    accelerators: u32,
}

/// The free hosts by fabric domain.
#[derive(Debug, Default)]
pub(crate) struct FreeHosts<'a> {
    fabrics: BTreeMap<(&'a DomainId, &'a FabricId), Vec<FreeHost<'a>>>,
    taken: BTreeSet<HostId>,
}

/// The hosts selected for a group, and their location.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) domain: DomainId,
    pub(crate) fabric: FabricId,
    pub(crate) placements: Vec<Placement>,
}

impl<'a> FreeHosts<'a> {
    /// Collects hosts that announce themselves, are idle, have no record, and whose failure
    /// domain has not been taken out.
    pub(crate) fn collect(
        state: &State,
        manifest: &Manifest,
        observations: &'a Observations,
    ) -> FreeHosts<'a> {
        let mut free = FreeHosts::default();
        for (host, observed) in observations.hosts() {
            let announcement = &observed.announcement;
            let domain = &announcement.failure_domain;
            let is_free = observed.is_fresh()
                && !announcement.leaving
                && announcement.membership.is_none()
                && !state.hosts.contains_key(host)
                && !state.domains_out.contains_key(domain)
                && manifest.failure_domains.contains(domain);
            let Offer::Accelerators(accelerators) = announcement.offer else {
                continue;
            };
            if is_free {
                let location = (domain, &announcement.fabric_domain);
                free.fabrics
                    .entry(location)
                    .or_default()
                    .push(FreeHost { announcement, accelerators });
            }
        }
        for hosts in free.fabrics.values_mut() {
            // Prefer the hosts that leave the fewest accelerators unused.
            hosts.sort_by_key(|host| host.accelerators);
        }
        free
    }

    /// Selects hosts for a new group of `model`. `spread` has the number of the model's
    /// groups in each failure domain.
    pub(crate) fn choose_site(
        &mut self,
        model: &Model,
        spread: &BTreeMap<DomainId, usize>,
        policy: Policy,
    ) -> Option<Site> {
        let wanted = model.hosts_per_replica as usize;
        let mut best: Option<(Rank, (&DomainId, &FabricId))> = None;
        for location in self.fabrics.keys() {
            let fitting = self.fitting(location, model).count();
            if fitting < wanted {
                continue;
            }
            let groups = spread.get(location.0).copied().unwrap_or(0);
            let rank = rank(policy, groups, fitting - wanted);
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, *location));
            }
            if policy == Policy::FirstFit {
                break;
            }
        }
        let (_, location) = best?;
        let placements = self.take(location, model, wanted);
        Some(Site { domain: location.0.clone(), fabric: location.1.clone(), placements })
    }

    /// Takes `count` free hosts of one fabric domain, or none if it has fewer.
    pub(crate) fn take_spares(
        &mut self,
        domain: &DomainId,
        fabric: &FabricId,
        model: &Model,
        count: usize,
    ) -> Option<Vec<Placement>> {
        let location =
            self.fabrics.keys().copied().find(|location| *location == (domain, fabric))?;
        if self.fitting(&location, model).count() < count {
            return None;
        }
        Some(self.take(location, model, count))
    }

    /// The number of free hosts of one fabric domain that a group of `model` could use.
    pub(crate) fn fitting_count(
        &self,
        domain: &DomainId,
        fabric: &FabricId,
        model: &Model,
    ) -> usize {
        let location = self.fabrics.keys().find(|location| **location == (domain, fabric));
        location.map_or(0, |location| self.fitting(location, model).count())
    }

    fn fitting<'b>(
        &'b self,
        location: &(&'a DomainId, &'a FabricId),
        model: &'b Model,
    ) -> impl Iterator<Item = &'b FreeHost<'a>> {
        self.fabrics
            .get(location)
            .into_iter()
            .flatten()
            .filter(|host| host.accelerators >= model.accelerators_per_host)
            .filter(|host| !self.taken.contains(&host.announcement.host))
    }

    fn take(
        &mut self,
        location: (&'a DomainId, &'a FabricId),
        model: &Model,
        count: usize,
    ) -> Vec<Placement> {
        let placements: Vec<Placement> = self
            .fitting(&location, model)
            .take(count)
            .map(|host| placement_of(host.announcement))
            .collect();
        self.taken.extend(placements.iter().map(|placement| placement.member.host.clone()));
        placements
    }
}

/// The rank of a fabric domain; the lowest is selected.
type Rank = (usize, bool, usize);

fn rank(policy: Policy, groups: usize, left: usize) -> Rank {
    match policy {
        Policy::FirstFit => (0, false, 0),
        Policy::BestFit => (groups, false, left),
        Policy::BestFitWithSpares => (groups, left == 0, left),
    }
}

/// The placement on a host that announces itself.
pub(crate) fn placement_of(announcement: &Announcement) -> Placement {
    Placement {
        member: Member { host: announcement.host.clone(), address: announcement.address },
        incarnation: announcement.incarnation,
        checks_fence: announcement.checks_fence,
    }
}
