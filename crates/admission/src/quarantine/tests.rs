use super::*;

const HOLD_MS: u64 = 600_000;

/// Guards against different requests that share a fingerprint because the concatenation of their
/// parts is the same.
#[test]
fn fingerprints_keep_parts_apart() {
    let one = fingerprint("archive", "horse", "GET", "/a", b"");
    assert_ne!(one, fingerprint("archive", "hors", "eGET", "/a", b""));
    assert_ne!(one, fingerprint("archive", "horse", "GET", "", b"/a"));
    assert_ne!(one, fingerprint("archive", "horse", "GET", "/a", b"x"));
    assert_eq!(one, fingerprint("archive", "horse", "GET", "/a", b""));
}

struct Case {
    name: &'static str,
    crashes: &'static [&'static [u64]],
    answered: &'static [u64],
    quarantined: &'static [u64],
    suspects: &'static [u64],
}

impl Case {
    fn check(self) {
        let mut quarantine = Quarantine::new(HOLD_MS);
        let mut pushed = Vec::new();
        for crash in self.crashes {
            for entry in quarantine.on_crash(0, crash) {
                pushed.push(entry.fingerprint);
            }
            for &fp in self.answered {
                quarantine.on_answer(fp);
            }
        }
        assert_eq!(pushed, self.quarantined, "{}", self.name);
        for fp in 1..9 {
            let refused = quarantine.check(0, fp) == QuarantineVerdict::Refuse;
            assert_eq!(refused, self.quarantined.contains(&fp), "{}", self.name);
            let suspect = quarantine.is_suspect(0, fp);
            assert_eq!(suspect, self.suspects.contains(&fp), "{}", self.name);
            let after_hold = quarantine.check(HOLD_MS, fp);
            assert_eq!(after_hold, QuarantineVerdict::Pass, "{}", self.name);
        }
    }
}

/// Guards against a poison request that is not quarantined after two crashes, and against other
/// requests that are quarantined because they were in flight at the time.
#[test]
fn a_second_crash_quarantines_a_request() {
    let case = |name, crashes, answered, quarantined, suspects| Case {
        name,
        crashes,
        answered,
        quarantined,
        suspects,
    };
    let cases = [
        case("a single request", &[&[1]], &[], &[], &[1]),
        case(
            "a single request, two crashes",
            &[&[1], &[1]],
            &[],
            &[1],
            &[],
        ),
        case(
            "several copies of one request",
            &[&[1, 1, 1]],
            &[],
            &[],
            &[1],
        ),
        case("several requests", &[&[1, 2]], &[], &[], &[1, 2]),
        case(
            "second crash, with others",
            &[&[1, 2], &[1, 3]],
            &[],
            &[1],
            &[2, 3],
        ),
        case(
            "answered in between",
            &[&[1, 2], &[3, 2]],
            &[2],
            &[],
            &[1, 3],
        ),
        case("no request in flight", &[&[]], &[], &[], &[]),
    ];
    cases.into_iter().for_each(Case::check);
}

/// Guards against an entry that is restored after its pardon, a pardon that exempts a request that
/// crashes again, and an entry that expires later at a peer than at the host that created it.
#[test]
fn pardons_and_peers() {
    let entry = |age_ms| QuarantineRecord {
        fingerprint: 1,
        age_ms,
    };
    let mut quarantine = Quarantine::new(HOLD_MS);
    quarantine.merge(1_000, &[entry(400_000)]);
    assert_eq!(quarantine.entries(1_000), [entry(400_000)]);
    quarantine.merge(1_000, &[entry(500_000)]);
    assert_eq!(quarantine.check(200_999, 1), QuarantineVerdict::Refuse);
    assert_eq!(quarantine.check(201_000, 1), QuarantineVerdict::Pass);

    quarantine.pardon(2_000, &[1]);
    assert_eq!(quarantine.check(2_000, 1), QuarantineVerdict::Pass);
    quarantine.merge(3_000, &[entry(2_000)]);
    assert_eq!(
        quarantine.check(3_000, 1),
        QuarantineVerdict::Pass,
        "an entry older than the pardon is ignored"
    );
    quarantine.pardon(4_000, &[1, 2]);
    quarantine.merge(5_000, &[entry(2_000)]);
    assert_eq!(
        quarantine.check(5_000, 1),
        QuarantineVerdict::Refuse,
        "an entry newer than the pardon is added"
    );

    quarantine.merge(
        5_000,
        &[QuarantineRecord {
            fingerprint: 3,
            age_ms: HOLD_MS,
        }],
    );
    assert_eq!(
        quarantine.check(5_000, 3),
        QuarantineVerdict::Pass,
        "expired before it arrived"
    );
}

/// Guards against tables that grow without bound with crashes and peers.
#[test]
fn memory_is_bounded() {
    let mut quarantine = Quarantine::new(HOLD_MS);
    for step in 0..3 * MAX_ENTRIES as u64 {
        let fp = step + 1;
        quarantine.merge(
            step,
            &[QuarantineRecord {
                fingerprint: fp,
                age_ms: 0,
            }],
        );
        quarantine.on_crash(step, &[fp << 32, fp << 40]);
    }
    assert!(quarantine.entries.len() <= MAX_ENTRIES);
    assert!(quarantine.suspects.len() <= MAX_ENTRIES);
}
