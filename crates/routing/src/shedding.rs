//! Which services have queues that go by objective.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use crate::{HostRoutes, Route, Service};

/// The services of which [`Catalog::goes_by_objective`](crate::Catalog::goes_by_objective) is true.
///
/// Large bodies and cold targets are new in the configuration, so none that was written before them
/// is served differently. Answers a load of several kinds; with one kind, all requests cost the same
/// and nothing is gained by an order among them.
pub(crate) fn services_by_objective(
    hosts: &BTreeMap<Arc<str>, HostRoutes>,
    services: &BTreeMap<Arc<str>, Arc<Service>>,
    bulk: &BTreeSet<Arc<str>>,
) -> BTreeSet<Arc<str>> {
    let is_uneven = !bulk.is_empty() || services.values().any(|it| it.cold.is_some());
    if !is_uneven {
        return BTreeSet::new();
    }
    let mut routes: BTreeMap<&Arc<str>, Vec<&Route>> = BTreeMap::new();
    for route in hosts.values().flatten() {
        for share in route.shares.iter().filter(|it| it.weight > 0) {
            routes.entry(&share.service).or_default().push(route);
        }
    }
    let goes_by_objective = |name: &Arc<str>, routes: &[&Route]| {
        let has_slack = routes.iter().any(|it| it.objective_ms < it.timeout_ms);
        let differ = routes.iter().any(|it| {
            (it.priority, it.objective_ms) != (routes[0].priority, routes[0].objective_ms)
        });
        let is_cold = services.get(name).is_some_and(|it| it.cold.is_some());
        has_slack && (differ || is_cold || bulk.contains(name))
    };
    let chosen = routes.iter().filter(|it| goes_by_objective(it.0, it.1));
    chosen.map(|it| Arc::clone(it.0)).collect()
}
