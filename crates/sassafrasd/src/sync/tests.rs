//! Guards against pages of the store's rows after which the host would never stop reading.

use std::net::SocketAddr;

use super::*;
use crate::fake::{FixedServer, host};

struct Case {
    name: &'static str,
    status: u16,
    body: &'static str,
    /// The cursor after the read; `None` if the read fails.
    cursor: Option<u64>,
}

async fn check(case: &Case) {
    let server = FixedServer::start().await;
    server.set(case.status, case.body);
    let host = host(server.address);
    let read = tokio::time::timeout(Duration::from_secs(5), read_store(&host));
    let read = read.await.expect(case.name);
    assert_eq!(read.is_ok(), case.cursor.is_some(), "{}", case.name);
    if let Some(cursor) = case.cursor {
        assert_eq!(host.cursor(), cursor, "{}", case.name);
    }
}

#[tokio::test]
async fn pages() {
    let case = |name, status, body, cursor| Case {
        name,
        status,
        body,
        cursor,
    };
    for it in [
        case(
            "empty table",
            200,
            r#"{"rev": 7, "rows": [], "more": false}"#,
            Some(7),
        ),
        case(
            "more, but no rows",
            200,
            r#"{"rev": 0, "rows": [], "more": true}"#,
            None,
        ),
        case(
            "more, but the same rows again",
            200,
            r#"{"rev": 9, "rows": [{"row": "x", "rev": 3, "value": 1}], "more": true}"#,
            None,
        ),
        case(
            "malformed rows",
            200,
            r#"{"rev": 9, "rows": [
                {"row": "slice/s/0", "rev": 3, "value": {}},
                {"row": "target/s/t", "rev": 4, "value": [1]},
                {"row": "document/current", "rev": 5, "value": {"version": 1}}], "more": false}"#,
            Some(9),
        ),
        case("another type", 200, "[]", None),
        case(
            "another status",
            503,
            r#"{"rev": 7, "rows": [], "more": false}"#,
            None,
        ),
    ] {
        check(&it).await;
    }
}

/// Guards against an older row that a peer or a late page delivers after a newer one (G8).
#[tokio::test]
async fn older_rows_are_ignored() {
    let host = host(SocketAddr::from(([127, 0, 0, 1], 1)));
    let text = include_str!("../../../../examples/cavallucci.yaml");
    let row = |version: u64, rev| TableRow {
        name: Arc::from("document/current"),
        rev,
        value: Some(Arc::from(
            serde_json::json!({"version": version, "change": "c", "text": text}).to_string(),
        )),
    };
    assert_eq!(merge(&host, vec![row(2, 20)]).len(), 1);
    assert_eq!(merge(&host, vec![row(1, 10), row(2, 20)]), []);
    assert_eq!(host.table().document().map(|it| it.version), Some(2));
    assert_eq!(host.view.load().as_ref().map(|it| it.version), Some(2));
}
