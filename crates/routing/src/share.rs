//! How the requests of a route are divided among services.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

/// A service that takes part of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Share {
    /// The service.
    pub service: Arc<str>,
    /// Its part, relative to the other weights of the route.
    pub weight: u32,
}

/// The services of a route; most routes have one.
pub type Shares = SmallVec<[Share; 2]>;

/// Divides requests in proportion to weights, without randomness: after any number of picks each
/// service is less than one request away from its share.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    credit: SmallVec<[i64; 2]>,
}

impl Picker {
    /// Picks the service of the next request; `None` if all weights are 0.
    pub fn pick<'a>(&mut self, shares: &'a [Share]) -> Option<&'a Share> {
        let total: i64 = shares.iter().map(|it| i64::from(it.weight)).sum();
        if total == 0 {
            return None;
        }
        self.credit.resize(shares.len(), 0);
        for (credit, share) in self.credit.iter_mut().zip(shares) {
            *credit += i64::from(share.weight);
        }
        let (idx, _) = self
            .credit
            .iter()
            .enumerate()
            .filter(|(idx, _)| shares[*idx].weight > 0)
            .max_by_key(|(_, credit)| **credit)?;
        self.credit[idx] -= total;
        Some(&shares[idx])
    }
}
