use super::*;
use crate::fake::catalog;

fn rev(number: u64) -> Revision {
    Revision {
        generation: 1,
        number,
    }
}

/// What is sent to a host.
#[derive(Debug, Eq, PartialEq)]
enum Sent {
    Nothing,
    Whole,
    /// A change of this version.
    ChangeOf(u64),
}

/// Guards against hosts that are sent a version which they have, the whole of one of which they have
/// nearly all, or a change of a version that they do not have.
#[test]
fn hosts_are_sent_what_they_lack() {
    struct Case {
        known: Option<u64>,
        sent: Sent,
    }
    let catalogs = Catalogs::default();
    assert!(catalogs.update_since(None).is_none());
    for version in 1..=6 {
        assert!(catalogs.adopt(catalog(version)));
    }
    assert!(!catalogs.adopt(catalog(6)) && !catalogs.adopt(catalog(5)));
    let case = |known, sent| Case { known, sent };
    let cases = [
        case(None, Sent::Whole),
        case(Some(2), Sent::Whole),
        case(Some(3), Sent::ChangeOf(3)),
        case(Some(5), Sent::ChangeOf(5)),
        case(Some(6), Sent::Nothing),
        case(Some(7), Sent::Nothing),
    ];
    for case in cases {
        let update = catalogs.update_since(case.known);
        let sent = match &update {
            None => Sent::Nothing,
            Some(CatalogUpdate::Whole(_)) => Sent::Whole,
            Some(CatalogUpdate::Change(change)) => Sent::ChangeOf(change.from),
        };
        assert_eq!(sent, case.sent, "{:?}", case.known);
        let Some(update) = update else { continue };
        let receiver = Catalogs::default();
        if let Some(known) = case.known {
            receiver.adopt(catalog(known));
        }
        let resolved = receiver.resolve(update).map(|it| it.version());
        assert_eq!(resolved, Some(6), "{:?}", case.known);
    }
    let change = catalogs.update_since(Some(5)).expect("5 is older");
    let other = Catalogs::default();
    assert!(other.resolve(change.clone()).is_none());
    other.adopt(catalog(4));
    assert!(other.resolve(change).is_none());
}

/// Guards against a host that counts a version as the newest one because another version was, and so
/// never asks for what it lacks.
#[test]
fn only_the_version_in_force_is_confirmed() {
    let catalogs = Catalogs::default();
    let mark = |version, number| CatalogMark {
        version,
        rev: Some(rev(number)),
    };
    catalogs.confirm(mark(1, 4), 100);
    assert_eq!((catalogs.mark(), catalogs.checked_at()), (None, 0));
    catalogs.adopt(catalog(1));
    catalogs.confirm(mark(2, 9), 200);
    assert_eq!(catalogs.mark().and_then(|it| it.rev), None);
    catalogs.confirm(mark(1, 5), 300);
    catalogs.confirm(mark(1, 4), 250);
    assert_eq!(catalogs.mark(), Some(mark(1, 5)));
    assert_eq!(catalogs.checked_at(), 300);
    catalogs.adopt(catalog(2));
    assert_eq!(catalogs.mark().and_then(|it| it.rev), None);
    catalogs.announce(Some(5));
    catalogs.announce(Some(3));
    assert_eq!(catalogs.announced(), Some(5));
}
