//! Why a configuration cannot be used.

use displaydoc::Display;
use thiserror::Error;

/// A rule that a configuration breaks.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum CatalogError {
    /// host {host}, route {route}: service {service} is not defined
    UnknownService {
        /// The host.
        host: String,
        /// The route.
        route: String,
        /// The missing service.
        service: String,
    },
    /// host {host}, route {route}: attempts must be at least 1
    NoAttempts {
        /// The host.
        host: String,
        /// The route.
        route: String,
    },
    /// host {host}, route {route}: the weights of its services add up to 0
    ZeroWeight {
        /// The host.
        host: String,
        /// The route.
        route: String,
    },
    /// host {host}, route {route}: prefix {prefix:?} must begin and end with a slash
    InvalidPrefix {
        /// The host.
        host: String,
        /// The route.
        route: String,
        /// The prefix.
        prefix: String,
    },
}
