//! Regions, data centres and the network between them.

use std::sync::Arc;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::rules;

/// Locations of hosts and targets, and the network between them.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Places {
    /// The regions, each with its data centres.
    #[garde(dive, length(min = 1, max = 16))]
    pub regions: Vec<Region>,
    /// One-way latencies.
    #[garde(dive)]
    pub latency: Latency,
    /// The link between regions.
    #[garde(dive)]
    pub link: Link,
}

impl Places {
    /// The region of a data centre, or `None` if the document does not name it.
    #[must_use]
    pub fn region_of(&self, data_centre: &str) -> Option<&Region> {
        self.regions.iter().find(|region| {
            region
                .data_centres
                .iter()
                .any(|it| &*it.name == data_centre)
        })
    }
}

/// A region.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The name, unique among regions.
    #[garde(custom(rules::text(rules::name)))]
    #[schemars(extend("pattern" = rules::NAME_PATTERN))]
    pub name: Arc<str>,
    /// The data centres of the region.
    #[garde(dive, length(min = 1, max = 16))]
    pub data_centres: Vec<DataCentre>,
}

/// A data centre.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name, unique in the document.
    #[garde(custom(rules::text(rules::name)))]
    #[schemars(extend("pattern" = rules::NAME_PATTERN))]
    pub name: Arc<str>,
    /// Set by an operator who asserts that nothing runs there any more.
    #[serde(default)]
    #[garde(skip)]
    pub lost: bool,
}

/// One-way latencies in milliseconds.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Latency {
    /// One-way latency between data centres of a region, in milliseconds.
    #[garde(custom(rules::finite()), range(min = 0.0, max = 10_000.0))]
    pub centre_ms: f64,
    /// One-way latency between regions, in milliseconds.
    #[garde(custom(rules::finite()), range(min = 0.0, max = 10_000.0))]
    pub region_ms: f64,
    /// One-way latency between a client and its nearest data centre, in milliseconds.
    #[garde(custom(rules::finite()), range(min = 0.0, max = 10_000.0))]
    pub client_ms: f64,
}

/// The link between regions.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Capacity in each direction in Mbit/s, shared by all traffic.
    #[garde(custom(rules::finite()), range(min = 0.001, max = 1_000_000.0))]
    pub mbit_s: f64,
}
