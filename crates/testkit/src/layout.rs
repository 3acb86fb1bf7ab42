//! The configuration of a test deployment.

use std::{
    collections::HashMap,
    path::{Path, PathBuf},
    sync::Arc,
};

use document::{Document, Service};

use crate::client::Call;

/// Connections on which faults can be injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Proxied {
    /// From hosts to targets; one proxy for each target.
    Targets,
    /// From hosts to the platform; one proxy for each host.
    Platform,
    /// Between hosts; two proxies for each host, one for requests and one for control messages.
    Hosts,
    /// Between data centres: from hosts to the hosts and targets of other data centres, and from
    /// each host to the platform. Cannot be combined with the other kinds.
    DataCentres,
}

/// The configuration from which a deployment is started.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The document; the deployment fills in the addresses of the targets.
    pub document: Document,
    /// The data centre of each host.
    pub host_data_centres: Vec<Arc<str>>,
    /// Connections that go through proxies.
    pub proxied: Vec<Proxied>,
    /// Processing time of each request in milliseconds.
    pub work_ms: u64,
    /// Size of the body of each answer in bytes.
    pub body_bytes: usize,
    /// Time for requests in flight to end at a stop of a host, in milliseconds; `None` for the
    /// host's default.
    pub drain_ms: Option<u64>,
}

impl Layout {
    /// Reads a document and keeps `targets` targets of each service, in the first two data centres
    /// of the first region; each of these data centres gets two hosts.
    ///
    /// # Panics
    ///
    /// Panics if the file is not a document with enough targets.
    #[must_use]
    pub fn new(file: &Path, targets: usize) -> Self {
        let document = read(file);
        let data_centres = document.places.regions[0].data_centres.iter().take(2);
        let data_centres: Vec<_> = data_centres.map(|it| it.name.clone()).collect();
        Self::spread(document, &data_centres, targets, 2)
    }

    /// Creates a layout from an example document of this repository with one data centre in each
    /// region. Each has half of the `targets` of each service and three hosts, so that all voters
    /// of a target are in its region.
    ///
    /// # Panics
    ///
    /// Panics if there is no such example.
    #[must_use]
    pub fn two_regions(name: &str, targets: usize) -> Self {
        let document = read(&example_file(name));
        let regions = document.places.regions.iter();
        let data_centres: Vec<_> = regions.map(|it| it.data_centres[0].name.clone()).collect();
        Self::spread(document, &data_centres, targets, 3)
    }

    /// Keeps `targets` targets of each service, spread over `data_centres`, each with `hosts`
    /// hosts.
    fn spread(
        mut document: Document,
        data_centres: &[Arc<str>],
        targets: usize,
        hosts: usize,
    ) -> Self {
        for service in &mut document.services {
            let mut kept: HashMap<Arc<str>, usize> = HashMap::new();
            service.targets.retain(|it| {
                let count = kept.entry(it.data_centre.clone()).or_default();
                *count += 1;
                data_centres.contains(&it.data_centre)
                    && *count <= targets.div_ceil(data_centres.len())
            });
            service.targets.truncate(targets);
            assert_eq!(
                service.targets.len(),
                targets,
                "{} has too few targets",
                service.name
            );
        }
        Self {
            document,
            host_data_centres: data_centres
                .iter()
                .flat_map(|it| std::iter::repeat_n(it.clone(), hosts))
                .collect(),
            proxied: Vec::new(),
            work_ms: 1,
            body_bytes: 1_024,
            drain_ms: None,
        }
    }

    /// Creates a layout from an example document of this repository, cut down as by [`Self::new`].
    ///
    /// # Panics
    ///
    /// Panics if there is no such example.
    #[must_use]
    pub fn example(name: &str, targets: usize) -> Self {
        Self::new(&example_file(name), targets)
    }

    /// Routes these connections through proxies.
    #[must_use]
    pub fn with_proxies(mut self, proxied: &[Proxied]) -> Self {
        self.proxied = proxied.to_vec();
        self
    }

    /// Sets the processing time of each request in milliseconds.
    #[must_use]
    pub fn with_work(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }

    /// Sets the time for requests in flight to end at a stop of a host, in milliseconds.
    #[must_use]
    pub fn with_drain(mut self, drain_ms: u64) -> Self {
        self.drain_ms = Some(drain_ms);
        self
    }

    /// Removes all other services from the document.
    #[must_use]
    pub fn with_only_service(mut self, name: &str) -> Self {
        self.document.services.retain(|it| &*it.name == name);
        self
    }

    /// Whether these connections go through proxies.
    #[must_use]
    pub fn is_proxied(&self, proxied: Proxied) -> bool {
        self.proxied.contains(&proxied)
    }

    /// The service with this name.
    ///
    /// # Panics
    ///
    /// Panics if the document has no such service.
    #[must_use]
    pub fn service(&self, name: &str) -> &Service {
        let service = self.document.services.iter().find(|it| &*it.name == name);
        service.unwrap_or_else(|| panic!("the document has no service {name}"))
    }

    /// A GET for `key`. The path always contains the key, also if a header selects it, so that the
    /// answers for different keys differ.
    #[must_use]
    pub fn get(&self, service: &str, key: &str) -> Call {
        let service = self.service(service);
        let call = Call::get(format!("{}/{key}", service.prefix));
        with_key(service, key, call)
    }

    /// A POST for `key` with an idempotency key.
    #[must_use]
    pub fn post(&self, service: &str, key: &str, idempotency_key: &str) -> Call {
        let service = self.service(service);
        let body = format!("body of {idempotency_key}");
        let call = Call::post(format!("{}/{key}", service.prefix), body);
        with_key(service, key, call).with_header("idempotency-key", idempotency_key)
    }
}

fn with_key(service: &Service, key: &str, call: Call) -> Call {
    match &service.key.header {
        Some(name) => call.with_header(name, key),
        None => call,
    }
}

/// The file of an example document of this repository.
fn example_file(name: &str) -> PathBuf {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    examples.join(name).with_extension("yaml")
}

fn read(file: &Path) -> Document {
    let text = std::fs::read_to_string(file)
        .unwrap_or_else(|err| panic!("{} cannot be read: {err}", file.display()));
    document::parse(&text).unwrap_or_else(|problems| {
        panic!("{} is not a valid document: {problems:?}", file.display())
    })
}
