//! The measures of the crate `measure` for a test: churn, imbalance and unavailability.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

use measure::{Measures, Moved, Span, TargetLoad, Traffic};

use crate::{
    deployment::{Deployment, Owner},
    load::Sample,
};

impl Deployment {
    /// The owners of the keys `key0` to `key<count - 1>`, as reported by a host.
    ///
    /// # Panics
    ///
    /// Panics if the host does not know an owner.
    pub async fn owners(&self, host: usize, service: &str, count: usize) -> Vec<Owner> {
        let mut owners = Vec::new();
        for number in 0..count {
            owners.push(self.owner(host, service, &format!("key{number}")).await);
        }
        owners
    }

    /// The measures of a service since its start: imbalance of the accepted requests, churn between
    /// two look-ups of the owners of the same keys, and unavailable time of the paths in `samples`.
    #[must_use]
    pub fn measures(
        &self,
        service: &str,
        before: &[Owner],
        after: &[Owner],
        samples: &[Sample],
    ) -> Measures {
        let mut loads: BTreeMap<String, (usize, usize)> = BTreeMap::new();
        for node in self.targets.values() {
            if *node.service.name == *service {
                loads.insert(node.target.name.to_string(), (0, node.target.slots));
            }
        }
        for run in self.history().runs {
            if let Some((load, _)) = loads.get_mut(&run.target) {
                *load += 1;
            }
        }
        let load = |(load, slots)| TargetLoad {
            load: to_float(load),
            capacity: to_float(slots),
        };
        let loads: Vec<_> = loads.into_values().map(load).collect();
        let moved = before.iter().zip(after);
        let moved = moved.filter(|(it, now)| it.target != now.target).count();
        let share = to_float(moved) / to_float(before.len());
        let moved = Moved {
            keys: share,
            requests: share,
            cold_ms: self.layout.service(service).cold_ms,
            bytes: 0,
        };
        let no_traffic = Traffic {
            bytes: 0,
            price: 0.0,
        };
        Measures {
            churn: measure::churn(&[moved], &no_traffic),
            imbalance: measure::imbalance(&loads),
            unavailable: measure::unavailable(&self.outages(samples)),
        }
    }

    /// The outages of each path: from the start of the first failed request to the end of the next
    /// successful one, or of the last failed one if none succeeded after it.
    fn outages(&self, samples: &[Sample]) -> Vec<Span> {
        let paths: BTreeSet<_> = samples.iter().map(|it| &it.call.path).collect();
        let mut down: HashMap<_, (Instant, Instant)> = HashMap::new();
        let mut spans = Vec::new();
        for it in samples {
            let served = matches!(&it.reply, Ok(reply) if self.is_correct(&it.call, reply));
            let end = it.start + it.took;
            if !served {
                down.entry(&it.call.path).or_insert((it.start, end)).1 = end;
            } else if let Some((start, _)) = down.remove(&it.call.path) {
                spans.push((start, end));
            }
        }
        spans.extend(down.into_values());
        let span = |(start, end): (Instant, Instant)| Span {
            share: 1.0 / to_float(paths.len()),
            seconds: (end - start).as_secs_f64(),
        };
        spans.into_iter().map(span).collect()
    }
}

#[expect(clippy::cast_precision_loss, reason = "tests have few keys and runs")]
fn to_float(number: usize) -> f64 {
    number as f64
}
