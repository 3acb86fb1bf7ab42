//! The document in force on this host.

use std::sync::Arc;

use document::{Document, Region, Service};
use smallvec::SmallVec;

/// A document with its version, which requests share without copying it.
#[derive(Debug)]
pub struct View {
    pub version: u64,
    pub document: Document,
    /// Fingerprints that operators released from quarantine.
    pub pardons: SmallVec<[u64; 4]>,
}

impl View {
    /// Creates the view of a valid document.
    pub fn new(version: u64, document: Document) -> Self {
        let pardons = document
            .pardons
            .iter()
            .filter_map(|it| u64::from_str_radix(it, 16).ok())
            .collect();
        Self {
            version,
            document,
            pardons,
        }
    }

    /// Finds a service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.services.iter().find(|it| &*it.name == name)
    }

    /// Finds a target and its service by their names.
    pub fn target(&self, service: &str, name: &str) -> Option<(&Service, &document::Target)> {
        let service = self.service(service)?;
        let target = service.targets.iter().find(|it| &*it.name == name)?;
        Some((service, target))
    }

    /// The region of a data centre.
    pub fn region(&self, data_centre: &str) -> Option<&Region> {
        self.document.places.region_of(data_centre)
    }

    /// The name of the region of a data centre; empty if the document does not name it.
    pub fn region_name(&self, data_centre: &str) -> Arc<str> {
        self.region(data_centre)
            .map_or_else(|| Arc::from(""), |it| Arc::clone(&it.name))
    }

    /// Whether operators declared the data centre lost.
    pub fn is_lost(&self, data_centre: &str) -> bool {
        self.region(data_centre)
            .and_then(|region| {
                region
                    .data_centres
                    .iter()
                    .find(|it| &*it.name == data_centre)
            })
            .is_some_and(|it| it.lost)
    }
}
