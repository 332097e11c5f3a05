//! The lock order of shared tables.

use fulmargw_model::lock::{Mutex, Rank};
use std::panic::{AssertUnwindSafe, catch_unwind};

fn tables() -> (Mutex<u32>, Mutex<u32>) {
    (Mutex::new(Rank::Queue, 1), Mutex::new(Rank::Server, 2))
}

#[test]
fn ascending_ranks_are_accepted() {
    let (queue, server) = tables();

    let sum = *queue.lock() + *server.lock();

    assert_eq!(sum, 3);
}

/// Guards against deadlocks between two tables that are locked in both orders.
#[test]
fn descending_ranks_panic_in_debug_builds() {
    let (queue, server) = tables();

    let result = catch_unwind(AssertUnwindSafe(|| {
        let held = server.lock();
        *queue.lock() + *held
    }));

    assert_eq!(result.is_err(), cfg!(debug_assertions));
}

/// Guards against a rank that stays marked as held after its guard is dropped.
#[test]
fn a_rank_can_be_locked_again_after_release() {
    let (queue, server) = tables();

    drop(server.lock());
    let value = *queue.lock();

    assert_eq!(value, 1);
}
