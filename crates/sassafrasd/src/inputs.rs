//! Builds the inputs of `placement` from the state of the host.

use std::{collections::HashMap, sync::Arc};

use ownership::TargetId;
use peer::{LoadSummary, Reach};
use placement::{
    Balance, HostInput, HostState, HotKey, Input, PlannerState, RegionShare, ServiceInput,
    SliceInput, TargetInput, TargetState,
};
use platform::{MemberKind, MemberState};
use smallvec::SmallVec;

use crate::{
    driver::is_leaving,
    host::Host,
    rates::{SliceRate, SmoothedRates},
    view::View,
};

/// Cost of a megabyte between regions, as a number of requests delayed by one second.
const LINK_PRICE_PER_MB: f64 = 0.2;

/// Minimum number of requests in a round, on average for each target; the loads of a round with
/// fewer are ignored. At this number, chance accounts for about 5% of a target's load over the
/// smoothed rounds, which the planner tolerates.
const MIN_REQUESTS_PER_TARGET: u64 = 40;

/// Assumed size of an answer if none was measured.
const DEFAULT_ANSWER_BYTES: u64 = 4 * 1024;

/// The balance weights of the document.
pub fn balance(view: &View) -> Balance {
    let it = &view.document.balance;
    Balance {
        growth: it.growth,
        churn: it.churn,
        imbalance: it.imbalance,
        unavailable: it.unavailable,
    }
}

/// The hosts of the membership list.
pub fn hosts(host: &Host, view: &View) -> Vec<HostInput> {
    let members = host.members.load();
    let mut out = Vec::new();
    for member in &members.members {
        if member.kind != MemberKind::Host {
            continue;
        }
        out.push(HostInput {
            name: Arc::clone(&member.name),
            data_centre: Arc::clone(&member.place),
            region: view.region_name(&member.place),
            state: match member.state {
                MemberState::Live => HostState::Live,
                MemberState::Leaving => HostState::Leaving,
            },
        });
    }
    out
}

/// The targets of a service. `target_reports` has the milliseconds for which each target's gateway
/// has served it, and whether the target is draining.
pub fn targets(
    host: &Host,
    view: &View,
    service: &document::Service,
    target_reports: &HashMap<Arc<str>, (u64, Draining)>,
) -> Vec<TargetInput> {
    let mut out = Vec::with_capacity(service.targets.len());
    for target in &service.targets {
        let id = TargetId {
            service: Arc::clone(&service.name),
            target: Arc::clone(&target.name),
        };
        let state = match target_reports.get(&target.name) {
            _ if host.reach(&id) == Reach::Unreachable => TargetState::Lost,
            Some((_, Draining::Yes)) => TargetState::Leaving,
            _ if is_leaving(host, &id) => TargetState::Leaving,
            Some((age_ms, _)) if *age_ms < service.cold_ms * 4 => {
                TargetState::Joining { age_ms: *age_ms }
            }
            _ => TargetState::Live,
        };
        out.push(TargetInput {
            name: Arc::clone(&target.name),
            capacity: u32::try_from(target.slots).unwrap_or(u32::MAX),
            data_centre: Arc::clone(&target.data_centre),
            region: view.region_name(&target.data_centre),
            cold_ms: service.cold_ms,
            state,
        });
    }
    out
}

/// Whether a target says that it is draining.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Draining {
    /// The target says so.
    Yes,
    /// The target does not say so.
    No,
}

/// The input for the first slices of a service.
pub fn service_input(host: &Host, view: &View, service: &document::Service) -> ServiceInput {
    let targets = targets(host, view, service, &HashMap::new());
    ServiceInput {
        name: Arc::clone(&service.name),
        targets,
    }
}

/// The load of one service since the last round, as measured by all hosts.
#[derive(Debug, Default)]
pub struct MeasuredLoad {
    target_reports: HashMap<Arc<str>, (u64, Draining)>,
    slices: HashMap<u64, SliceRate>,
    keys: Vec<HotKey>,
    requests: u64,
}

impl MeasuredLoad {
    /// Combines the summaries of all hosts for one service.
    pub fn new(service: &str, summaries: &[LoadSummary]) -> Self {
        let mut out = Self::default();
        for summary in summaries {
            for it in &summary.targets {
                if &*it.target.service != service {
                    continue;
                }
                let draining = if it.draining {
                    Draining::Yes
                } else {
                    Draining::No
                };
                out.target_reports
                    .insert(Arc::clone(&it.target.target), (it.age_ms, draining));
            }
            for it in &summary.slices {
                if &*it.service != service || it.requests == 0 {
                    continue;
                }
                let rate = SliceRate {
                    requests_per_s: rate(it.requests, summary.span_ms),
                    remote: ratio(it.remote, it.requests),
                    bytes: it.bytes / it.requests,
                };
                out.requests += it.requests;
                out.slices.insert(it.low, rate);
            }
            for it in &summary.hot {
                if &*it.service != service {
                    continue;
                }
                out.keys.push(HotKey {
                    hash: it.hash,
                    load: rate(it.requests, summary.span_ms),
                });
            }
        }
        out
    }

    /// Smooths the loads over several rounds.
    pub fn smooth(&mut self, host: &Host, service: &str, rates: &mut SmoothedRates) {
        let table = host.table();
        let bounds = table
            .slices(service)
            .map(|it| (it.slice.low, it.slice.high));
        rates.smooth(bounds.collect(), &mut self.slices, &mut self.keys);
    }

    /// Drops the loads if there were too few requests to tell uneven load from chance, so that the
    /// planner moves no slices for them. Slices of leaving and lost targets still move.
    pub fn drop_noise(&mut self, targets: usize) {
        if self.requests >= MIN_REQUESTS_PER_TARGET * targets as u64 {
            return;
        }
        self.slices.clear();
        self.keys.clear();
    }

    fn answer_bytes(&self) -> u64 {
        let mut bytes = 0.0;
        let mut requests = 0.0;
        for it in self.slices.values() {
            bytes += it.requests_per_s * ratio(it.bytes, 1);
            requests += it.requests_per_s;
        }
        if requests == 0.0 {
            return DEFAULT_ANSWER_BYTES;
        }
        to_integer(bytes / requests)
    }
}

/// The input of a planning round for one service.
pub fn plan_input(
    host: &Host,
    view: &View,
    service: &document::Service,
    measured: MeasuredLoad,
    state: PlannerState,
) -> Input {
    let table = host.table();
    let mut slices = Vec::new();
    for owner in table.slices(&service.name) {
        let slice = owner.slice;
        let region = view.target(&service.name, &slice.target).map_or_else(
            || Arc::from(""),
            |(_, it)| view.region_name(&it.data_centre),
        );
        let rate = measured.slices.get(&slice.low).copied().unwrap_or_default();
        slices.push(SliceInput {
            low: slice.low,
            high: slice.high,
            owner: Arc::clone(&slice.target),
            load: rate.requests_per_s,
            callers: caller_shares(view, &region, rate.remote),
            // The amount of state that a new owner fetches is not known; it is estimated as the
            // answers of one second.
            bytes: to_integer(rate.requests_per_s * ratio(rate.bytes, 1)),
        });
    }
    Input {
        service: Arc::clone(&service.name),
        slices,
        targets: targets(host, view, service, &measured.target_reports),
        answer_bytes: measured.answer_bytes(),
        hot: measured.keys,
        link_price: LINK_PRICE_PER_MB,
        now_ms: host.clock.now(),
        state,
    }
}

/// Destinations for the slices of a target that is lost or draining.
pub fn spread(host: &Host, target: &TargetId) -> HashMap<u64, Arc<str>> {
    let Some(view) = host.view.load_full() else {
        return HashMap::new();
    };
    let Some(service) = view.service(&target.service) else {
        return HashMap::new();
    };
    let mut input = plan_input(
        host,
        &view,
        service,
        MeasuredLoad::default(),
        PlannerState::default(),
    );
    if !input.targets.iter().any(|it| it.name == target.target) {
        // The document no longer names the target.
        input.targets.push(TargetInput {
            name: Arc::clone(&target.target),
            capacity: 0,
            data_centre: Arc::from(""),
            region: Arc::from(""),
            cold_ms: 0,
            state: TargetState::Lost,
        });
    }
    for it in &mut input.targets {
        let id = TargetId {
            service: Arc::clone(&service.name),
            target: Arc::clone(&it.name),
        };
        if it.name == target.target || host.reach(&id) == Reach::Unreachable {
            it.state = TargetState::Lost;
        }
    }
    let moves = placement::spread(&input, &balance(&view), &target.target);
    moves.into_iter().map(|it| (it.low, it.to)).collect()
}

/// Shares of the requests by the region of their callers. All callers outside the owner's region
/// count as callers from the first other region of the document.
fn caller_shares(view: &View, region: &Arc<str>, remote: f64) -> SmallVec<[RegionShare; 2]> {
    let mut out = SmallVec::new();
    out.push(RegionShare {
        region: Arc::clone(region),
        share: 1.0 - remote,
    });
    let other = view
        .document
        .places
        .regions
        .iter()
        .find(|it| it.name != *region);
    if let Some(other) = other {
        out.push(RegionShare {
            region: Arc::clone(&other.name),
            share: remote,
        });
    }
    out
}

fn rate(requests: u64, span_ms: u64) -> f64 {
    ratio(requests.saturating_mul(1_000), span_ms.max(1))
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts of one interval fit a double"
)]
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes and rates are not negative, and the cast saturates"
)]
fn to_integer(number: f64) -> u64 {
    number as u64
}
