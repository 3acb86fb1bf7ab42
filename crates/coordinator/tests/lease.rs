//! A random search for a host that counts on its lease after another host has taken it, with a
//! store that executes and answers writes late, loses answers, and whose clock drifts.

use coordinator::{LEASE_MS, LeaseRow, MAX_LEASE_MS, Millis, StoreClock, lease_duration};
use proptest::prelude::*;

/// One write of the holder; times in milliseconds.
#[derive(Clone, Copy, Debug)]
struct Write {
    /// Pause of the holder before it sends the write.
    pause: u64,
    /// Time from the sending until the store executes it.
    transit: u64,
    /// Time from then until the answer arrives; `None` if it is lost.
    answer: Option<u64>,
}

fn write() -> impl Strategy<Value = Write> {
    let delay = || prop_oneof![0..20_u64, 0..800_u64, 0..4_000_u64];
    (delay(), delay(), prop::option::weighted(0.8, delay())).prop_map(|(pause, transit, answer)| {
        Write {
            pause,
            transit,
            answer,
        }
    })
}

/// The store's clock: it starts at another time than the hosts' and drifts by up to 1%.
fn store_time(now: Millis, drift: i64) -> Millis {
    let shift = i64::try_from(now).expect("the time is small") * drift / 100;
    (now + 70_000).saturating_add_signed(shift)
}

fn lease_row() -> LeaseRow {
    LeaseRow {
        host: "h1".into(),
        peer: ([127, 0, 0, 1], 1).into(),
        term: 1,
        until: 0,
        nonce: 1,
        complete_in: None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Guards against a coordinator that sends orders although another host may have taken the
    /// lease, because the store was slow, the coordinator was paused or an answer was lost.
    #[test]
    fn a_lease_ends_at_its_holder_before_another_host_can_take_it(
        writes in prop::collection::vec(write(), 1..20),
        drift in -1..=1_i64,
    ) {
        let mut now = 1_000;
        let value = store_time(now, drift);
        let mut clock = StoreClock { sent: now, received: now, value };
        // End of the lease in the store, by its clock, and at the holder, by its own.
        let mut row_until = value + LEASE_MS;
        let mut row = LeaseRow { until: row_until, ..lease_row() };
        let mut until = clock.local_expiry(row_until);
        let mut round_trip = 0;
        // End of a lease that the store has written without the holder's knowledge.
        let mut unconfirmed = None;
        for write in writes {
            let sent = now + write.pause;
            let executed = sent + write.transit;
            let asked_until = row.renewed_until(&clock, sent, round_trip);
            // Another host takes the lease as soon as the store shows that it has expired.
            let is_free = |at: Millis| store_time(at, drift) >= row_until;
            if let Some(at) = (now..=executed).find(|it| is_free(*it)) {
                prop_assert!(at >= until, "free at {at}, but the holder counts on it until {until}");
                return Ok(());
            }
            // After a lost answer, the write is refused because the lease has another revision.
            let conflict = unconfirmed.take();
            if conflict.is_none() {
                row_until = asked_until;
            }
            let applied_until = conflict.unwrap_or(asked_until);
            let Some(answer) = write.answer else {
                unconfirmed = Some(applied_until);
                now = executed;
                continue;
            };
            let received = executed + answer;
            let is_free = |at: Millis| store_time(at, drift) >= row_until;
            if let Some(at) = (executed..=received).find(|it| is_free(*it)) {
                prop_assert!(at >= until, "free at {at}, but the holder counts on it until {until}");
            }
            now = received;
            let value = store_time(executed, drift);
            let answer = StoreClock { sent, received, value };
            row.until = applied_until;
            until = clock.local_expiry(applied_until);
            round_trip = answer.round_trip();
            clock = clock.better(answer, now);
            if is_free(now) {
                prop_assert!(now >= until, "free at {now}, but the holder counts on it until {until}");
                return Ok(());
            }
        }
    }
}

/// Guards against a lease that its holder cannot renew in time while the store answers slowly, and
/// against a longer outage than necessary after the loss of a coordinator.
#[test]
fn a_lease_outlasts_two_slow_writes_and_no_more() {
    for (round_trip, duration) in [
        (0, LEASE_MS),
        (60, LEASE_MS),
        (500, LEASE_MS),
        (600, 1_800),
        (1_000, 3_000),
        (1_500, MAX_LEASE_MS),
        (60_000, MAX_LEASE_MS),
    ] {
        assert_eq!(lease_duration(round_trip), duration, "{round_trip} ms");
    }
}
