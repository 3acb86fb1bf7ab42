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
}

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

impl Scenario {
    /// Length of a run.
    pub fn length_us(&self) -> u64 {
        RUN_SERVICE_TIMES * self.usual.service_us
    }

    /// Mean time between arrivals.
    pub fn gap_us(&self) -> u64 {
        self.usual.service_us * 100 / (self.usual.slots as u64 * self.load_percent)
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
