//! Metrics of the process.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
};

use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use process::Exporter;
use refusal::Reason;

/// Counters and histograms, exported in the Prometheus text format.
pub struct Metrics {
    exporter: Exporter,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    retries: Counter<u64>,
    link_bytes: Counter<u64>,
    shared_answers: Counter<u64>,
    latency: Histogram<f64>,
    refusal_counts: [AtomicU64; Reason::ALL.len()],
    retry_counts: Mutex<BTreeMap<&'static str, u64>>,
}

impl Metrics {
    /// Creates the metrics of one process.
    pub fn new() -> Self {
        let exporter = Exporter::new();
        let meter = exporter.meter("sassafrasd");
        Self {
            exporter,
            requests: meter.u64_counter("requests").build(),
            refusals: meter.u64_counter("refusals").build(),
            retries: meter.u64_counter("retries").build(),
            link_bytes: meter.u64_counter("link_bytes").build(),
            shared_answers: meter.u64_counter("shared_answers").build(),
            latency: meter.f64_histogram("request_ms").build(),
            refusal_counts: [const { AtomicU64::new(0) }; Reason::ALL.len()],
            retry_counts: Mutex::default(),
        }
    }

    /// Counts a request of a service and records the milliseconds to the head of its answer.
    pub fn request(&self, service: &str, took_ms: f64) {
        let labels = [KeyValue::new("service", service.to_owned())];
        self.requests.add(1, &labels);
        self.latency.record(took_ms, &labels);
    }

    /// Counts a refusal.
    pub fn refusal(&self, reason: Reason) {
        self.refusals
            .add(1, &[KeyValue::new("reason", reason.label())]);
        if let Some(idx) = Reason::ALL.iter().position(|it| *it == reason) {
            self.refusal_counts[idx].fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Counts a retry.
    pub fn retry(&self, reason: &'static str) {
        self.retries.add(1, &[KeyValue::new("reason", reason)]);
        let mut retry_counts = self.retry_counts.lock().expect("lock is not poisoned");
        *retry_counts.entry(reason).or_default() += 1;
    }

    /// Counts a request that was answered with the answer to an equal one.
    pub fn shared(&self, service: &str) {
        self.shared_answers
            .add(1, &[KeyValue::new("service", service.to_owned())]);
    }

    /// Counts bytes that cross the link between regions.
    pub fn link(&self, service: &str, direction: &'static str, bytes: u64) {
        let labels = [
            KeyValue::new("service", service.to_owned()),
            KeyValue::new("direction", direction),
        ];
        self.link_bytes.add(bytes, &labels);
    }

    /// The number of refusals by label; labels without refusals are left out.
    pub fn refusals(&self) -> BTreeMap<&'static str, u64> {
        let mut out = BTreeMap::new();
        for (reason, count) in Reason::ALL.iter().zip(&self.refusal_counts) {
            let count = count.load(Ordering::Relaxed);
            if count == 0 {
                continue;
            }
            out.insert(reason.label(), count);
        }
        out
    }

    /// The number of retries by label.
    pub fn retries(&self) -> BTreeMap<&'static str, u64> {
        self.retry_counts
            .lock()
            .expect("lock is not poisoned")
            .clone()
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.exporter.render()
    }
}
