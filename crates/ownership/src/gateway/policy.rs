//! Settings of the document for a target and its gateway.

use crate::Millis;

/// The parts of the document that a gateway needs.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Policy {
    /// Whether the target checks grants.
    pub checks: Checks,
    /// Longest deadline of a request, in milliseconds.
    pub deadline_ms: Millis,
    /// How long tenure lasts without store contact, in milliseconds.
    pub hold_ms: Millis,
    /// Whether an operator has declared a data centre lost.
    pub data_centre: DataCentreState,
}

/// What a target checks.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Checks {
    /// The target accepts requests only under a grant.
    Grants,
    /// The target accepts every request.
    Nothing,
}

/// Whether the data centre of the target or of the host is declared lost.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DataCentreState {
    /// Neither is declared lost.
    Live,
    /// The target's data centre is declared lost: nothing runs there.
    Lost,
    /// This host's data centre is declared lost; the host gives up its tenure.
    HostLost,
}
