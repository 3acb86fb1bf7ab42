//! Services and their targets.

use std::{borrow::Cow, sync::Arc};

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{paths, rules};

/// A service whose keys are each owned by one target.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name, unique in the document.
    #[garde(custom(rules::text(rules::name)))]
    #[schemars(extend("pattern" = rules::NAME_PATTERN))]
    pub name: Arc<str>,
    /// The path prefix of the service's requests.
    #[garde(custom(rules::text(rules::prefix)))]
    #[schemars(extend("pattern" = rules::PREFIX_PATTERN))]
    pub prefix: Arc<str>,
    /// Where a request contains its key.
    #[garde(dive)]
    pub key: KeyRule,
    /// Which requests may run more than once.
    #[garde(dive)]
    pub idempotent: Idempotent,
    /// Whether targets refuse orders with an old epoch and requests for slices they do not hold.
    #[garde(skip)]
    pub checks_grants: bool,
    /// Maximum duration of a request in milliseconds.
    #[garde(range(min = 10, max = 600_000))]
    pub deadline_ms: u64,
    /// Maximum size of a request body in bytes.
    #[garde(range(min = 1, max = 67_108_864))]
    pub body_limit: usize,
    /// Maximum number of requests that wait for each target.
    #[garde(range(max = 10_000))]
    pub queue: usize,
    /// Whether identical idempotent requests for one key may share an answer.
    #[serde(default)]
    #[garde(skip)]
    pub coalesce: bool,
    /// Priority on the link between regions; 0 is the highest.
    #[serde(default)]
    #[garde(range(max = 9))]
    pub priority: u8,
    /// Duration of the cold start after a slice moves, in milliseconds.
    #[garde(range(max = 600_000))]
    pub cold_ms: u64,
    /// Seconds for which a request that crashes targets is quarantined.
    #[garde(range(min = 1, max = 86_400))]
    pub quarantine_s: u64,
    /// Seconds after which a non-idempotent request that is sent again may run again.
    #[serde(default = "default_claim_s")]
    #[garde(range(min = 3_600, max = 2_592_000))]
    pub claim_s: u64,
    /// The targets of the service.
    #[garde(dive, length(min = 1, max = 4_096))]
    pub targets: Vec<Target>,
}

impl Service {
    /// Whether a request may run more than once.
    ///
    /// Paths with dot segments or empty segments never match `idempotent.paths`: a target that
    /// resolves `/portal/search/../book` would run a different request from the one matched here.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let listed = |it: &Arc<str>| paths::has_prefix(path, it);
        self.idempotent.methods.iter().any(|it| &**it == method)
            || (paths::is_resolved(path) && self.idempotent.paths.iter().any(listed))
    }

    /// The key of a request, or `None` if the request has none.
    ///
    /// `path` has no query; `header` looks up a header by name. Path segments are normalised, so
    /// that equivalent spellings such as `/archive/a1` and `/archive/%61%31` have the same owner.
    pub fn key_of<'a>(
        &self,
        path: &'a str,
        header: impl FnOnce(&str) -> Option<&'a str>,
    ) -> Option<Cow<'a, str>> {
        let key = match (&self.key.header, self.key.segment) {
            (Some(name), _) => Cow::Borrowed(header(name)?),
            (None, Some(index)) => paths::segment(path, index)?,
            (None, None) => return None,
        };
        (!key.is_empty()).then_some(key)
    }
}

/// The default of [`Service::claim_s`]: one day.
const fn default_claim_s() -> u64 {
    86_400
}

/// Where a request contains its key.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct KeyRule {
    /// Name of the header that contains the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(custom(rules::text(rules::header))))]
    #[schemars(extend("pattern" = rules::HEADER_PATTERN))]
    pub header: Option<Arc<str>>,
    /// Index of the path segment that contains the key, counted from 0 at the start of the path.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(range(max = 32)))]
    #[schemars(range(max = 32))]
    pub segment: Option<usize>,
}

/// Which requests are idempotent.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Idempotent {
    /// Methods whose requests are idempotent.
    #[garde(inner(custom(rules::text(rules::method))), length(max = 16))]
    #[schemars(inner(regex(pattern = rules::METHOD_PATTERN)))]
    pub methods: Vec<Arc<str>>,
    /// Path prefixes whose requests are idempotent with any method.
    #[serde(default)]
    #[garde(inner(custom(rules::text(rules::prefix))), length(max = 64))]
    #[schemars(inner(regex(pattern = rules::PREFIX_PATTERN)))]
    pub paths: Vec<Arc<str>>,
}

/// A server that owns keys and runs the requests for them.
#[derive(Clone, Debug, Deserialize, Eq, JsonSchema, PartialEq, Serialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// The name, unique in the service.
    #[garde(custom(rules::text(rules::name)))]
    #[schemars(extend("pattern" = rules::NAME_PATTERN))]
    pub name: Arc<str>,
    /// The data centre of the target.
    #[garde(skip)]
    pub data_centre: Arc<str>,
    /// IP address and port.
    #[garde(custom(rules::text(rules::address)))]
    pub address: Arc<str>,
    /// Requests that the target runs at once.
    #[garde(range(min = 1, max = 10_000))]
    pub slots: usize,
    /// Maximum number of connections that the target accepts.
    #[garde(range(min = 1, max = 65_535))]
    pub connections: usize,
    /// Time to open a connection to the target, in milliseconds.
    #[garde(range(max = 60_000))]
    pub connect_ms: u64,
    /// Expected time of a probe in milliseconds, added to the timeout of probes.
    #[garde(range(max = 60_000))]
    pub probe_ms: u64,
}
