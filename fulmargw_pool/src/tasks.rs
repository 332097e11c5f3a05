//! Background tasks of the process, counted by name.

use std::{
    collections::BTreeMap,
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};
use tokio::task::JoinHandle;

/// The background tasks that run. Clones share the same counts.
#[derive(Debug, Clone, Default)]
pub struct Tasks {
    /// No other lock is taken while this one is held, so it needs no rank in the lock order.
    running: Arc<Mutex<BTreeMap<&'static str, usize>>>,
}

/// Counts a task until it is dropped.
struct Guard {
    tasks: Tasks,
    name: &'static str,
}

impl Tasks {
    /// Spawns a task that is counted under a name until it ends.
    pub fn spawn<F>(&self, name: &'static str, task: F) -> JoinHandle<F::Output>
    where
        F: Future<Output: Send> + Send + 'static,
    {
        *self.running().entry(name).or_default() += 1;
        let guard = Guard {
            tasks: self.clone(),
            name,
        };
        tokio::spawn(async move {
            let _guard = guard;
            task.await
        })
    }

    /// Returns the number of running tasks by name.
    #[must_use]
    pub fn counts(&self) -> BTreeMap<&'static str, usize> {
        self.running().clone()
    }

    fn running(&self) -> MutexGuard<'_, BTreeMap<&'static str, usize>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut running = self.tasks.running();
        if let Some(count) = running.get_mut(self.name) {
            *count -= 1;
            if *count == 0 {
                running.remove(self.name);
            }
        }
    }
}
