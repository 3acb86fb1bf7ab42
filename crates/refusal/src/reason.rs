//! The fixed list of reasons for refusals.

use displaydoc::Display;
use serde::{Deserialize, Serialize};

use crate::Ran;

/// Why a request was refused.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// no service has a prefix of this path
    UnknownService,
    /// the request carries no key where the service's key rule expects it
    KeyMissing,
    /// the key is longer than the limit or not printable ASCII
    KeyInvalid,
    /// a header is longer than the limit
    HeaderTooLong,
    /// the request body exceeds the service's limit
    BodyTooLarge,
    /// the caller closed its connection or stopped sending before the whole body arrived
    BodyIncomplete,
    /// a non-idempotent request needs an idempotency key
    IdempotencyKeyMissing,
    /// the idempotency key is too long or not printable ASCII
    IdempotencyKeyInvalid,
    /// the idempotency key was used before with another request
    IdempotencyKeyReused,
    /// the deadline header is not a number of milliseconds
    DeadlineInvalid,
    /// the deadline ended before the request was started
    DeadlineBeforeStart,
    /// the deadline ended after the request was sent to a target
    DeadlineAfterStart,
    /// the queue of the target is full
    QueueFull,
    /// the caller has more requests waiting than its share
    CallerShare,
    /// the target sheds load
    TargetShed,
    /// the target asked for a pause in which it wants no requests
    TargetPaused,
    /// the target is failing requests and takes no new ones for now
    TargetFailing,
    /// the target is draining and its keys are being moved
    TargetDraining,
    /// the target could not be reached
    TargetUnreachable,
    /// the target broke the connection after the request was sent
    TargetLost,
    /// the target refused the order of this gateway
    Fenced,
    /// the key has no owner at present
    NoOwner,
    /// this host is not the gateway of the owner
    NotGateway,
    /// the gateway of the owner cannot be reached
    OwnerUnreachable,
    /// the connection to the gateway broke after the request was sent
    GatewayLost,
    /// the request is quarantined because it crashes targets
    Quarantined,
    /// the claim of the idempotency key could not be written
    ClaimUnavailable,
    /// the idempotency key was claimed before and its outcome is not recorded
    OutcomeUnknown,
    /// the byte budget of the link between regions is used up
    LinkBudget,
    /// no target in the regions that the route allows can be reached
    RegionUnavailable,
    /// all data centres that the route allows are evacuated
    PlaceEvacuated,
    /// the host has no configuration in force
    NotReady,
    /// the host is stopping
    Stopping,
}

impl Reason {
    /// All reasons, in the order of the documentation.
    pub const ALL: [Self; 33] = [
        Self::UnknownService,
        Self::KeyMissing,
        Self::KeyInvalid,
        Self::HeaderTooLong,
        Self::BodyTooLarge,
        Self::BodyIncomplete,
        Self::IdempotencyKeyMissing,
        Self::IdempotencyKeyInvalid,
        Self::IdempotencyKeyReused,
        Self::DeadlineInvalid,
        Self::DeadlineBeforeStart,
        Self::DeadlineAfterStart,
        Self::QueueFull,
        Self::CallerShare,
        Self::TargetShed,
        Self::TargetPaused,
        Self::TargetFailing,
        Self::TargetDraining,
        Self::TargetUnreachable,
        Self::TargetLost,
        Self::Fenced,
        Self::NoOwner,
        Self::NotGateway,
        Self::OwnerUnreachable,
        Self::GatewayLost,
        Self::Quarantined,
        Self::ClaimUnavailable,
        Self::OutcomeUnknown,
        Self::LinkBudget,
        Self::RegionUnavailable,
        Self::PlaceEvacuated,
        Self::NotReady,
        Self::Stopping,
    ];

    /// The label of the reason's counter, which is also its name in the body of a refusal.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::KeyMissing => "key_missing",
            Self::KeyInvalid => "key_invalid",
            Self::HeaderTooLong => "header_too_long",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::IdempotencyKeyMissing => "idempotency_key_missing",
            Self::IdempotencyKeyInvalid => "idempotency_key_invalid",
            Self::IdempotencyKeyReused => "idempotency_key_reused",
            Self::DeadlineInvalid => "deadline_invalid",
            Self::DeadlineBeforeStart => "deadline_before_start",
            Self::DeadlineAfterStart => "deadline_after_start",
            Self::QueueFull => "queue_full",
            Self::CallerShare => "caller_share",
            Self::TargetShed => "target_shed",
            Self::TargetPaused => "target_paused",
            Self::TargetFailing => "target_failing",
            Self::TargetDraining => "target_draining",
            Self::TargetUnreachable => "target_unreachable",
            Self::TargetLost => "target_lost",
            Self::Fenced => "fenced",
            Self::NoOwner => "no_owner",
            Self::NotGateway => "not_gateway",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::GatewayLost => "gateway_lost",
            Self::Quarantined => "quarantined",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::LinkBudget => "link_budget",
            Self::RegionUnavailable => "region_unavailable",
            Self::PlaceEvacuated => "place_evacuated",
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
        }
    }

    /// The reason with this label, or `None`.
    #[must_use]
    pub fn from_label(label: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.label() == label)
    }

    /// The HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::UnknownService => 404,
            Self::KeyMissing
            | Self::KeyInvalid
            | Self::BodyIncomplete
            | Self::IdempotencyKeyMissing
            | Self::IdempotencyKeyInvalid
            | Self::DeadlineInvalid => 400,
            Self::HeaderTooLong => 431,
            Self::BodyTooLarge => 413,
            Self::IdempotencyKeyReused | Self::OutcomeUnknown => 409,
            Self::Quarantined => 422,
            Self::CallerShare => 429,
            Self::TargetLost | Self::GatewayLost => 502,
            Self::DeadlineBeforeStart | Self::DeadlineAfterStart => 504,
            Self::QueueFull
            | Self::TargetShed
            | Self::TargetPaused
            | Self::TargetFailing
            | Self::TargetDraining
            | Self::TargetUnreachable
            | Self::Fenced
            | Self::NoOwner
            | Self::NotGateway
            | Self::OwnerUnreachable
            | Self::ClaimUnavailable
            | Self::LinkBudget
            | Self::RegionUnavailable
            | Self::PlaceEvacuated
            | Self::NotReady
            | Self::Stopping => 503,
        }
    }

    /// Whether a request that is refused for this reason may have run.
    #[must_use]
    pub fn ran(self) -> Ran {
        match self {
            Self::DeadlineAfterStart
            | Self::TargetLost
            | Self::GatewayLost
            | Self::OutcomeUnknown => Ran::Unknown,
            _ => Ran::NotRun,
        }
    }

    /// Milliseconds that the caller should wait before a retry; `None` if no retry is suggested.
    #[must_use]
    pub fn retry_ms(self) -> Option<u64> {
        match self {
            // Another host takes the request at once.
            Self::Stopping => Some(20),
            Self::QueueFull | Self::CallerShare | Self::TargetShed | Self::TargetPaused => {
                Some(100)
            }
            Self::TargetFailing
            | Self::TargetDraining
            | Self::TargetUnreachable
            | Self::Fenced
            | Self::NoOwner
            | Self::NotGateway
            | Self::DeadlineBeforeStart => Some(500),
            Self::OwnerUnreachable
            | Self::ClaimUnavailable
            | Self::LinkBudget
            | Self::RegionUnavailable
            | Self::PlaceEvacuated
            | Self::NotReady => Some(1_000),
            _ => None,
        }
    }
}
