//! Control messages between hosts, over tarpc.
//!
//! Requests of callers are not forwarded over this channel, because tarpc does not stream bodies.
//! This crate defines the messages and the connection to a peer; the daemon implements the service.
//! Start at [`Peer`].

mod codec;
mod messages;
mod service;
mod transport;

pub use codec::Codec;
pub use messages::{
    Adoption, HotKey, LoadSummary, MoveResult, QuarantineEntry, QuarantineState, Reach,
    RenewalResult, SliceLoad, SliceMove, TableCopy, TargetReach, TargetReport, Votes,
};
pub use service::{Peer, PeerClient, PeerRequest, PeerResponse};
pub use transport::{MESSAGE_LIMIT_BYTES, connect};
