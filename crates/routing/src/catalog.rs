//! One version of the configuration.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{CatalogError, Regions, Route, Service, Share, Volume, shedding};

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Maximum size of the head of a request in bytes.
    pub head_bytes: usize,
    /// Maximum size of the body of a request in bytes.
    pub body_bytes: usize,
    /// Timeout in milliseconds for receiving the head of a request.
    pub head_ms: u64,
    /// Time in milliseconds after which an idle connection of a caller is closed.
    pub idle_ms: u64,
}

/// The routes of one host, longest prefix first; prefixes of one length in alphabetical order.
pub type HostRoutes = Vec<Arc<Route>>;

/// The unchecked contents of a [`Catalog`], which are also its serialised form.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogParts {
    /// Version; it increases with each change.
    pub version: u64,
    /// Routes by host name in lower case.
    pub hosts: BTreeMap<Arc<str>, Vec<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub limits: Limits,
}

/// One version of the configuration, validated and prepared for lookups.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "CatalogParts", try_from = "CatalogParts")]
pub struct Catalog {
    version: u64,
    hosts: BTreeMap<Arc<str>, HostRoutes>,
    services: BTreeMap<Arc<str>, Arc<Service>>,
    limits: Limits,
    /// Services that have a route with large bodies.
    bulk: BTreeSet<Arc<str>>,
    mixed: bool,
    /// Services whose queues go by objective.
    by_objective: BTreeSet<Arc<str>>,
}

impl Catalog {
    /// Validates the parts and prepares them for lookups.
    ///
    /// # Errors
    ///
    /// Fails with the first rule that the parts violate.
    pub fn new(parts: CatalogParts) -> Result<Self, CatalogError> {
        let mut hosts = BTreeMap::new();
        for (host, routes) in parts.hosts {
            hosts.insert(host, routes.into_iter().map(Arc::new).collect());
        }
        Self::of_routes(parts.version, hosts, parts.services, parts.limits)
    }

    /// Validates shared routes, in any order, and prepares them for lookups.
    pub(crate) fn of_routes(
        version: u64,
        mut hosts: BTreeMap<Arc<str>, HostRoutes>,
        services: Vec<Service>,
        limits: Limits,
    ) -> Result<Self, CatalogError> {
        let services: BTreeMap<Arc<str>, Arc<Service>> = services
            .into_iter()
            .map(|it| (Arc::clone(&it.name), Arc::new(it)))
            .collect();
        for (host, routes) in &mut hosts {
            for route in &*routes {
                check_route(host, route, &services)?;
            }
            routes.sort_by(|a, b| {
                let by_length = b.prefix.len().cmp(&a.prefix.len());
                by_length.then_with(|| a.prefix.cmp(&b.prefix))
            });
        }
        let mut bulk = BTreeSet::new();
        for route in hosts.values().flatten() {
            if route.volume != Volume::Large {
                continue;
            }
            let used = route.shares.iter().filter(|it| it.weight > 0);
            bulk.extend(used.map(|it| Arc::clone(&it.service)));
        }
        let mut routes = hosts.values().flatten();
        let restricted = routes.any(|it| !it.regions.is_empty());
        let mixed = restricted || !bulk.is_empty() || services.values().any(|it| it.cold.is_some());
        let by_objective = shedding::services_by_objective(&hosts, &services, &bulk);
        Ok(Self {
            version,
            hosts,
            services,
            limits,
            bulk,
            mixed,
            by_objective,
        })
    }

    /// Returns the version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the routes of each host, by its name in lower case.
    pub(crate) fn hosts(&self) -> &BTreeMap<Arc<str>, HostRoutes> {
        &self.hosts
    }

    /// Returns the route of `host` whose prefix is the longest one that matches `path`. The case of
    /// the host name and a port in it are ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// Returns a service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services in name order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The regions in which keys of a service may be owned, so that all its routes can use them;
    /// empty if that is all regions. Routes that have no region in common leave no restriction.
    #[must_use]
    pub fn key_regions(&self, service: &str) -> Regions {
        let mut common: Option<Regions> = None;
        for route in self.routes() {
            let uses = |it: &Share| *it.service == *service && it.weight > 0;
            if route.regions.is_empty() || !route.shares.iter().any(uses) {
                continue;
            }
            match &mut common {
                None => common = Some(route.regions.clone()),
                Some(common) => common.retain(|it| route.allows(it)),
            }
        }
        common.unwrap_or_default()
    }

    /// Whether the load is mixed: routes have large bodies or are restricted to regions, or targets
    /// can be cold. Requests are then spread by the expected waits, and not only by distance.
    #[must_use]
    pub fn has_mixed_load(&self) -> bool {
        self.mixed
    }

    /// Whether a service has a route with large bodies.
    #[must_use]
    pub fn is_bulk(&self, service: &str) -> bool {
        self.bulk.contains(service)
    }

    /// Whether the queues of a service go by the objectives of its routes. This is so in a
    /// configuration that states large bodies or a limit for cold targets anywhere, for a service
    /// with a route whose objective is shorter than its timeout, if at least one of these holds: it
    /// has a route with large bodies, it has a limit for cold targets, or its routes differ in
    /// priority or objective. All other services are served as before there was this order.
    #[must_use]
    pub fn goes_by_objective(&self, service: &str) -> bool {
        self.by_objective.contains(service)
    }

    /// Returns all routes of all hosts.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

impl From<Catalog> for CatalogParts {
    fn from(catalog: Catalog) -> Self {
        let mut hosts = BTreeMap::new();
        for (host, routes) in catalog.hosts {
            let routes = routes.into_iter().map(Arc::unwrap_or_clone).collect();
            hosts.insert(host, routes);
        }
        Self {
            version: catalog.version,
            hosts,
            services: catalog
                .services
                .into_values()
                .map(Arc::unwrap_or_clone)
                .collect(),
            limits: catalog.limits,
        }
    }
}

impl TryFrom<CatalogParts> for Catalog {
    type Error = CatalogError;

    fn try_from(parts: CatalogParts) -> Result<Self, CatalogError> {
        Self::new(parts)
    }
}

fn check_route(
    host: &str,
    route: &Route,
    services: &BTreeMap<Arc<str>, Arc<Service>>,
) -> Result<(), CatalogError> {
    let host = || host.to_owned();
    let route_name = || route.name.to_string();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(CatalogError::InvalidPrefix {
            host: host(),
            route: route_name(),
            prefix: route.prefix.to_string(),
        });
    }
    if route.attempts == 0 {
        return Err(CatalogError::NoAttempts {
            host: host(),
            route: route_name(),
        });
    }
    if route.shares.iter().all(|it| it.weight == 0) {
        return Err(CatalogError::ZeroWeight {
            host: host(),
            route: route_name(),
        });
    }
    for share in &route.shares {
        if !services.contains_key(&share.service) {
            return Err(CatalogError::UnknownService {
                host: host(),
                route: route_name(),
                service: share.service.to_string(),
            });
        }
    }
    Ok(())
}
