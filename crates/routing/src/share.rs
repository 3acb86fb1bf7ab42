//! How the requests of a route are divided among services.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A service that takes part of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its weight, relative to the other weights of the route.
    pub weight: u32,
}

/// The services of a route; most routes have one.
pub type Shares = SmallVec<[Share; 2]>;

/// Smooth weighted round robin: divides requests in proportion to weights, without randomness.
/// After any number of picks each service is less than one request away from its share.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    /// Credit of each service, in the order of the shares; the service with the most is picked
    /// next.
    credits: SmallVec<[i64; 2]>,
}

impl Picker {
    /// Picks the service for the next request; `None` if all weights are 0.
    pub fn pick<'a>(&mut self, shares: &'a [Share]) -> Option<&'a Share> {
        let total: i64 = shares.iter().map(|it| i64::from(it.weight)).sum();
        if total == 0 {
            return None;
        }
        self.credits.resize(shares.len(), 0);
        for (credit, share) in self.credits.iter_mut().zip(shares) {
            *credit += i64::from(share.weight);
        }
        let (idx, _) = self
            .credits
            .iter()
            .enumerate()
            .filter(|(idx, _)| shares[*idx].weight > 0)
            .max_by_key(|(_, credit)| **credit)?;
        self.credits[idx] -= total;
        Some(&shares[idx])
    }
}
