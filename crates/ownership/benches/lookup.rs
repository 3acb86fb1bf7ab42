//! Time of a lookup and memory of a table: `cargo bench -p ownership --bench lookup`.
//!
//! Fails if a lookup among 20,000 slices takes 300 ns or more.

use std::{
    alloc::System,
    hint::black_box,
    time::{Duration, Instant},
};

use ownership::{Table, TableRow, hash_key};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const LOOKUPS: u64 = 2_000_000;
const MAX_LOOKUP_NS: f64 = 300.0;

fn main() {
    println!("slices    ns per lookup    bytes per slice    ms to load");
    for slices in [1_000_u32, 20_000, 200_000] {
        let region = Region::new(ALLOCATOR);
        let start = Instant::now();
        let table = table(slices);
        let load = start.elapsed();
        let change = region.change();
        let bytes = change.bytes_allocated - change.bytes_deallocated;
        let bytes_per_slice =
            f64::from(u32::try_from(bytes).expect("the table is smaller than 4 GiB"))
                / f64::from(slices);
        // The minimum of five rounds, because other processes slow down some rounds.
        let best = (0..5).map(|_| round(&table)).min().unwrap_or_default();
        let ns = best.as_secs_f64() * 1e9
            / f64::from(u32::try_from(LOOKUPS).expect("LOOKUPS fits in 32 bits"));
        println!(
            "{slices:>7} {ns:>15.1} {bytes_per_slice:>18.1} {:>13}",
            load.as_millis()
        );
        assert!(
            slices != 20_000 || ns < MAX_LOOKUP_NS,
            "a lookup among {slices} slices takes {ns} ns, not less than {MAX_LOOKUP_NS} ns"
        );
    }
}

/// Builds a table in the order of a store read after many moves, which is not the hash order.
fn table(slices: u32) -> Table {
    let mut table = Table::new();
    let width = u64::MAX / u64::from(slices);
    for it in 0..u64::from(slices) {
        // 7,919 is coprime to the numbers of slices, so that every slice occurs once.
        let index = it * 7_919 % u64::from(slices);
        let (low, high) = (index * width, (index + 1) * width - 1);
        let target = index % 500;
        let value = format!(r#"{{"high":{high},"target":"a{target}","generation":65536}}"#);
        let row = TableRow {
            name: format!("slice/archive/{low:016x}").into(),
            rev: it + 1,
            value: Some(value.into()),
        };
        table.merge(&row).expect("the row is well-formed");
    }
    table
}

fn round(table: &Table) -> Duration {
    let mut hash = hash_key("archive", "horse-7");
    let start = Instant::now();
    for _ in 0..LOOKUPS {
        // The next hash depends on the result, so that lookups do not overlap.
        let owner = black_box(table.lookup("archive", black_box(hash)));
        let low = owner.map_or(0, |it| it.slice.low);
        hash = (hash ^ low)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(17)
            ^ hash;
    }
    start.elapsed()
}
