//! The data centres that a request without a key may be sent to.

use std::sync::Arc;

use refusal::Reason;
use smallvec::SmallVec;

use super::request::RoutedRequest;
use crate::{
    node::Node,
    observe::Distance,
    state::{Access, TargetState},
};

/// What an entry host knows of a data centre with targets of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlaceView {
    /// The data centre.
    pub place: Arc<str>,
    /// Its distance from this host.
    pub distance: Distance,
    /// Whether the route may use its region, and the place is not cut off if it may use only some.
    pub allowed: bool,
    /// Whether it is evacuated.
    pub access: Access,
    /// Whether it has a target that is not about to stop.
    pub ready: bool,
}

/// Data centres; a deployment has few.
pub type Places = SmallVec<[Arc<str>; 4]>;

/// Returns the data centres that a request may be sent to, nearest first.
///
/// Targets that are about to stop, and evacuated data centres within their bound, are used only while
/// there is nothing else. A route that is restricted to regions never falls back to another one.
///
/// # Errors
///
/// Fails with the reason for which there is none.
pub fn usable(views: impl IntoIterator<Item = PlaceView>) -> Result<Places, Reason> {
    let (mut restricted, mut evacuated) = (false, false);
    let mut ranked: SmallVec<[(Rank, PlaceView); 4]> = SmallVec::new();
    for view in views {
        if !view.allowed {
            restricted = true;
            continue;
        }
        if view.access == Access::Closed {
            evacuated = true;
            continue;
        }
        ranked.push((Rank::of(&view), view));
    }
    let Some(best) = ranked.iter().map(|it| it.0).min() else {
        return Err(match (evacuated, restricted) {
            (true, _) => Reason::PlaceEvacuated,
            (false, true) => Reason::RegionUnavailable,
            (false, false) => Reason::NoOwner,
        });
    };
    ranked.retain(|it| it.0 == best);
    ranked.sort_by(|a, b| (a.1.distance, &a.1.place).cmp(&(b.1.distance, &b.1.place)));
    Ok(ranked.into_iter().map(|it| it.1.place).collect())
}

/// The data centres for a request, as this host sees them now; see [`usable`].
///
/// # Errors
///
/// Fails as [`usable`] does.
pub fn usable_for(node: &Node, request: &RoutedRequest) -> Result<Places, Reason> {
    let service = &request.gateway_request.service;
    let now = node.clock.now();
    let route = &request.route;
    let is_cut = |place: &str| !route.regions.is_empty() && node.cut_places.is_suspect(place, now);
    let mut views: SmallVec<[PlaceView; 4]> = SmallVec::new();
    let targets = node.targets();
    for (_, entry) in targets.registered() {
        if entry.service != *service || entry.state == TargetState::Draining {
            continue;
        }
        let ready = entry.state == TargetState::Ready;
        if let Some(view) = views.iter_mut().find(|it| it.place == entry.place) {
            view.ready |= ready;
            continue;
        }
        let place = &entry.place;
        views.push(PlaceView {
            distance: distance(node, place),
            allowed: route.allows(node.settings.region(place)) && !is_cut(place),
            access: node.access(place, now),
            place: Arc::clone(place),
            ready,
        });
    }
    drop(targets);
    usable(views)
}

/// Classifies the distance from this host to a data centre.
pub fn distance(node: &Node, place: &Arc<str>) -> Distance {
    let own = &node.settings.place;
    if place == own {
        Distance::SamePlace
    } else if node.settings.region(place) == node.settings.region(own) {
        Distance::SameRegion
    } else {
        Distance::OtherRegion
    }
}

/// How well a data centre suits; only those of the lowest rank are used.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Rank {
    Ready,
    /// All its targets are about to stop.
    Leaving,
    /// It is evacuated, but not for long.
    Ending,
}

impl Rank {
    fn of(view: &PlaceView) -> Self {
        match (view.access, view.ready) {
            (Access::Open, true) => Self::Ready,
            (Access::Open, false) => Self::Leaving,
            (Access::Ending | Access::Closed, _) => Self::Ending,
        }
    }
}

#[cfg(test)]
mod tests;
