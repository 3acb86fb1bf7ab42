//! One version of the configuration.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{CatalogError, Route, Service};

/// Bounds on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limits {
    /// Longest head of a request in bytes.
    pub head_bytes: usize,
    /// Longest body of a request in bytes.
    pub body_bytes: usize,
    /// Longest time in milliseconds in which the head of a request arrives.
    pub head_ms: u64,
    /// Time in milliseconds after which an idle connection of a caller is closed.
    pub idle_ms: u64,
}

/// The routes of one host, longest prefix first.
pub type HostRoutes = Vec<Arc<Route>>;

/// What a catalog is made of.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CatalogParts {
    /// Version, which rises with each change.
    pub version: u64,
    /// Routes by host name, which is in lower case.
    pub hosts: BTreeMap<Arc<str>, Vec<Route>>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds for callers.
    pub limits: Limits,
}

/// One version of the configuration, checked and ready for lookups.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(into = "CatalogParts", try_from = "CatalogParts")]
pub struct Catalog {
    version: u64,
    hosts: BTreeMap<Arc<str>, HostRoutes>,
    services: BTreeMap<Arc<str>, Arc<Service>>,
    limits: Limits,
}

impl Catalog {
    /// Checks the parts and makes them ready for lookups.
    ///
    /// # Errors
    ///
    /// Fails with the first rule that the parts break.
    pub fn new(parts: CatalogParts) -> Result<Self, CatalogError> {
        let mut services = BTreeMap::new();
        for service in parts.services {
            services.insert(Arc::clone(&service.name), Arc::new(service));
        }
        let mut hosts = BTreeMap::new();
        for (host, routes) in parts.hosts {
            for route in &routes {
                check(&host, route, &services)?;
            }
            let mut routes: HostRoutes = routes.into_iter().map(Arc::new).collect();
            routes.sort_by_key(|it| std::cmp::Reverse(it.prefix.len()));
            hosts.insert(host, routes);
        }
        Ok(Self {
            version: parts.version,
            hosts,
            services,
            limits: parts.limits,
        })
    }

    /// The version.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The bounds for callers.
    #[must_use]
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// The route of `host` with the longest prefix that begins `path`. The host's name is compared
    /// without regard to case and without a port.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|it| path.starts_with(&*it.prefix))
    }

    /// A service by name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All services in name order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }
}

impl From<Catalog> for CatalogParts {
    fn from(it: Catalog) -> Self {
        let mut hosts = BTreeMap::new();
        for (host, routes) in it.hosts {
            let routes = routes.into_iter().map(Arc::unwrap_or_clone).collect();
            hosts.insert(host, routes);
        }
        Self {
            version: it.version,
            hosts,
            services: it
                .services
                .into_values()
                .map(Arc::unwrap_or_clone)
                .collect(),
            limits: it.limits,
        }
    }
}

impl TryFrom<CatalogParts> for Catalog {
    type Error = CatalogError;

    fn try_from(parts: CatalogParts) -> Result<Self, CatalogError> {
        Self::new(parts)
    }
}

fn check(
    host: &str,
    route: &Route,
    services: &BTreeMap<Arc<str>, Arc<Service>>,
) -> Result<(), CatalogError> {
    let host = || host.to_owned();
    let name = || route.name.to_string();
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(CatalogError::InvalidPrefix {
            host: host(),
            route: name(),
            prefix: route.prefix.to_string(),
        });
    }
    if route.attempts == 0 {
        return Err(CatalogError::NoAttempts {
            host: host(),
            route: name(),
        });
    }
    if route.shares.iter().all(|it| it.weight == 0) {
        return Err(CatalogError::ZeroWeight {
            host: host(),
            route: name(),
        });
    }
    for share in &route.shares {
        if !services.contains_key(&share.service) {
            return Err(CatalogError::UnknownService {
                host: host(),
                route: name(),
                service: share.service.to_string(),
            });
        }
    }
    Ok(())
}
