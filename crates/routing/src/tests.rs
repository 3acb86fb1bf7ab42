use std::{collections::BTreeMap, sync::Arc};

use smallvec::smallvec;

use crate::{
    Catalog, CatalogChange, CatalogError, CatalogParts, ColdLimit, Limits, Ownership, Picker,
    Regions, Repeat, Route, Service, Share, Volume,
};

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: format!("r{prefix}").into(),
        prefix: prefix.into(),
        repeat: Repeat::Allowed,
        timeout_ms: 1_000,
        objective_ms: 300,
        priority: 0,
        attempts: 2,
        shares: smallvec![Share {
            service: service.into(),
            weight: 1,
        }],
        volume: Volume::Small,
        regions: Regions::new(),
    }
}

fn parts(routes: Vec<Route>) -> CatalogParts {
    CatalogParts {
        version: 7,
        hosts: BTreeMap::from([(Arc::from("a.example"), routes)]),
        services: vec![Service {
            name: "archive".into(),
            health: "/healthz".into(),
            connections: 10,
            ownership: Ownership::Shared,
            cold: None,
        }],
        limits: Limits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_ms: 3_000,
            idle_ms: 15_000,
        },
    }
}

/// Guards against a short prefix that takes precedence over a longer one, and against a host that
/// is not found because of its case or port.
#[test]
fn longest_prefix_wins() {
    struct Case {
        host: &'static str,
        path: &'static str,
        prefix: Option<&'static str>,
    }
    let routes = vec![
        route("/a/", "archive"),
        route("/a/b/", "archive"),
        route("/c/", "archive"),
    ];
    let catalog = Catalog::new(parts(routes)).expect("the parts are valid");
    let cases = [
        Case {
            host: "a.example",
            path: "/a/x",
            prefix: Some("/a/"),
        },
        Case {
            host: "a.example",
            path: "/a/b/x",
            prefix: Some("/a/b/"),
        },
        Case {
            host: "A.Example:8080",
            path: "/c/",
            prefix: Some("/c/"),
        },
        Case {
            host: "a.example",
            path: "/a",
            prefix: None,
        },
        Case {
            host: "a.example",
            path: "/d/",
            prefix: None,
        },
        Case {
            host: "b.example",
            path: "/a/x",
            prefix: None,
        },
    ];
    for case in cases {
        let found = catalog.find(case.host, case.path).map(|it| &*it.prefix);
        assert_eq!(found, case.prefix, "{} {}", case.host, case.path);
    }
}

/// Guards against the acceptance of a configuration under which requests cannot be served.
#[test]
fn invalid_configurations_are_refused() {
    let mut zero_weight = route("/a/", "archive");
    zero_weight.shares[0].weight = 0;
    let mut zero_attempts = route("/a/", "archive");
    zero_attempts.attempts = 0;
    let cases = [
        (route("/a/", "other"), "service other is not defined"),
        (zero_weight, "add up to 0"),
        (zero_attempts, "at least 1"),
        (route("a/", "archive"), "begin and end with a slash"),
    ];
    for (route, expected) in cases {
        let err: CatalogError = Catalog::new(parts(vec![route])).expect_err("the route is invalid");
        assert!(err.to_string().contains(expected), "{err}");
    }
}

/// Guards against a share that gets more or less than its weight says.
#[test]
fn picks_follow_weights() {
    let shares = [("a", 90), ("b", 10), ("c", 0)].map(|(service, weight)| Share {
        service: service.into(),
        weight,
    });
    let mut picker = Picker::default();
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let share = picker.pick(&shares).expect("some weight is positive");
        *counts.entry(&*share.service).or_insert(0) += 1;
    }
    assert_eq!(counts, BTreeMap::from([("a", 180), ("b", 20)]));
}

/// Guards against a catalog that differs after conversion to its serialised form and back.
#[test]
fn catalogs_survive_a_round_trip() {
    let catalog = Catalog::new(parts(vec![route("/a/", "archive")])).expect("the parts are valid");
    let parts = CatalogParts::from(catalog.clone());
    assert_eq!(Catalog::new(parts).expect("the parts are valid"), catalog);
}

/// Guards against a host that applies a change and handles requests by another configuration than
/// the operator's, and against changes as large as the configuration.
#[test]
fn a_change_results_in_the_new_version() {
    struct Case {
        name: &'static str,
        old: Vec<Route>,
        new: Vec<Route>,
        /// Routes in the change; `None` if it cannot be expressed.
        routes: Option<usize>,
    }
    let slow = Route {
        timeout_ms: 2_000,
        ..route("/b/", "archive")
    };
    let a = || route("/a/", "archive");
    let b = || route("/b/", "archive");
    let long = || route("/a/long/", "archive");
    let case = |name, old, new, routes| Case {
        name,
        old,
        new,
        routes,
    };
    let cases = [
        case("nothing", vec![a(), b()], vec![b(), a()], Some(0)),
        case("added", vec![a()], vec![a(), b(), long()], Some(2)),
        case("removed", vec![a(), b()], vec![b()], Some(0)),
        case("all removed", vec![a()], vec![], Some(0)),
        case("changed", vec![a(), b()], vec![a(), slow], Some(1)),
        case("one prefix twice", vec![a()], vec![a(), a()], None),
    ];
    for case in cases {
        let old = Catalog::new(parts(case.old)).expect("the parts are valid");
        let mut new = parts(case.new);
        new.version = 8;
        new.limits.idle_ms = 9_000;
        let hosts = [(Arc::from("b.example"), vec![a()])];
        new.hosts.extend(hosts.clone());
        let new = Catalog::new(new).expect("the parts are valid");
        let change = CatalogChange::between(&old, &new);
        // One route of the new host is always sent.
        let routes = change.as_ref().map(|it| it.routes() - 1);
        assert_eq!(routes, case.routes, "{}", case.name);
        let Some(change) = change else { continue };
        assert_eq!((change.from, change.version), (7, 8), "{}", case.name);
        assert_eq!(change.apply(&old), Ok(new.clone()), "{}", case.name);
        let back = CatalogChange::between(&new, &old).expect("hosts can be removed");
        assert_eq!(back.apply(&new), Ok(old), "{}", case.name);
    }
}

/// Guards against keys that are owned where a restricted route must not send its requests.
#[test]
fn keys_are_owned_where_all_routes_may_go() {
    struct Case {
        name: &'static str,
        /// The regions of each route of the service.
        routes: &'static [&'static [&'static str]],
        regions: &'static [&'static str],
    }
    let cases = [
        Case {
            name: "no route is restricted",
            routes: &[&[], &[]],
            regions: &[],
        },
        Case {
            name: "one of two is restricted",
            routes: &[&[], &["est"]],
            regions: &["est"],
        },
        Case {
            name: "two share a region",
            routes: &[&["est", "ovest"], &["ovest"]],
            regions: &["ovest"],
        },
        Case {
            name: "two have none in common",
            routes: &[&["est"], &["ovest"]],
            regions: &[],
        },
    ];
    for case in cases {
        let mut routes = Vec::new();
        for (idx, regions) in case.routes.iter().enumerate() {
            routes.push(Route {
                regions: regions.iter().map(|it| Arc::from(*it)).collect(),
                ..route(&format!("/{idx}/"), "archive")
            });
        }
        // A route of another service restricts nothing.
        routes.push(Route {
            regions: smallvec!["nord".into()],
            ..route("/other/", "other")
        });
        let mut parts = parts(routes);
        let other = Service {
            name: "other".into(),
            ..parts.services[0].clone()
        };
        parts.services.push(other);
        let catalog = Catalog::new(parts).expect("the parts are valid");
        let regions = catalog.key_regions("archive");
        let regions: Vec<&str> = regions.iter().map(|it| &**it).collect();
        assert_eq!(regions, case.regions, "{}", case.name);
    }
}

/// Guards against a deployment whose requests are ordered differently although its configuration
/// states no uneven load, and against one that states it and is served in the former order.
#[test]
fn queues_go_by_objective_where_the_load_is_uneven() {
    struct Case {
        name: &'static str,
        routes: Vec<Route>,
        cold: bool,
        expected: bool,
    }
    let plain = || route("/a/", "archive");
    let bulk = || Route {
        volume: Volume::Large,
        ..route("/b/", "archive")
    };
    let urgent = || Route {
        priority: 1,
        ..route("/c/", "archive")
    };
    let no_slack = || Route {
        objective_ms: 1_000,
        ..plain()
    };
    let elsewhere = || Route {
        volume: Volume::Large,
        ..route("/d/", "other")
    };
    let case = |name, routes, cold, expected| Case {
        name,
        routes,
        cold,
        expected,
    };
    let cases = [
        case("one kind of load", vec![plain()], false, false),
        case("priorities only", vec![plain(), urgent()], false, false),
        case("large bodies", vec![bulk()], false, true),
        case("cold targets", vec![plain()], true, true),
        case("cold, no slack", vec![no_slack()], true, false),
        case(
            "bulk elsewhere, one kind",
            vec![plain(), elsewhere()],
            false,
            false,
        ),
        case(
            "bulk elsewhere, priorities",
            vec![plain(), urgent(), elsewhere()],
            false,
            true,
        ),
    ];
    for case in cases {
        let mut parts = parts(case.routes);
        let mut other = parts.services[0].clone();
        other.name = "other".into();
        parts.services.push(other);
        parts.services[0].cold = case.cold.then_some(ColdLimit {
            warmup_ms: 5_000,
            interval_ms: 200,
        });
        let catalog = Catalog::new(parts).expect("the parts are valid");
        let actual = catalog.goes_by_objective("archive");
        assert_eq!(actual, case.expected, "{}", case.name);
    }
}
