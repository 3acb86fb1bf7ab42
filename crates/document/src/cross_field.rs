//! Validation rules across several fields.

use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
};

use serde_json::{Value, json};

use crate::{Balance, Document, KeyRule, Places, Problem, Service, Target, paths, rules};

/// Tolerance for the sum of the weights: most decimal fractions have no exact binary form.
const SUM_TOLERANCE: f64 = 1e-6;

/// Checks the rules across several fields.
pub(crate) fn find_problems(document: &Document) -> Vec<Problem> {
    let mut checker = CrossFieldChecker::default();
    checker.check_balance(&document.balance);
    checker.check_places(&document.places);
    checker.check_prefixes(&document.services);
    let names = document.services.iter().map(|it| &*it.name);
    checker.check_unique("services", ".name", "services", names);
    for (index, service) in document.services.iter().enumerate() {
        checker.check_service(&format!("services[{index}]"), service, &document.places);
    }
    let pardons = document.pardons.iter().map(|it| &**it);
    checker.check_unique("pardons", "", "pardons", pardons);
    checker.problems
}

#[derive(Debug, Default)]
struct CrossFieldChecker {
    problems: Vec<Problem>,
    /// For each address of a target, the path of its field in the document.
    addresses: HashMap<SocketAddr, String>,
}

impl CrossFieldChecker {
    fn check_balance(&mut self, balance: &Balance) {
        let sum = balance.churn + balance.imbalance + balance.unavailable;
        if (sum - 1.0).abs() <= SUM_TOLERANCE || !sum.is_finite() {
            return;
        }
        self.push(
            "balance".to_owned(),
            &json!((sum * 1e6).round() / 1e6),
            "the sum of churn, imbalance and unavailable must be 1",
            "change one of the three weights by the difference",
        );
    }

    fn check_places(&mut self, places: &Places) {
        let names = places.regions.iter().map(|it| &*it.name);
        self.check_unique("places.regions", ".name", "regions", names);
        let data_centres = || places.regions.iter().flat_map(|it| &it.data_centres);
        if data_centres().next().is_some() && data_centres().all(|it| it.lost) {
            self.push(
                "places.regions".to_owned(),
                &json!("all data centres lost"),
                "must have a data centre that is not lost",
                "remove `lost: true` where hosts and targets still run",
            );
        }
        let mut names = HashSet::new();
        for (index, region) in places.regions.iter().enumerate() {
            for (inner_index, data_centre) in region.data_centres.iter().enumerate() {
                if names.insert(&data_centre.name) {
                    continue;
                }
                self.push(
                    format!("places.regions[{index}].data_centres[{inner_index}].name"),
                    &json!(data_centre.name),
                    "must be unique among the data centres of all regions",
                    "rename or remove one of the two data centres",
                );
            }
        }
    }

    fn check_prefixes(&mut self, services: &[Service]) {
        for (index, service) in services.iter().enumerate() {
            let overlaps = |it: &&Service| {
                paths::has_prefix(&service.prefix, &it.prefix)
                    || paths::has_prefix(&it.prefix, &service.prefix)
            };
            let Some(other) = services[..index].iter().find(overlaps) else {
                continue;
            };
            self.push(
                format!("services[{index}].prefix"),
                &json!(service.prefix),
                "must neither equal nor lie above or below the prefix of another service",
                &format!(
                    "choose a prefix that does not overlap {:?} of service {:?}",
                    other.prefix, other.name
                ),
            );
        }
    }

    fn check_service(&mut self, path: &str, service: &Service, places: &Places) {
        self.check_key(&format!("{path}.key"), &service.key, &service.prefix);
        for (index, listed) in service.idempotent.paths.iter().enumerate() {
            // Invalid prefixes are reported by the rules of single fields.
            let valid = [listed, &service.prefix].map(|it| rules::prefix(it).is_ok());
            if paths::has_prefix(listed, &service.prefix) || valid != [true; 2] {
                continue;
            }
            self.push(
                format!("{path}.idempotent.paths[{index}]"),
                &json!(listed),
                "must lie below the prefix of the service",
                &format!("start the path with {:?}", service.prefix),
            );
        }
        let names = service.targets.iter().map(|it| &*it.name);
        self.check_unique(
            &format!("{path}.targets"),
            ".name",
            "targets of the service",
            names,
        );
        for (index, target) in service.targets.iter().enumerate() {
            self.check_target(&format!("{path}.targets[{index}]"), target, places);
        }
    }

    fn check_key(&mut self, path: &str, key: &KeyRule, prefix: &str) {
        if key.header.is_some() == key.segment.is_some() {
            self.push(
                path.to_owned(),
                &json!(key),
                "must have exactly one of header and segment",
                "write either {header: x-horse} or {segment: 1}",
            );
            return;
        }
        let depth = paths::depth(prefix);
        if let Some(segment) = key.segment.filter(|it| *it < depth) {
            self.push(
                format!("{path}.segment"),
                &json!(segment),
                "must point past the prefix of the service (else all requests have the same key)",
                &format!("write {depth} for the first segment after the prefix"),
            );
        }
    }

    fn check_target(&mut self, path: &str, target: &Target, places: &Places) {
        if places.region_of(&target.data_centre).is_none() {
            self.push(
                format!("{path}.data_centre"),
                &json!(target.data_centre),
                "must be a data centre of the document",
                "correct the name or add the data centre to places.regions",
            );
        }
        if target.connections < target.slots {
            self.push(
                format!("{path}.connections"),
                &json!(target.connections),
                "must be at least the number of slots",
                &format!("raise connections to {} or lower slots", target.slots),
            );
        }
        self.check_address(format!("{path}.address"), &target.address);
    }

    fn check_address(&mut self, path: String, text: &str) {
        let Ok(address) = text.parse::<SocketAddr>() else {
            return;
        };
        let ip: IpAddr = address.ip().to_canonical();
        let address = SocketAddr::new(ip, address.port());
        if let Some(other) = self.addresses.get(&address) {
            let remedy = format!("correct the address here or at {other}");
            self.push(
                path,
                &json!(text),
                "must be unique among all targets",
                &remedy,
            );
            return;
        }
        self.addresses.insert(address, path);
    }

    /// Reports every repeated use of a name in the list at `path`.
    fn check_unique<'a>(
        &mut self,
        path: &str,
        field: &str,
        noun: &str,
        names: impl Iterator<Item = &'a str>,
    ) {
        let mut first_uses = HashMap::new();
        for (index, name) in names.enumerate() {
            let first = *first_uses.entry(name).or_insert(index);
            if first == index {
                continue;
            }
            self.push(
                format!("{path}[{index}]{field}"),
                &json!(name),
                &format!("must be unique among the {noun}"),
                &format!("change it or remove it; {path}[{first}]{field} has the same value"),
            );
        }
    }

    fn push(&mut self, path: String, value: &Value, rule: &str, remedy: &str) {
        self.problems.push(Problem::new(path, value, rule, remedy));
    }
}
