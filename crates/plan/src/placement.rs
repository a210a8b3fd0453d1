//! The choice of hosts for a group.

use crate::observations::Observations;
use model::{
    announce::{Announcement, Offer},
    ids::{DomainId, FabricId, HostId},
    manifest::{Manifest, Model},
    order::Member,
};
use state::{Placement, State};
use std::collections::{BTreeMap, BTreeSet};

/// How hosts are chosen for a new group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The first fabric domain by name that has enough hosts.
    FirstFit,
    /// Spread over failure domains, then the fabric domain that is left with the
    /// fewest free hosts.
    BestFit,
    /// As `BestFit`, but a fabric domain that keeps a spare host goes before one that
    /// keeps none.
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

/// Hosts chosen for a group, and where they stand.
#[derive(Debug)]
pub(crate) struct Site {
    pub(crate) domain: DomainId,
    pub(crate) fabric: FabricId,
    pub(crate) placements: Vec<Placement>,
}

impl<'a> FreeHosts<'a> {
    /// Collects hosts that are fresh, idle, without record, and in a domain that is in.
    pub(crate) fn collect(
        state: &State,
        manifest: &Manifest,
        seen: &'a Observations,
    ) -> FreeHosts<'a> {
        let mut free = FreeHosts::default();
        for (host, host_seen) in seen.hosts() {
            let announcement = &host_seen.announcement;
            let domain = &announcement.failure_domain;
            let usable = host_seen.is_fresh()
                && !announcement.leaving
                && announcement.runs.is_none()
                && !state.hosts.contains_key(host)
                && !state.domains_out.contains_key(domain)
                && manifest.failure_domains.contains(domain);
            let Offer::Accelerators(accelerators) = announcement.offer else {
                continue;
            };
            if usable {
                let place = (domain, &announcement.fabric_domain);
                free.fabrics
                    .entry(place)
                    .or_default()
                    .push(FreeHost { announcement, accelerators });
            }
        }
        for hosts in free.fabrics.values_mut() {
            // The host that wastes the fewest accelerators goes first.
            hosts.sort_by_key(|host| host.accelerators);
        }
        free
    }

    /// Chooses hosts for a new group of `model`. `spread` counts the model's groups by
    /// failure domain.
    pub(crate) fn choose_site(
        &mut self,
        model: &Model,
        spread: &BTreeMap<DomainId, usize>,
        policy: Policy,
    ) -> Option<Site> {
        let wanted = model.hosts_per_replica as usize;
        let mut best: Option<(Rank, (&DomainId, &FabricId))> = None;
        for place in self.fabrics.keys() {
            let fitting = self.fitting(place, model).count();
            if fitting < wanted {
                continue;
            }
            let groups = spread.get(place.0).copied().unwrap_or(0);
            let rank = rank(policy, groups, fitting - wanted);
            if best.as_ref().is_none_or(|(lowest, _)| rank < *lowest) {
                best = Some((rank, *place));
            }
            if policy == Policy::FirstFit {
                break;
            }
        }
        let (_, place) = best?;
        let placements = self.take(place, model, wanted);
        Some(Site { domain: place.0.clone(), fabric: place.1.clone(), placements })
    }

    /// Takes spare hosts of one fabric domain; nothing if there are too few.
    pub(crate) fn take_spares(
        &mut self,
        domain: &DomainId,
        fabric: &FabricId,
        model: &Model,
        count: usize,
    ) -> Option<Vec<Placement>> {
        let place = self.fabrics.keys().copied().find(|place| *place == (domain, fabric))?;
        if self.fitting(&place, model).count() < count {
            return None;
        }
        Some(self.take(place, model, count))
    }

    /// The number of free hosts of one fabric domain that a group of `model` could use.
    pub(crate) fn fitting_count(
        &self,
        domain: &DomainId,
        fabric: &FabricId,
        model: &Model,
    ) -> usize {
        let place = self.fabrics.keys().find(|place| **place == (domain, fabric));
        place.map_or(0, |place| self.fitting(place, model).count())
    }

    fn fitting<'b>(
        &'b self,
        place: &(&'a DomainId, &'a FabricId),
        model: &'b Model,
    ) -> impl Iterator<Item = &'b FreeHost<'a>> {
        self.fabrics
            .get(place)
            .into_iter()
            .flatten()
            .filter(|host| host.accelerators >= model.accelerators_per_host)
            .filter(|host| !self.taken.contains(&host.announcement.host))
    }

    fn take(
        &mut self,
        place: (&'a DomainId, &'a FabricId),
        model: &Model,
        count: usize,
    ) -> Vec<Placement> {
        let placements: Vec<Placement> = self
            .fitting(&place, model)
            .take(count)
            .map(|host| placement_of(host.announcement))
            .collect();
        self.taken.extend(placements.iter().map(|placement| placement.member.host.clone()));
        placements
    }
}

/// Ranks a fabric domain; the lowest goes first.
type Rank = (usize, bool, usize);

fn rank(policy: Policy, groups: usize, left: usize) -> Rank {
    match policy {
        Policy::FirstFit => (0, false, 0),
        Policy::BestFit => (groups, false, left),
        Policy::BestFitWithSpares => (groups, left == 0, left),
    }
}

/// The placement of a host that announced itself.
pub(crate) fn placement_of(announcement: &Announcement) -> Placement {
    Placement {
        member: Member { host: announcement.host.clone(), address: announcement.address },
        incarnation: announcement.incarnation,
        checks_fence: announcement.checks_fence,
    }
}
