//! The routes whose requests a queue has been offered.

use std::collections::HashMap;

use super::{RouteLoad, Ticket, route_stats::RouteStats, service_time::ServiceTime};
use crate::Millis;

/// Number of routes above which the one that has been idle for longest is forgotten.
const MAX_ROUTES: usize = 64;

/// Statistics of each route at one queue.
#[derive(Clone, Debug, Default)]
pub(super) struct Routes {
    routes: HashMap<u64, RouteStats>,
}

impl Routes {
    pub(super) fn on_offer(&mut self, now: Millis, ticket: &Ticket) {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(&ticket.route) {
            let idle = self.routes.iter().min_by_key(|it| it.1.last_offer());
            if let Some(idle) = idle.map(|it| *it.0) {
                self.routes.remove(&idle);
            }
        }
        let stats = self.routes.entry(ticket.route).or_default();
        stats.on_offer(now, ticket);
    }

    pub(super) fn get(&self, route: u64) -> Option<&RouteStats> {
        self.routes.get(&route)
    }

    pub(super) fn get_mut(&mut self, route: u64) -> Option<&mut RouteStats> {
        self.routes.get_mut(&route)
    }

    /// The service time of a route, or `all` as long as none of its requests was answered.
    pub(super) fn service<'a>(&'a self, route: u64, all: &'a ServiceTime) -> &'a ServiceTime {
        let own = self.routes.get(&route).map(|it| &it.service);
        own.filter(|it| it.has_samples()).unwrap_or(all)
    }

    pub(super) fn is_starved(&self, route: u64, now: Millis) -> bool {
        self.get(route).is_some_and(|it| it.is_starved(now))
    }

    /// What each route has lately demanded.
    pub(super) fn loads(&self, now: Millis, all: &ServiceTime) -> Vec<RouteLoad> {
        let load = |(&route, stats): (&u64, &RouteStats)| {
            let work_us = self.service(route, all).mean_us();
            RouteLoad {
                priority: stats.priority,
                work_us,
                load: stats.arrivals.load(now, work_us),
            }
        };
        self.routes.iter().map(load).collect()
    }
}
