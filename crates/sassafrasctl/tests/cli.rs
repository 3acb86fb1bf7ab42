//! Runs the command-line client against a stand-in for the platform.

mod test_platform;

use test_platform::{CommitFault, TestPlatform, run, unused_address};

const CAVALLUCCI: &str = include_str!("../../../examples/cavallucci.yaml");

const FILE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../examples/cavallucci.yaml"
);

/// A first `apply` with faults; `own_versions` are the numbers of the stored versions that this
/// `apply` committed.
struct Case {
    faults: &'static [CommitFault],
    code: i32,
    own_versions: &'static [u64],
    message: &'static str,
}

async fn check(case: &Case) {
    let platform = TestPlatform::start(case.faults).await;
    let arguments = [
        "apply", FILE, "--expect", "0", "--settle", "2", "--wait", "0",
    ];
    let output = platform.run(&arguments).await;
    assert_eq!(
        output.code,
        Some(case.code),
        "{:?}: {output:?}",
        case.faults
    );
    let printed = format!("{}{}", output.out, output.err);
    assert!(
        printed.contains(case.message),
        "{:?}: {printed}",
        case.faults
    );
    let versions = platform.versions().await.into_iter();
    let own_versions: Vec<_> = versions
        .filter(|(_, change)| change != "rival")
        .map(|(version, _)| version)
        .collect();
    assert_eq!(own_versions, case.own_versions, "{:?}", case.faults);
}

/// Guards against reporting success or failure while the outcome is unknown because an answer was
/// lost, and against a change that takes effect twice.
#[tokio::test]
async fn apply_with_faults() {
    let difference = "~ balance.hold_s: 60 -> 7200";
    let cases = [
        Case {
            faults: &[],
            code: 0,
            own_versions: &[1],
            message: "is applied",
        },
        Case {
            faults: &[CommitFault::LoseAnswer],
            code: 0,
            own_versions: &[1],
            message: "is applied",
        },
        Case {
            faults: &[
                CommitFault::LoseRequest,
                CommitFault::LoseRequest,
                CommitFault::LoseAnswer,
            ],
            code: 0,
            own_versions: &[1],
            message: "is applied",
        },
        Case {
            faults: &[CommitFault::Delay],
            code: 0,
            own_versions: &[1],
            message: "is applied",
        },
        Case {
            faults: &[CommitFault::RivalCommit],
            code: 2,
            own_versions: &[],
            message: difference,
        },
        Case {
            faults: &[CommitFault::LoseRequest, CommitFault::RivalCommit],
            code: 2,
            own_versions: &[],
            message: difference,
        },
        Case {
            faults: &[CommitFault::LoseRequest; 40],
            code: 5,
            own_versions: &[],
            message: "the store's answer was lost",
        },
    ];
    for case in &cases {
        check(case).await;
    }
}

/// Guards against reporting success to both of two operators who apply a document concurrently.
#[tokio::test]
async fn race_of_two_operators() {
    let platform = TestPlatform::start(&[]).await;
    let other = std::env::temp_dir().join(format!("sassafrasctl-{}.yaml", std::process::id()));
    let text = CAVALLUCCI.replace("hold_s: 7200", "hold_s: 60");
    std::fs::write(&other, text).expect("the directory is writable");
    let other = other.to_str().expect("the path is UTF-8");
    for version in 0..5 {
        let expect = version.to_string();
        let arguments = |file| ["apply", file, "--wait", "0", "--expect", &expect];
        let (left, right) = (arguments(FILE), arguments(other));
        let (left, right) = tokio::join!(platform.run(&left), platform.run(&right));
        let codes = [left.code, right.code];
        assert!(
            codes.contains(&Some(0)) && codes.contains(&Some(2)),
            "{left:?} {right:?}"
        );
        let (loser, difference) = match left.code {
            Some(2) => (left, "~ balance.hold_s: 60 -> 7200"),
            _ => (right, "~ balance.hold_s: 7200 -> 60"),
        };
        assert!(loser.err.contains(difference), "{loser:?}");
        assert_eq!(platform.versions().await.len(), version + 1);
    }
    std::fs::remove_file(other).expect("the file exists");
}

/// Guards against reporting a conflict for a change that was applied and then superseded before its
/// outcome was known.
#[tokio::test]
async fn superseded_while_unknown() {
    let platform = TestPlatform::start(&[CommitFault::LoseAnswer]).await;
    let arguments = ["apply", FILE, "--expect", "0", "--wait", "0"];
    let supersede = async {
        while platform.versions().await.is_empty() {}
        platform.commit_as_rival(2).await;
    };
    let (output, ()) = tokio::join!(platform.run(&arguments), supersede);
    assert_eq!(output.code, Some(0), "{output:?}");
}

/// Guards against reporting a document as in force while a host still has the old one, and against
/// waiting for a host that has already stopped.
#[tokio::test]
async fn waits_for_all_hosts() {
    let platform = TestPlatform::start(&[]).await;
    let apply = |expect| ["apply", FILE, "--wait", "1", "--expect", expect];
    let output = platform.run(&apply("0")).await;
    assert_eq!(output.code, Some(4), "{output:?}");
    assert!(
        output.err.contains("the membership list has no host"),
        "{output:?}"
    );

    platform.start_host("h1", None).await;
    platform.start_host("h2", None).await;
    platform
        .add_member("h3", "leaving", unused_address().await)
        .await;
    let output = platform.run(&apply("1")).await;
    assert_eq!(output.code, Some(0), "{output:?}");

    platform.start_host("h4", Some(2)).await;
    platform
        .add_member("h5", "live", unused_address().await)
        .await;
    let output = platform.run(&apply("2")).await;
    assert_eq!(output.code, Some(4), "{output:?}");
    assert!(
        output
            .err
            .contains("\nh4: has version 2\nh5: not reachable: "),
        "{output:?}"
    );
    assert!(
        !output.err.contains("h1") && !output.err.contains("h3"),
        "{output:?}"
    );
}

/// Guards against exit codes that differ from the help.
#[tokio::test]
async fn exit_codes() {
    let platform = TestPlatform::start(&[]).await;
    let unreachable = unused_address().await.to_string();
    let cases: [(&[&str], i32); 14] = [
        (&["check", FILE], 0),
        (&["check", "/nonexistent"], 1),
        (
            &["check", concat!(env!("CARGO_MANIFEST_DIR"), "/Cargo.toml")],
            1,
        ),
        (&["schema"], 0),
        (&["--help"], 0),
        (&["apply", "--help"], 0),
        (&["--version"], 0),
        (&[], 1),
        (&["check"], 1),
        (&["check", FILE, "--expect", "1"], 1),
        (&["apply", FILE], 1),
        (&["apply", FILE, "--expect", "3"], 2),
        (&["show"], 1),
        (&["status"], 3),
    ];
    for (arguments, code) in cases {
        let output = platform.run(arguments).await;
        assert_eq!(output.code, Some(code), "{arguments:?}: {output:?}");
    }
    let offline: [&[&str]; 5] = [
        &["apply", FILE, "--expect", "0"],
        &["diff", FILE],
        &["show"],
        &["history"],
        &["status"],
    ];
    for arguments in offline {
        let mut arguments: Vec<_> = arguments.iter().map(ToString::to_string).collect();
        arguments.extend(["--platform".to_owned(), unreachable.clone()]);
        let output = run(arguments.clone()).await;
        assert_eq!(output.code, Some(3), "{arguments:?}: {output:?}");
    }
}

/// Guards against a document that changes between being applied and being shown.
#[tokio::test]
async fn show_diff_and_history() {
    let platform = TestPlatform::start(&[]).await;
    let output = platform.run(&["diff", FILE]).await;
    assert_eq!(output.out, "+ document: \"cavallucci\"\n");
    platform
        .run(&["apply", FILE, "--expect", "0", "--wait", "0"])
        .await;
    platform.commit_as_rival(2).await;
    let output = platform.run(&["show", "--version-number", "1"]).await;
    assert_eq!(output.out, CAVALLUCCI);
    let output = platform.run(&["diff", FILE]).await;
    assert_eq!(output.out, "~ balance.hold_s: 60 -> 7200\n");
    let output = platform.run(&["history", "--output", "json"]).await;
    let history: serde_json::Value = serde_json::from_str(&output.out).expect("the output is JSON");
    assert_eq!(history["versions"][0]["change"], "rival");
    assert_eq!(history["versions"][1]["bytes"], CAVALLUCCI.len());
    let output = platform.run(&["history", "--limit", "1"]).await;
    assert_eq!(output.out.lines().count(), 2, "{output:?}");
}

/// Guards against a status that omits hosts that do not answer, or sums counters of only one host.
#[tokio::test]
async fn status_and_owner() {
    let platform = TestPlatform::start(&[]).await;
    let host = platform.start_host("h1", Some(7)).await.to_string();
    platform.start_host("h2", Some(6)).await;
    platform
        .add_member("h3", "live", unused_address().await)
        .await;
    let output = platform.run(&["status"]).await;
    let expected = "\
host  data centre  version  rev  ready  unconfirmed
h1    catania      7        12   yes    no
h2    catania      6        12   yes    yes
h3: not reachable: ";
    assert_eq!(
        output.out.get(..expected.len()),
        Some(expected),
        "{output:?}"
    );
    let expected = "

service  target  gateway  epoch  state     held  draining
archive  a01     h1       3      serving   5     no
archive  a02     h1       none   claiming  0     yes

service  quarantined       age (s)
archive  1f0c9a7712de0b43  7

refusals    count
queue_full  4

retries  count
fenced   2
";
    assert!(output.out.ends_with(&expected[1..]), "{}", output.out);

    let owner = "\
service     archive
key         a b&é
hash        00000000000000ff
target      a01
generation  65536
gateway     h1
";
    let output = platform.run(&["owner", "archive", "a b&é"]).await;
    assert_eq!(output.out, owner);
    let output = run(["owner", "archive", "a b&é", "--host", &host]
        .map(str::to_owned)
        .to_vec())
    .await;
    assert_eq!(output.out, owner);
    let output = platform.run(&["owner", "archive", "other"]).await;
    assert_eq!(output.code, Some(1), "{output:?}");
}
