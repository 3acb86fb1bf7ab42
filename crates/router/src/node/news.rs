//! What hosts learn from each other and from the store.

/// What another host lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum News {
    /// Nothing.
    None,
    /// A version of the configuration, which must be in force everywhere within seconds.
    Urgent,
    /// Events.
    Usual,
}

/// Where this host received news from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NewsSource {
    /// Another host.
    Host,
    /// The store.
    Store,
}

/// How a host learns that a target is about to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeavingSource {
    /// From an answer of the target.
    Target,
    /// From an answer of the target to its gateway.
    Gateway,
    /// From a report or an event of another host.
    Host,
}

impl LeavingSource {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Target => "target",
            Self::Gateway => "gateway",
            Self::Host => "host",
        }
    }
}

impl NewsSource {
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Store => "store",
        }
    }
}
