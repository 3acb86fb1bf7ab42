//! The difference between two versions of the configuration.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{Catalog, CatalogError, HostRoutes, Limits, Route, Service};

/// What turns one version of the configuration into another. Most versions change few routes of
/// thousands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogChange {
    /// The version that it applies to.
    pub from: u64,
    /// The version that results.
    pub version: u64,
    /// Changed hosts by name.
    hosts: BTreeMap<Arc<str>, HostChange>,
    /// All services of the new version.
    services: Vec<Service>,
    /// The limits of the new version.
    limits: Limits,
}

/// What changes in the routes of one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
enum HostChange {
    /// The host has no routes any more.
    Removed,
    /// Routes by prefix.
    Routes {
        /// New and changed routes.
        put: Vec<Arc<Route>>,
        /// Prefixes whose routes are removed.
        removed: Vec<Arc<str>>,
    },
}

impl CatalogChange {
    /// Returns the change from `old` to `new`; `None` if it cannot be expressed, because a host has
    /// several routes with one prefix.
    #[must_use]
    pub fn between(old: &Catalog, new: &Catalog) -> Option<Self> {
        let mut hosts = BTreeMap::new();
        for name in old.hosts().keys() {
            if !new.hosts().contains_key(name) {
                hosts.insert(Arc::clone(name), HostChange::Removed);
            }
        }
        for (name, routes) in new.hosts() {
            let known = old.hosts().get(name);
            if known != Some(routes) {
                let change = HostChange::between(known.map_or(&[], Vec::as_slice), routes);
                hosts.insert(Arc::clone(name), change);
            }
        }
        let change = Self {
            from: old.version(),
            version: new.version(),
            hosts,
            services: new.services().map(|it| (**it).clone()).collect(),
            limits: *new.limits(),
        };
        let applied = change.apply(old).ok()?;
        (applied == *new).then_some(change)
    }

    /// Applies the change to `old`, which must have the version [`CatalogChange::from`].
    ///
    /// # Errors
    ///
    /// Fails if the result is not a valid configuration.
    pub fn apply(&self, old: &Catalog) -> Result<Catalog, CatalogError> {
        let mut hosts = old.hosts().clone();
        for (name, change) in &self.hosts {
            match change {
                HostChange::Removed => {
                    hosts.remove(name);
                }
                HostChange::Routes { put, removed } => {
                    let routes = hosts.entry(Arc::clone(name)).or_default();
                    replace(routes, put, removed);
                }
            }
        }
        Catalog::of_routes(self.version, hosts, self.services.clone(), self.limits)
    }

    /// Number of routes that the change contains.
    #[must_use]
    pub fn routes(&self) -> usize {
        let routes = self.hosts.values().map(|it| match it {
            HostChange::Removed => 0,
            HostChange::Routes { put, .. } => put.len(),
        });
        routes.sum()
    }
}

impl HostChange {
    fn between(old: &[Arc<Route>], new: &[Arc<Route>]) -> Self {
        let known: BTreeMap<&str, &Arc<Route>> = old.iter().map(|it| (&*it.prefix, it)).collect();
        let kept: BTreeMap<&str, &Arc<Route>> = new.iter().map(|it| (&*it.prefix, it)).collect();
        let mut put = Vec::new();
        for route in new {
            if known.get(&*route.prefix) != Some(&route) {
                put.push(Arc::clone(route));
            }
        }
        let mut removed = Vec::new();
        for route in old {
            if !kept.contains_key(&*route.prefix) {
                removed.push(Arc::clone(&route.prefix));
            }
        }
        Self::Routes { put, removed }
    }
}

/// Replaces the routes with the prefixes of `put`, and drops those with the prefixes in `removed`.
fn replace(routes: &mut HostRoutes, put: &[Arc<Route>], removed: &[Arc<str>]) {
    let mut by_prefix: BTreeMap<Arc<str>, Arc<Route>> = BTreeMap::new();
    for route in routes.drain(..).chain(put.iter().cloned()) {
        by_prefix.insert(Arc::clone(&route.prefix), route);
    }
    for prefix in removed {
        by_prefix.remove(prefix);
    }
    routes.extend(by_prefix.into_values());
}
