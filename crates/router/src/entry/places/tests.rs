use super::*;

fn view(place: &str, distance: Distance) -> PlaceView {
    PlaceView {
        place: place.into(),
        distance,
        allowed: true,
        access: Access::Open,
        ready: true,
    }
}

/// Guards against requests that are sent to a region that their route does not allow, or to an
/// evacuated data centre while there are others, and against ones that wait although none can take
/// them.
#[test]
fn places_are_allowed_open_and_near() {
    use Distance::{OtherRegion, SamePlace, SameRegion};
    struct Case {
        name: &'static str,
        views: Vec<PlaceView>,
        result: Result<&'static [&'static str], Reason>,
    }
    let forbidden = |it: PlaceView| PlaceView {
        allowed: false,
        ..it
    };
    let with_access = |it: PlaceView, access| PlaceView { access, ..it };
    let leaving = |it: PlaceView| PlaceView { ready: false, ..it };
    let (own, near, far) = (
        || view("own", SamePlace),
        || view("near", SameRegion),
        || view("far", OtherRegion),
    );
    let cases = [
        Case {
            name: "nearest first",
            views: vec![far(), near(), own()],
            result: Ok(&["own", "near", "far"]),
        },
        Case {
            name: "only the other region is allowed",
            views: vec![forbidden(own()), forbidden(near()), far()],
            result: Ok(&["far"]),
        },
        Case {
            name: "the allowed region has no targets",
            views: vec![forbidden(own()), forbidden(near())],
            result: Err(Reason::RegionUnavailable),
        },
        Case {
            name: "the allowed region is evacuated",
            views: vec![forbidden(own()), with_access(far(), Access::Closed)],
            result: Err(Reason::PlaceEvacuated),
        },
        Case {
            name: "an evacuated place is not used beside others",
            views: vec![with_access(own(), Access::Ending), far()],
            result: Ok(&["far"]),
        },
        Case {
            name: "an evacuated place is used alone until its bound",
            views: vec![with_access(own(), Access::Ending), forbidden(far())],
            result: Ok(&["own"]),
        },
        Case {
            name: "a place whose targets leave is used if there is no other",
            views: vec![leaving(own()), with_access(near(), Access::Ending)],
            result: Ok(&["own"]),
        },
        Case {
            name: "a place whose targets leave is not used beside others",
            views: vec![leaving(own()), near()],
            result: Ok(&["near"]),
        },
        Case {
            name: "no targets",
            views: vec![],
            result: Err(Reason::NoOwner),
        },
    ];
    for case in cases {
        let places = usable(case.views);
        let places = places.map(|it| it.iter().map(ToString::to_string).collect::<Vec<_>>());
        let expected = case.result;
        let expected = expected.map(|it| it.iter().map(ToString::to_string).collect::<Vec<_>>());
        assert_eq!(places, expected, "{}", case.name);
    }
}
