//! Hosts, as input to the choice of voters.

use std::sync::Arc;

/// A host in the membership list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostInput {
    /// Name, unique among hosts.
    pub name: Arc<str>,
    /// Name of the data centre.
    pub data_centre: Arc<str>,
    /// Name of the data centre's region.
    pub region: Arc<str>,
    /// Whether the host is leaving.
    pub state: HostState,
}

/// State of a host in the membership list.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostState {
    /// The host is not leaving.
    Live,
    /// The host is about to leave.
    Leaving,
}
