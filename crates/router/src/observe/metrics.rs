//! Counters and histograms of one host.

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use process::Exporter;
use refusal::Reason;

use super::LineKind;
use crate::gateway::{GatewayRequest, Rejection};

/// Histogram bucket boundaries in milliseconds: from the fastest targets to the longest deadlines
/// of both users' deployments.
const BUCKETS_MS: [f64; 14] = [
    5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 300.0, 500.0, 800.0, 1_000.0, 2_000.0, 3_000.0, 4_000.0,
    6_000.0,
];

/// Distance from this host to a data centre.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Distance {
    /// This host's own data centre.
    SamePlace,
    /// Another data centre of the same region.
    SameRegion,
    /// A data centre of another region.
    OtherRegion,
}

impl Distance {
    fn label(self) -> &'static str {
        match self {
            Self::SamePlace => "place",
            Self::SameRegion => "region",
            Self::OtherRegion => "regions",
        }
    }
}

/// Counters and histograms of one host.
pub struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    queue_refusals: Counter<u64>,
    late_starts: Counter<u64>,
    retries: Counter<u64>,
    configurations: Counter<u64>,
    store_calls: Counter<u64>,
    orders: Counter<u64>,
    pauses: Counter<u64>,
    paused_targets: Gauge<u64>,
    former_holds: Counter<u64>,
    departures: Counter<u64>,
    retired_connections: Counter<u64>,
    leaving_targets: Gauge<u64>,
    evacuated_places: Gauge<u64>,
    unknown_kinds: Gauge<u64>,
    departure_news_ms: Histogram<f64>,
    target_checks: Counter<u64>,
    cold_holds: Counter<u64>,
    cold_targets: Gauge<u64>,
    cold_checks: Counter<u64>,
    hop_bytes: Counter<u64>,
    log_lines_left_out: Counter<u64>,
    request_ms: Histogram<f64>,
    wait_ms: Histogram<f64>,
    target_ms: Histogram<f64>,
}

impl Metrics {
    /// Creates metrics with empty counters.
    pub fn new() -> Self {
        let exporter = Exporter::new();
        let meter = exporter.meter("router");
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| {
            let builder = meter.f64_histogram(name);
            builder.with_boundaries(BUCKETS_MS.to_vec()).build()
        };
        Self {
            requests: counter("requests"),
            refusals: counter("refusals"),
            queue_refusals: counter("queue_refusals"),
            late_starts: counter("late_starts"),
            retries: counter("retries"),
            configurations: counter("configurations_received"),
            store_calls: counter("store_calls"),
            orders: counter("orders"),
            pauses: counter("pauses"),
            paused_targets: meter.u64_gauge("paused_targets").build(),
            former_holds: counter("former_holds"),
            departures: counter("departures_learned"),
            retired_connections: counter("retired_connections"),
            leaving_targets: meter.u64_gauge("leaving_targets").build(),
            evacuated_places: meter.u64_gauge("evacuated_places").build(),
            unknown_kinds: meter.u64_gauge("routes_of_unknown_kind").build(),
            target_checks: counter("target_checks"),
            cold_holds: counter("requests_held_for_cold_targets"),
            cold_targets: meter.u64_gauge("cold_targets").build(),
            cold_checks: counter("cold_target_checks"),
            departure_news_ms: histogram("departure_news_ms"),
            hop_bytes: counter("hop_body_bytes"),
            log_lines_left_out: counter("log_lines_left_out"),
            request_ms: histogram("request_ms"),
            wait_ms: histogram("gate_wait_ms"),
            target_ms: histogram("target_ms"),
            exporter,
        }
    }

    /// Counts a completed request and records its duration.
    pub fn request(&self, request: &GatewayRequest, outcome: LineKind, took_ms: u64) {
        let labels = [
            KeyValue::new("route", request.route.clone()),
            KeyValue::new("service", request.service.clone()),
            KeyValue::new("outcome", outcome.label()),
        ];
        self.requests.add(1, &labels);
        self.request_ms.record(millis(took_ms), &labels);
    }

    /// Counts a refusal.
    pub fn refusal(&self, reason: Reason) {
        let labels = [KeyValue::new("reason", reason.label())];
        self.refusals.add(1, &labels);
    }

    /// Counts a refusal by an admission queue, by reason, route and whether the request waited.
    pub fn queue_refusal(&self, request: &GatewayRequest, rejection: Rejection) {
        let when = if rejection.waited {
            "waited"
        } else {
            "at_once"
        };
        let labels = [
            KeyValue::new("reason", rejection.reason.label()),
            KeyValue::new("route", request.route.clone()),
            KeyValue::new("when", when),
        ];
        self.queue_refusals.add(1, &labels);
    }

    /// Counts a request that was started after its objective had ended.
    pub fn late_start(&self, request: &GatewayRequest) {
        let labels = [KeyValue::new("route", request.route.clone())];
        self.late_starts.add(1, &labels);
    }

    /// Counts a retry, by the reason why the previous attempt failed.
    pub fn retry(&self, reason: Reason) {
        let labels = [KeyValue::new("reason", reason.label())];
        self.retries.add(1, &labels);
    }

    /// Records how long a request waited in the queue and how long its target took.
    pub fn attempt(&self, request: &GatewayRequest, waited_ms: u64, took_ms: u64) {
        let labels = [KeyValue::new("service", request.service.clone())];
        self.wait_ms.record(millis(waited_ms), &labels);
        self.target_ms.record(millis(took_ms), &labels);
    }

    /// Counts a configuration that was received from the store or from another host, by whether it
    /// is newer than the one in force.
    pub fn configuration(&self, from: &'static str, newer: bool) {
        let labels = [KeyValue::new("from", from), KeyValue::new("newer", newer)];
        self.configurations.add(1, &labels);
    }

    /// Counts a call to the store.
    pub fn store_call(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.store_calls.add(1, &labels);
    }

    /// Counts an order to a target.
    pub fn order(&self, kind: &'static str, outcome: &'static str) {
        let labels = [
            KeyValue::new("kind", kind),
            KeyValue::new("outcome", outcome),
        ];
        self.orders.add(1, &labels);
    }

    /// Counts a pause that a target of a service asked for.
    pub fn pause(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.pauses.add(1, &labels);
    }

    /// Records the number of targets in a pause.
    pub fn paused_targets(&self, count: usize) {
        self.paused_targets.record(count as u64, &[]);
    }

    /// Counts a hold of a previous owner, by how it ended.
    pub fn former_hold(&self, end: &'static str) {
        let labels = [KeyValue::new("end", end)];
        self.former_holds.add(1, &labels);
    }

    /// Counts an incarnation of which this host has learned that it is about to stop.
    pub fn leaving(&self, from: &'static str) {
        self.departures.add(1, &[KeyValue::new("from", from)]);
    }

    /// Records the longest time that may have passed between the store's acknowledgement that a
    /// target leaves and the news of it, by where the news came from.
    pub fn departure_news(&self, from: &'static str, unheard_ms: u64) {
        let labels = [KeyValue::new("from", from)];
        self.departure_news_ms.record(millis(unheard_ms), &labels);
    }

    /// Counts a health check of a target that may have left, by whether it serves.
    pub fn target_check(&self, serves: bool) {
        self.target_checks
            .add(1, &[KeyValue::new("serves", serves)]);
    }

    /// Counts a request of a service that waits for the pace of cold targets.
    pub fn held_for_cold(&self, service: &str) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.cold_holds.add(1, &labels);
    }

    /// Records the number of targets in use that are not known to be warm.
    pub fn cold_targets(&self, count: usize) {
        self.cold_targets.record(count as u64, &[]);
    }

    /// Counts a health check of a target that may be cold, by its result.
    pub fn cold_check(&self, result: &'static str) {
        self.cold_checks.add(1, &[KeyValue::new("result", result)]);
    }

    /// Records the number of targets that leave although their entry says that they are ready.
    pub fn leaving_targets(&self, count: usize) {
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.leaving_targets.record(count, &[]);
    }

    /// Records the number of evacuated data centres.
    pub fn evacuated_places(&self, count: usize) {
        self.evacuated_places.record(count as u64, &[]);
    }

    /// Records the number of routes in the configuration whose kind is not known.
    pub fn unknown_kinds(&self, count: usize) {
        self.unknown_kinds.record(count as u64, &[]);
    }

    /// Counts the body bytes of a forwarded request and of its answer.
    pub fn hop(&self, distance: Distance, sent: u64, received: u64) {
        for (direction, bytes) in [("sent", sent), ("received", received)] {
            let labels = [
                KeyValue::new("link", distance.label()),
                KeyValue::new("direction", direction),
            ];
            self.hop_bytes.add(bytes, &labels);
        }
    }

    /// Counts a connection to another host that is used for no new requests, because the host did
    /// not answer on it.
    pub fn retired_connection(&self) {
        self.retired_connections.add(1, &[]);
    }

    /// Counts a suppressed log line.
    pub fn line_left_out(&self, kind: LineKind) {
        let labels = [KeyValue::new("kind", kind.label())];
        self.log_lines_left_out.add(1, &labels);
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.exporter.render()
    }
}

#[expect(clippy::cast_precision_loss, reason = "far below 2^52 ms")]
fn millis(ms: u64) -> f64 {
    ms as f64
}
