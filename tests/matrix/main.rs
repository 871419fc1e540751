//! Fault matrix: injects every fault at every step of a request, a booking, a configuration
//! change, a drain and an order, with real processes.
//!
//! `MATRIX_SEED` and `MATRIX_DOUBLES` set the seed and the number of random pairs of faults that
//! are injected together.

#[path = "../testenv/mod.rs"]
mod testenv;

mod cells;
mod checks;
mod faults;
mod slow_disks;

use std::sync::Mutex;

use cells::{Cell, Operation, single_cells};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use testenv::{SystemConfig, TestEnv};

/// Number of systems that run cells of one operation in parallel.
const PARALLEL_SYSTEMS: usize = 3;

fn system_config() -> SystemConfig {
    SystemConfig {
        controls: 3,
        agents: 2,
        entries: 2,
        service_delay_ms: 250,
        ..SystemConfig::default()
    }
}

/// Runs cells and returns a text for each that failed. A system is reused only after a cell that
/// passed, so that each cell starts on a healthy one.
fn run_cells(operation: Operation, cells: Vec<Cell>) -> Vec<String> {
    let queue = Mutex::new(cells.into_iter().enumerate());
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_SYSTEMS {
            scope.spawn(|| {
                let mut env = TestEnv::start(system_config());
                loop {
                    let Some((number, cell)) = queue.lock().unwrap().next() else { return };
                    let run = || checks::run_cell(&mut env, operation, number, &cell);
                    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(run))
                        .unwrap_or_else(|panic| Err(panic_text(&panic)));
                    if let Err(reason) = result {
                        let text = format!("{operation:?} {cell}: {reason}");
                        println!("FAILED {text}");
                        failed.lock().unwrap().push(text);
                        env = TestEnv::start(system_config());
                    }
                }
            });
        }
    });
    failed.into_inner().unwrap()
}

fn panic_text(panic: &Box<dyn std::any::Any + Send>) -> String {
    let owned = panic.downcast_ref::<String>().cloned();
    owned.unwrap_or_else(|| "panicked".to_owned())
}

fn run_operation(operation: Operation) {
    let (cells, skipped) = single_cells(operation);
    let count = cells.len();
    let failed = run_cells(operation, cells);
    println!(
        "matrix {operation:?}: {count} cells run, {} passed, {} failed, {} not applicable",
        count - failed.len(),
        failed.len(),
        skipped.len()
    );
    let mut reasons: Vec<&str> = skipped;
    reasons.sort_unstable();
    for reason in reasons.chunk_by(|a, b| a == b) {
        println!("  not applicable, {} cells: {}", reason.len(), reason[0]);
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

#[test]
fn requests() {
    run_operation(Operation::Request);
}

#[test]
fn bookings() {
    run_operation(Operation::Booking);
}

#[test]
fn configuration_changes() {
    run_operation(Operation::Change);
}

#[test]
fn drains() {
    run_operation(Operation::Drain);
}

#[test]
fn orders() {
    run_operation(Operation::Order);
}

#[test]
fn pairs_of_faults() {
    let number =
        |name: &str, or: u64| std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(or);
    let mut rng = ChaCha8Rng::seed_from_u64(number("MATRIX_SEED", 1));
    let pairs = number("MATRIX_DOUBLES", 8) as usize;
    for operation in [Operation::Request, Operation::Booking, Operation::Change] {
        let (cells, _) = single_cells(operation);
        let mut draw = || cells[rng.random_range(0..cells.len())].clone();
        let doubles = (0..pairs).map(|_| draw().with(draw())).collect();
        let failed = run_cells(operation, doubles);
        println!("matrix pairs {operation:?}: {pairs} run, {} failed", failed.len());
        assert!(failed.is_empty(), "{}", failed.join("\n"));
    }
}
