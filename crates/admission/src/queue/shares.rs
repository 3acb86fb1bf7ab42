//! Fair sharing of service time between flows (callers or keys).

use std::collections::HashMap;

/// Number of flows up to which those without waiting or running requests are kept if they received
/// more than their share. Above it, those whose excess is used up are dropped, and if that is not
/// enough, all of them, which bounds the memory at a small cost in fairness.
const MAX_IDLE_FLOWS: usize = 1_024;

#[derive(Clone, Copy, Debug)]
struct Flow {
    /// Service received in microseconds, on the scale of [`Shares::virtual_us`].
    received_us: u64,
    /// Requests of the flow that wait or run.
    active: usize,
}

/// Start-time fair queueing: the flow that has received the least service goes first.
///
/// The virtual time is the service received by a flow with exactly its share. A flow that becomes
/// active starts there, so that neither an idle flow nor a new one gets credit beyond one share.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    flows: HashMap<u64, Flow>,
    /// Number of flows with requests that wait or run.
    active_flows: u64,
    /// The virtual time, in microseconds.
    virtual_us: u64,
}

impl Shares {
    /// Counts a request of the flow that waits or runs.
    pub(super) fn add_request(&mut self, flow: u64) {
        let virtual_us = self.virtual_us;
        let flow = self.flows.entry(flow).or_insert(Flow {
            received_us: virtual_us,
            active: 0,
        });
        if flow.active == 0 {
            flow.received_us = flow.received_us.max(virtual_us);
            self.active_flows += 1;
        }
        flow.active += 1;
    }

    /// Removes a request of the flow that no longer waits or runs.
    pub(super) fn remove_request(&mut self, flow: u64) {
        let Some(known) = self.flows.get_mut(&flow) else {
            return;
        };
        known.active -= 1;
        if known.active > 0 {
            return;
        }
        self.active_flows -= 1;
        if known.received_us <= self.virtual_us {
            self.flows.remove(&flow);
            return;
        }
        if self.flows.len() > MAX_IDLE_FLOWS {
            let virtual_us = self.virtual_us;
            self.flows
                .retain(|_, it| it.active > 0 || it.received_us > virtual_us);
        }
        if self.flows.len() > MAX_IDLE_FLOWS {
            self.flows.retain(|_, it| it.active > 0);
        }
    }

    /// Charges the estimated service time when a request of the flow starts.
    pub(super) fn charge(&mut self, flow: u64, cost_us: u64) {
        if let Some(known) = self.flows.get_mut(&flow) {
            known.received_us += cost_us;
        }
    }

    /// Replaces the estimate by the time that the request took, and advances the virtual time by
    /// the share of one active flow.
    pub(super) fn settle(&mut self, flow: u64, charged_us: u64, took_us: u64) {
        let Some(known) = self.flows.get_mut(&flow) else {
            return;
        };
        known.received_us = known.received_us - charged_us + took_us;
        self.virtual_us += took_us / self.active_flows.max(1);
        let active = self.flows.values().filter(|it| it.active > 0);
        let least_us = active.map(|it| it.received_us).min().unwrap_or(0);
        self.virtual_us = self.virtual_us.max(least_us);
    }

    /// Service received above the share (positive) or below it (negative), in microseconds.
    pub(super) fn excess_us(&self, flow: u64) -> i64 {
        let received_us = self
            .flows
            .get(&flow)
            .map_or(self.virtual_us, |it| it.received_us);
        received_us
            .cast_signed()
            .wrapping_sub(self.virtual_us.cast_signed())
    }

    /// Requests of the flow that wait or run.
    pub(super) fn active(&self, flow: u64) -> usize {
        self.flows.get(&flow).map_or(0, |it| it.active)
    }
}
