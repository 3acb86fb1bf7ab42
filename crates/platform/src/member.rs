//! The membership list.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

/// The membership list as last known to the platform; it can be outdated.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Members {
    /// Entries of hosts and targets.
    pub members: Vec<Member>,
}

/// An entry of the membership list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The name of the host or target.
    pub name: Arc<str>,
    /// Whether it is a host or a target.
    pub kind: MemberKind,
    /// Whether it is in service or about to stop.
    pub state: MemberState,
    /// Its data centre.
    pub place: Arc<str>,
    /// Address for requests; absent for targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<SocketAddr>,
    /// Address for peers; absent for targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer: Option<SocketAddr>,
    /// Address for operators; absent for targets.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub operators: Option<SocketAddr>,
}

/// The kind of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberKind {
    /// An entry host.
    Host,
    /// A target.
    Target,
}

/// The state of a member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// In service.
    Live,
    /// About to stop.
    Leaving,
}
