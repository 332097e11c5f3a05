//! The lock order of shared tables.

use fulmargw_model::lock::{Mutex, Rank};
use std::panic::{AssertUnwindSafe, catch_unwind};

fn tables() -> (Mutex<u32>, Mutex<u32>) {
    (Mutex::new(Rank::Queue, 1), Mutex::new(Rank::Server, 2))
}

#[test]
fn locking_in_ascending_order_succeeds() {
    let (queue, server) = tables();

    let sum = *queue.lock() + *server.lock();

    assert_eq!(sum, 3);
}

/// Guards against a deadlock between two threads that lock the same tables in opposite order.
#[test]
fn locking_in_descending_order_panics_in_debug_builds() {
    let (queue, server) = tables();

    let result = catch_unwind(AssertUnwindSafe(|| {
        let held = server.lock();
        *queue.lock() + *held
    }));

    assert_eq!(result.is_err(), cfg!(debug_assertions));
}

/// Guards against a rank that stays marked as held after its guard is dropped, which would make
/// the next lock of an earlier rank panic.
#[test]
fn earlier_rank_can_be_locked_after_release() {
    let (queue, server) = tables();

    drop(server.lock());
    let value = *queue.lock();

    assert_eq!(value, 1);
}
