//! Guards against a target that checks grants but accepts an order or a request from a replaced
//! gateway or for a previous incarnation of the target (G1).

use serde_json::{Value, json};
use tempfile::TempDir;
use testkit::{
    client::{Call, Reply, send},
    process::Process,
};

/// Epoch and generation of the current gateway's grant.
const CURRENT_GRANT: [u64; 2] = [5, 70_000];
const FENCED_STATUS: u16 = 409;

/// Expiry of grants on the target's clock, after the end of the test.
const EXPIRY_MS: u64 = 60_000;

fn order(incarnation: u64, epoch: u64, gateway: &str, generation: u64, until: u64) -> Call {
    let slices = json!([{"service": "s", "low": 0, "high": 99, "generation": generation}]);
    let body = json!({"incarnation": incarnation, "epoch": epoch, "gateway": gateway,
        "until": until, "slices": slices});
    Call::put("/sassafras/grant", &body)
}

fn request(incarnation: u64, [epoch, generation]: [u64; 2], hash: u64) -> Call {
    Call::get("/s/k")
        .with_header("sassafras-service", "s")
        .with_header("sassafras-key-hash", format!("{hash:016x}"))
        .with_header("sassafras-incarnation", incarnation.to_string())
        .with_header("sassafras-epoch", epoch.to_string())
        .with_header("sassafras-generation", generation.to_string())
}

#[tokio::test]
async fn replaced_gateway_is_fenced() {
    let dir = TempDir::new().unwrap();
    let record = dir.path().join("record").display().to_string();
    let args = ["--service", "s", "--checks", "yes", "--record", &record];
    let (_process, it) = Process::start_stand_in("target", &args, &dir.path().join("log")).await;
    let call = async |call: &Call| -> Reply { send(it.listening, call).await.unwrap() };
    let state: Value = call(&Call::get("/sassafras/grant")).await.json();
    let incarnation = state["incarnation"].as_u64().unwrap();
    let [epoch, generation] = CURRENT_GRANT;
    for (name, order, status) in [
        (
            "current gateway",
            order(incarnation, epoch, "b", generation, EXPIRY_MS),
            200,
        ),
        (
            "lower epoch",
            order(incarnation, epoch - 1, "a", generation, EXPIRY_MS + 1),
            FENCED_STATUS,
        ),
        (
            "epoch of another gateway",
            order(incarnation, epoch, "a", generation, EXPIRY_MS + 1),
            FENCED_STATUS,
        ),
        (
            "previous incarnation",
            order(incarnation ^ 1, epoch + 1, "b", generation, EXPIRY_MS + 1),
            FENCED_STATUS,
        ),
        (
            "repeated order",
            order(incarnation, epoch, "b", generation, EXPIRY_MS),
            FENCED_STATUS,
        ),
        (
            "lower generation",
            order(incarnation, epoch, "b", generation - 1, EXPIRY_MS + 1),
            FENCED_STATUS,
        ),
    ] {
        assert_eq!(call(&order).await.status, status, "{name}");
    }
    for (name, request, status) in [
        (
            "current gateway",
            request(incarnation, CURRENT_GRANT, 7),
            200,
        ),
        (
            "lower epoch",
            request(incarnation, [epoch - 1, generation], 7),
            FENCED_STATUS,
        ),
        (
            "higher epoch",
            request(incarnation, [epoch + 1, generation], 7),
            FENCED_STATUS,
        ),
        (
            "lower generation",
            request(incarnation, [epoch, generation - 1], 7),
            FENCED_STATUS,
        ),
        (
            "previous incarnation",
            request(incarnation ^ 1, CURRENT_GRANT, 7),
            FENCED_STATUS,
        ),
        (
            "slice of another target",
            request(incarnation, CURRENT_GRANT, 100),
            FENCED_STATUS,
        ),
        ("no fencing values", Call::get("/s/k"), FENCED_STATUS),
    ] {
        assert_eq!(call(&request).await.status, status, "{name}");
    }
    let runs = std::fs::read_to_string(&record).unwrap();
    assert_eq!(runs.matches("\"id\"").count(), 1, "{runs}");
}
