//! The first rows of targets and slices.

use std::sync::Arc;

use ownership::{TargetId, TargetRow};
use platform::{Commit, CommitResult, Condition, Write};

use crate::{changes, driver, host::Host, inputs, view::View};

/// Maximum number of slices in one commit.
const SLICES_PER_COMMIT: usize = 512;

/// Creates the rows of targets that have none, and the first slices of services that have none.
pub(super) async fn create_rows(host: &Arc<Host>, view: &View) {
    let hosts = inputs::hosts(host, view);
    for service in &view.document.services {
        for target in &service.targets {
            let id = TargetId {
                service: Arc::clone(&service.name),
                target: Arc::clone(&target.name),
            };
            if host.table().target(&id).is_some() {
                continue;
            }
            let region = view.region_name(&target.data_centre);
            let voters =
                placement::choose_voters(&target.name, &target.data_centre, &region, &hosts);
            if voters.is_empty() {
                continue;
            }
            create_target(host, &id, &driver::initial_row(voters)).await;
        }
        if host.table().slices(&service.name).next().is_some() {
            continue;
        }
        create_slices(host, view, service).await;
    }
}

async fn create_target(host: &Arc<Host>, id: &TargetId, row: &TargetRow) {
    let name = changes::target_name(id);
    let commit = Commit {
        change: format!("create-{name}"),
        conditions: vec![Condition {
            row: name.clone(),
            rev: 0,
        }],
        writes: vec![Write {
            row: name,
            value: serde_json::to_value(row).expect("target rows are serialisable"),
        }],
    };
    driver::write(host, &commit).await;
}

async fn create_slices(host: &Arc<Host>, view: &View, service: &document::Service) {
    let input = inputs::service_input(host, view, service);
    let parts = placement::partition_hash_space(&input, 0);
    // If two planners run at once, the first commit wins: commits are conditional on the absence
    // of the rows, and equal input gives equal slices.
    for chunk in parts.chunks(SLICES_PER_COMMIT) {
        let mut commit = Commit {
            change: format!("slices-{}", service.name),
            ..Commit::default()
        };
        for part in chunk {
            let row = changes::slice_name(&service.name, part.low);
            let slice = ownership::Slice {
                low: part.low,
                high: part.high,
                target: Arc::clone(&part.target),
                generation: ownership::GENERATION_STEP,
            };
            commit.conditions.push(Condition {
                row: row.clone(),
                rev: 0,
            });
            commit.writes.push(Write {
                row,
                value: changes::slice_value(&slice),
            });
        }
        if !matches!(
            driver::write(host, &commit).await,
            CommitResult::Applied { .. }
        ) {
            log::warn!(service = &*service.name; "the first slices were not created in this round");
            return;
        }
    }
    log::info!(service = &*service.name, slices = parts.len(); "created the first slices");
}
