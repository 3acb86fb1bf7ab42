//! Errors in a configuration.

use displaydoc::Display;
use thiserror::Error;

/// A rule that a configuration violates.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// host {host}, route {route}: service {service} is not defined
    UnknownService {
        /// Name of the host.
        host: String,
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: String,
    },
    /// host {host}, route {route}: attempts must be at least 1
    NoAttempts {
        /// Name of the host.
        host: String,
        /// Name of the route.
        route: String,
    },
    /// host {host}, route {route}: the weights of its services add up to 0
    ZeroWeight {
        /// Name of the host.
        host: String,
        /// Name of the route.
        route: String,
    },
    /// host {host}, route {route}: prefix {prefix:?} must begin and end with a slash
    InvalidPrefix {
        /// Name of the host.
        host: String,
        /// Name of the route.
        route: String,
        /// Prefix of the route.
        prefix: String,
    },
}
