//! Scenarios: the load of the callers and the capacity of the target.

/// Capacity of the target during a part of the run.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Requests that the target runs at the same time; it sheds further ones.
    pub slots: usize,
    /// Mean of the exponentially distributed service time.
    pub service_us: u64,
    /// Constant time that is added to each service time.
    pub extra_us: u64,
}

/// A route of a scenario.
#[derive(Clone, Copy, Debug)]
pub struct RouteClass {
    /// Its requests out of 100.
    pub share: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Mean service time in milliseconds; the sum of [`STAGES`] exponentially distributed parts.
    pub work_ms: u64,
    /// Time from arrival to the objective.
    pub objective_ms: u64,
}

/// Parts of the service time of a [`RouteClass`]; the standard deviation is half of the mean.
pub const STAGES: u64 = 4;

/// A recurring burst of load, with the routes that share the target and one retry for each refused
/// request after its `Retry-After`.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    /// The routes; their shares add up to 100.
    pub routes: &'static [RouteClass],
    /// Offered load outside of the burst, in percent of the capacity; [`Scenario::load_percent`] is
    /// that of the burst.
    pub usual_percent: u64,
    /// Length of a cycle, in the middle of which the burst is.
    pub cycle_us: u64,
    /// Length of the burst.
    pub length_us: u64,
    /// Number of cycles.
    pub cycles: u64,
    /// Time for which a caller waits in all.
    pub caller_ms: u64,
}

/// A scenario. The target is in the `usual` phase, except during the middle third of the run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name in the table.
    pub name: &'static str,
    /// Offered load in percent of the usual capacity.
    pub load_percent: u64,
    /// Relative load of each caller.
    pub callers: &'static [u64],
    /// Percentage of the requests that are for one key; the rest is spread over 64 keys.
    pub hot_percent: u64,
    /// Time from arrival to the deadline of each request.
    pub deadline_ms: u64,
    /// The target during the first and the last third.
    pub usual: Phase,
    /// The target during the middle third.
    pub middle: Phase,
    /// Time after the start of each third during which the target is cold; it is also the time that
    /// is added to each service time meanwhile.
    pub cold_us: u64,
    /// Requests that may wait.
    pub depth: usize,
    /// Routes and recurring bursts; `None` if the load is that of one route and constant.
    pub burst: Option<Burst>,
}

/// Waiting requests of a target (`docs/design.md`, section 7.3).
const DEPTH: usize = 16;

/// Length of a run in mean service times, enough for about 30,000 answers.
const RUN_SERVICE_TIMES: u64 = 15_000;

/// A target of the current scale: 2 slots (`docs/design.md`, section 1.4) and a service time of
/// 20 ms.
const TARGET: Phase = Phase {
    slots: 2,
    service_us: 20_000,
    extra_us: 0,
};

const STEADY: Scenario = Scenario {
    name: "steady",
    load_percent: 200,
    callers: &[1; 8],
    hot_percent: 0,
    deadline_ms: 2_000,
    usual: TARGET,
    middle: TARGET,
    cold_us: 0,
    depth: DEPTH,
    burst: None,
};

const fn steady(load_percent: u64) -> Scenario {
    Scenario {
        load_percent,
        ..STEADY
    }
}

/// All scenarios, in the order of the table.
pub const SCENARIOS: [Scenario; 14] = [
    steady(50),
    steady(80),
    steady(100),
    steady(150),
    steady(200),
    steady(300),
    Scenario {
        name: "short deadline",
        deadline_ms: 150,
        ..STEADY
    },
    Scenario {
        name: "hot key",
        hot_percent: 90,
        ..STEADY
    },
    Scenario {
        name: "greedy caller",
        load_percent: 300,
        callers: &[1, 1, 1, 3],
        ..STEADY
    },
    Scenario {
        name: "slow target",
        middle: Phase {
            service_us: 200_000,
            ..TARGET
        },
        ..STEADY
    },
    Scenario {
        name: "slow, short deadline",
        deadline_ms: 1_000,
        middle: Phase {
            service_us: 200_000,
            ..TARGET
        },
        ..STEADY
    },
    Scenario {
        name: "shedding target",
        middle: Phase { slots: 1, ..TARGET },
        ..STEADY
    },
    Scenario {
        name: "cold starts",
        cold_us: 500_000,
        middle: TARGET,
        ..STEADY
    },
    Scenario {
        name: "three slots, 6 ms",
        usual: Phase {
            slots: 3,
            service_us: 6_000,
            extra_us: 0,
        },
        middle: Phase {
            slots: 3,
            service_us: 6_000,
            extra_us: 0,
        },
        ..STEADY
    },
];

/// The trail map's routes that compete for its main service ([hard-load.md](docs/hard-load.md)).
const ROUTES: [RouteClass; 2] = [
    RouteClass {
        share: 70,
        priority: 0,
        work_ms: 220,
        objective_ms: 800,
    },
    RouteClass {
        share: 30,
        priority: 1,
        work_ms: 290,
        objective_ms: 1_000,
    },
];

const fn burst(name: &'static str, slots: usize, routes: &'static [RouteClass]) -> Scenario {
    let phase = Phase {
        slots,
        service_us: 241_000,
        extra_us: 0,
    };
    Scenario {
        name,
        load_percent: 170,
        deadline_ms: 2_000,
        callers: &[1],
        usual: phase,
        middle: phase,
        // 32 waiting requests for each slot, as at a gateway of the router.
        depth: 32 * slots,
        burst: Some(Burst {
            routes,
            usual_percent: 70,
            cycle_us: 10_000_000,
            length_us: 3_000_000,
            cycles: 40,
            caller_ms: 4_000,
        }),
        ..STEADY
    }
}

/// Bursts of two routes that differ in priority, objective and work.
pub const BURSTS: [Scenario; 4] = [
    burst("burst, 4 slots", 4, &ROUTES),
    burst("burst, 40 slots", 40, &ROUTES),
    Scenario {
        load_percent: 260,
        ..burst("burst of 2.6, 40 slots", 40, &ROUTES)
    },
    Scenario {
        middle: Phase {
            slots: 40,
            service_us: 723_000,
            extra_us: 0,
        },
        ..burst("burst, slow third, 40 slots", 40, &ROUTES)
    },
];

impl Scenario {
    /// Length of a run.
    pub fn length_us(&self) -> u64 {
        if let Some(burst) = self.burst {
            return burst.cycle_us * burst.cycles;
        }
        RUN_SERVICE_TIMES * self.usual.service_us
    }

    /// Mean time between arrivals at `now`.
    pub fn gap_us(&self, now: u64) -> u64 {
        let load_percent = match self.burst {
            Some(burst) => burst.load_percent(now).unwrap_or(self.load_percent),
            None => self.load_percent,
        };
        self.usual.service_us * 100 / (self.usual.slots as u64 * load_percent)
    }

    /// Percent of the queue that one caller may fill. The router does not distinguish callers.
    pub fn caller_share(&self) -> u32 {
        if self.burst.is_some() { 100 } else { 50 }
    }

    /// The target's phase at `now`.
    pub fn phase(&self, now: u64) -> Phase {
        let third = self.length_us() / 3;
        let phase = if now / third == 1 {
            self.middle
        } else {
            self.usual
        };
        if now % third >= self.cold_us {
            return phase;
        }
        Phase {
            extra_us: self.cold_us,
            ..phase
        }
    }

    /// Total slot time of the target in the run, in microseconds.
    pub fn capacity_us(&self) -> u64 {
        let third = self.length_us() / 3;
        third * (2 * self.usual.slots as u64 + self.middle.slots as u64)
    }

    /// Selects the caller of a request by a random number.
    pub fn caller(&self, random: u64) -> u64 {
        let mut rest = random % self.callers.iter().sum::<u64>();
        for (caller, &weight) in (0..).zip(self.callers) {
            if rest < weight {
                return caller;
            }
            rest -= weight;
        }
        unreachable!("the remainder is below the sum of the weights")
    }

    /// Selects the key of a request by two random numbers; the hot key is 0.
    pub fn key(&self, random: u64, spread: u64) -> u64 {
        if random % 100 < self.hot_percent {
            return 0;
        }
        1 + spread % 64
    }
}

impl Burst {
    /// Offered load at `now`; `None` in the burst.
    fn load_percent(&self, now: u64) -> Option<u64> {
        let begin = (self.cycle_us - self.length_us) / 2;
        let at = now % self.cycle_us;
        let is_burst = (begin..begin + self.length_us).contains(&at);
        (!is_burst).then_some(self.usual_percent)
    }

    /// Selects the route of a request by a random number.
    pub fn route(&self, random: u64) -> usize {
        let mut rest = random % 100;
        for (idx, route) in self.routes.iter().enumerate() {
            if rest < route.share {
                return idx;
            }
            rest -= route.share;
        }
        unreachable!("the shares add up to 100")
    }
}
