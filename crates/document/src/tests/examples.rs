//! Guards against example documents that fail validation.

use std::collections::BTreeMap;

use crate::{Document, parse};

pub(super) const CAVALLUCCI: &str = include_str!("../../../../examples/cavallucci.yaml");
pub(super) const TROIS_RIVIERES: &str =
    include_str!("../../../../examples/trois-rivieres-est.yaml");

pub(super) fn document(text: &str) -> Document {
    parse(text).expect("the example is valid")
}

#[test]
fn examples_are_valid() {
    for text in [CAVALLUCCI, TROIS_RIVIERES] {
        let document = document(text);
        assert_eq!(document.problems(), []);
        for (service, expected) in document.services.iter().zip([6, 2]) {
            let mut per_data_centre = BTreeMap::new();
            for target in &service.targets {
                *per_data_centre.entry(&target.data_centre).or_insert(0) += 1;
            }
            let counts: Vec<_> = per_data_centre.into_values().collect();
            assert_eq!(counts, [expected; 4], "{}", service.name);
        }
    }
}
