use super::*;

/// A candidate of 100 ms of work whose objective allows a start until 1,000 and whose deadline
/// allows one until 2,000.
const BASE: Candidate = Candidate {
    id: 0,
    route: 0,
    priority: 1,
    work_us: 100_000,
    objective_start: 1_000,
    safe_start: 1_000,
    last_start: 2_000,
    starved: false,
    sequence: 0,
};

fn numbered(candidates: Vec<Candidate>) -> Vec<Candidate> {
    let number = |(id, it)| Candidate {
        id,
        sequence: id,
        ..it
    };
    (0..).zip(candidates).map(number).collect()
}

struct Case {
    name: &'static str,
    candidates: Vec<Candidate>,
    /// Load of the routes of each priority, in thousandths of a slot.
    loads: Vec<(u8, u64)>,
    order: &'static [u64],
    next: u64,
    hopeless: &'static [u64],
}

impl Case {
    /// One slot, which is free in 50 ms; the time is 10.
    fn check(self) {
        let load = |&(priority, load): &(u8, u64)| RouteLoad {
            priority,
            work_us: 100_000,
            load,
        };
        let plan = Plan::new(
            10,
            Drain::new(0, 1, vec![50_000]),
            self.loads.iter().map(load).collect(),
            numbered(self.candidates),
        );
        let order: Vec<u64> = plan.candidates.iter().map(|it| it.id).collect();
        assert_eq!(order, self.order, "order: {}", self.name);
        assert_eq!(plan.next(), Some(self.next), "next: {}", self.name);
        assert_eq!(plan.last(), order.last().copied(), "last: {}", self.name);
        assert_eq!(plan.hopeless(), self.hopeless, "hopeless: {}", self.name);
    }
}

fn due(at: Millis) -> Candidate {
    Candidate {
        objective_start: at,
        safe_start: at,
        ..BASE
    }
}

fn work(ms: u64, at: Millis) -> Candidate {
    Candidate {
        work_us: ms * 1_000,
        ..due(at)
    }
}

fn case(
    name: &'static str,
    candidates: Vec<Candidate>,
    loads: Vec<(u8, u64)>,
    order: &'static [u64],
    next: u64,
    hopeless: &'static [u64],
) -> Case {
    Case {
        name,
        candidates,
        loads,
        order,
        next,
        hopeless,
    }
}

const URGENT: Candidate = Candidate {
    priority: 0,
    ..BASE
};

const LATE: Candidate = Candidate {
    objective_start: 0,
    safe_start: 0,
    ..BASE
};

/// Guards against slots for requests whose answers are worth less than those of others that wait.
#[test]
fn order_of_starting() {
    let cases = [
        case(
            "steady load: order of arrival among equals",
            vec![BASE, BASE, BASE],
            vec![],
            &[0, 1, 2],
            0,
            &[],
        ),
        case(
            "two priorities: the more urgent first, although it has more slack",
            vec![due(100), URGENT],
            vec![],
            &[1, 0],
            1,
            &[],
        ),
        case(
            "after a burst: in time before late, whatever arrived first",
            vec![LATE, BASE],
            vec![],
            &[1, 0],
            1,
            &[],
        ),
        case(
            "short burst that fits: least slack first, whatever the work",
            vec![work(50, 900), work(300, 100)],
            vec![],
            &[1, 0],
            1,
            &[],
        ),
        case(
            "burst that does not fit: least work first",
            vec![work(300, 100), work(50, 300), work(50, 350)],
            vec![],
            &[1, 2, 0],
            1,
            &[],
        ),
        case(
            "similar estimates: the slack decides, not the smaller estimate",
            vec![work(295, 60), work(290, 300), work(300, 70)],
            vec![],
            &[0, 2, 1],
            0,
            &[],
        ),
    ];
    cases.into_iter().for_each(Case::check);
}

/// Guards against requests that are held although they cannot be served, and against routes that
/// get no slot.
#[test]
fn hopeless_and_starved_requests() {
    let passed = |last_start| Candidate { last_start, ..LATE };
    let starved = Candidate {
        starved: true,
        route: 7,
        ..BASE
    };
    let cases = [
        case(
            "slow targets: the request whose deadline is too near is refused, those behind it stay",
            vec![BASE, passed(140), passed(160)],
            vec![],
            &[0, 1, 2],
            0,
            &[1],
        ),
        case(
            "overload of its own priority: no room for a late request",
            vec![BASE, LATE],
            vec![(1, 1_000)],
            &[0, 1],
            0,
            &[1],
        ),
        case(
            "overload of a more urgent priority: no room behind it",
            vec![URGENT, BASE],
            vec![(0, 1_200)],
            &[0, 1],
            0,
            &[1],
        ),
        case(
            "load below the capacity: late requests keep the remaining room",
            vec![BASE, LATE],
            vec![(1, 800)],
            &[0, 1],
            0,
            &[],
        ),
        case(
            "overload of a less urgent priority does not count",
            vec![URGENT, URGENT],
            vec![(1, 3_000)],
            &[0, 1],
            0,
            &[],
        ),
        case(
            "overload that lasts: a starved route gets the next slot",
            vec![URGENT, URGENT, starved, starved],
            vec![(0, 1_500)],
            &[0, 1, 2, 3],
            2,
            &[3],
        ),
        case(
            "a starved route whose request cannot meet its deadline gets none",
            vec![
                URGENT,
                Candidate {
                    last_start: 0,
                    ..starved
                },
            ],
            vec![],
            &[0, 1],
            0,
            &[1],
        ),
    ];
    cases.into_iter().for_each(Case::check);
}
