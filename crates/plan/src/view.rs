//! Builds the view that entries use.

use crate::{
    member::{MemberCondition, member_condition},
    observations::Observations,
};
use model::{
    announce::Offer,
    ids::{DomainId, EntryId, GroupId, HostId},
    manifest::Manifest,
    view::{EntryView, GroupView, ManifestView, ServiceView, View},
};
use state::{Group, State};
use std::{collections::BTreeMap, time::Instant};

/// Builds the view at `now`. `wall_s` is the same time in seconds since the Unix epoch.
pub fn build_view(
    state: &State,
    manifest: &Manifest,
    observations: &Observations,
    now: Instant,
    wall_s: u64,
) -> View {
    let groups = state
        .groups
        .iter()
        .filter(|(id, group)| group_serves(state, observations, **id, group, now, wall_s))
        .filter(|(_, group)| manifest.model(&group.model).is_some())
        .filter_map(|(id, group)| group_view(observations, *id, group).map(|view| (*id, view)))
        .collect();
    let manifest_view = state
        .manifest
        .as_ref()
        .map(|accepted| ManifestView { number: accepted.number, body: accepted.body.clone() });
    View {
        manifest: manifest_view,
        groups,
        services: service_views(state, manifest, observations, wall_s),
        entries: entry_views(observations, now),
    }
}

/// Whether requests may be sent to a group: all members announce that they are ready under its
/// fence, and work in its failure domain has not stopped.
pub fn group_serves(
    state: &State,
    observations: &Observations,
    id: GroupId,
    group: &Group,
    now: Instant,
    wall_s: u64,
) -> bool {
    let ready = |member| {
        member_condition(state, observations, id, group, member, now) == MemberCondition::Ready
    };
    !is_out(state, &group.domain, wall_s) && group.members.iter().all(ready)
}

/// Whether a failure domain has been taken out and its stop time has passed.
pub(crate) fn is_out(state: &State, domain: &DomainId, wall_s: u64) -> bool {
    state.domains_out.get(domain).is_some_and(|out| out.stop_at_s <= wall_s)
}

fn group_view(observations: &Observations, id: GroupId, group: &Group) -> Option<GroupView> {
    let head = group.members.first()?;
    let cold = group.members.iter().any(|member| {
        let announcement = observations.fresh(&member.host);
        let runs = announcement.and_then(|announcement| announcement.membership.as_ref());
        runs.is_none_or(|runs| runs.cold)
    });
    Some(GroupView {
        group: id,
        model: group.model.clone(),
        domain: group.domain.clone(),
        fence: group.fence,
        head: head.host.clone(),
        address: head.address,
        cold,
    })
}

fn service_views(
    state: &State,
    manifest: &Manifest,
    observations: &Observations,
    wall_s: u64,
) -> BTreeMap<HostId, ServiceView> {
    let mut views = BTreeMap::new();
    for (host, observed) in observations.hosts() {
        let announcement = &observed.announcement;
        let Offer::Service(service) = &announcement.offer else {
            continue;
        };
        let domain = &announcement.failure_domain;
        let serves = observed.is_fresh()
            && !announcement.leaving
            && !is_out(state, domain, wall_s)
            && manifest.failure_domains.contains(domain)
            && manifest.service(service).is_some();
        if serves {
            let view = ServiceView {
                host: host.clone(),
                service: service.clone(),
                domain: domain.clone(),
                incarnation: announcement.incarnation,
                address: announcement.address,
            };
            views.insert(host.clone(), view);
        }
    }
    views
}

fn entry_views(observations: &Observations, now: Instant) -> BTreeMap<EntryId, EntryView> {
    observations
        .entries()
        .iter()
        .map(|(entry, observed)| {
            let view = EntryView {
                entry: entry.clone(),
                address: observed.address,
                standing: observations.standing(observed, now),
            };
            (entry.clone(), view)
        })
        .collect()
}
