//! Export of metrics in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// Collects the metrics of the process.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an exporter without meters.
    ///
    /// # Panics
    ///
    /// Does not panic: a new registry accepts the exporter.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .expect("a new registry accepts the exporter");
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Self { registry, provider }
    }

    /// A meter whose instruments are exported.
    #[must_use]
    pub fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// All metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut out = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut out) {
            log::warn!("metrics cannot be encoded: {err}");
        }
        out
    }
}

impl Default for Exporter {
    fn default() -> Self {
        Self::new()
    }
}
