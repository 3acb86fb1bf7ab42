//! Clients of the platform and the hosts.

use std::{net::SocketAddr, time::Duration};

use platform::Platform;

use crate::{args::Arguments, failure::Failure, hosts::HostClient, store::Store};

/// Timeout of one call to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// The clients that commands use.
#[derive(Debug)]
pub(crate) struct Context {
    platform: Option<Platform>,
    /// Operators' addresses of hosts to query instead of those in the membership list.
    pub(crate) host_addresses: Vec<SocketAddr>,
    /// Client of the hosts.
    pub(crate) hosts: HostClient,
}

impl Context {
    /// Creates the clients.
    pub(crate) fn new(arguments: &Arguments) -> Self {
        Self {
            platform: arguments
                .platform
                .map(|it| Platform::new(it, PLATFORM_TIMEOUT)),
            host_addresses: arguments.hosts.clone(),
            hosts: HostClient::new(),
        }
    }

    /// The platform's client.
    ///
    /// # Errors
    ///
    /// Fails if the arguments contain no address of the platform.
    pub(crate) fn platform(&self) -> Result<&Platform, Failure> {
        self.platform
            .as_ref()
            .ok_or_else(|| Failure::Arguments("this command needs --platform IP:PORT".to_owned()))
    }

    /// Access to the document's rows in the store.
    ///
    /// # Errors
    ///
    /// Fails if the arguments contain no address of the platform.
    pub(crate) fn store(&self) -> Result<Store<'_>, Failure> {
        self.platform().map(Store::new)
    }
}
