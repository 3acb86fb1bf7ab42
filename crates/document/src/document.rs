//! The document as a whole.

use std::sync::Arc;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{Balance, Places, Problem, Service, cross_field, field, paths, rules};

/// Configuration of a deployment, written by its operators.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Format of the document; 1 is the only one.
    #[garde(range(min = 1, max = 1))]
    pub format: u32,
    /// The deployment's name.
    #[garde(custom(rules::text(rules::name)))]
    #[schemars(extend("pattern" = rules::NAME_PATTERN))]
    pub name: Arc<str>,
    /// Weights of the placement objectives.
    #[garde(dive)]
    pub balance: Balance,
    /// Regions, data centres and the network.
    #[garde(dive)]
    pub places: Places,
    /// The services.
    #[garde(dive, length(max = 64))]
    pub services: Vec<Service>,
    /// Fingerprints (16 hex digits) of requests released from quarantine.
    #[serde(default)]
    #[garde(inner(custom(rules::text(rules::fingerprint))), length(max = 1_000))]
    #[schemars(inner(regex(pattern = rules::FINGERPRINT_PATTERN)))]
    pub pardons: Vec<Arc<str>>,
}

impl Document {
    /// The service whose prefix matches `path`, or `None`.
    #[must_use]
    pub fn service_of_path(&self, path: &str) -> Option<&Service> {
        self.services
            .iter()
            .find(|it| paths::has_prefix(path, &it.prefix))
    }

    /// The service with this name, or `None`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|it| &*it.name == name)
    }

    /// Validates the document: first the rules of single fields, then the rules across fields.
    ///
    /// The list is empty if the document may be applied.
    #[must_use]
    pub fn problems(&self) -> Vec<Problem> {
        let mut problems = field::find_problems(self);
        problems.extend(cross_field::find_problems(self));
        problems
    }
}
