//! Sleeps with a finer resolution than those of Tokio.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Arc, Condvar, LazyLock, Mutex, PoisonError},
    thread,
    time::Duration,
};
use tokio::{sync::oneshot, time::Instant};

/// The timer of all sleeps, which runs on one thread. Tokio's timer rounds up to whole
/// milliseconds, which is too coarse for statement times of 200 µs and link delays of 0.5 ms.
static TIMER: LazyLock<Arc<Timer>> = LazyLock::new(|| {
    let timer = Arc::new(Timer::default());
    let worker = Arc::clone(&timer);
    thread::spawn(move || worker.run());
    timer
});

#[derive(Default)]
struct Timer {
    alarms: Mutex<BinaryHeap<Reverse<Alarm>>>,
    changed: Condvar,
}

struct Alarm {
    /// Time at which to wake the sleeping task.
    at: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Alarm {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Alarm {}

impl PartialOrd for Alarm {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Alarm {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

impl Timer {
    fn run(&self) {
        let mut alarms = self.alarms.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let now = Instant::now();
            while alarms.peek().is_some_and(|Reverse(alarm)| alarm.at <= now) {
                if let Some(Reverse(alarm)) = alarms.pop() {
                    // Sending fails if the sleeping task was cancelled.
                    let _ = alarm.wake.send(());
                }
            }
            let timeout = alarms
                .peek()
                .map_or(Duration::from_hours(1), |Reverse(alarm)| alarm.at - now);
            alarms = self
                .changed
                .wait_timeout(alarms, timeout)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

/// Sleeps for `duration` with a precision of about 0.1 ms.
pub async fn sleep(duration: Duration) {
    sleep_until(Instant::now() + duration).await;
}

/// Sleeps until `at` with a precision of about 0.1 ms.
pub async fn sleep_until(at: Instant) {
    if at <= Instant::now() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    let timer = &*TIMER;
    timer
        .alarms
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(Reverse(Alarm { at, wake }));
    timer.changed.notify_one();
    // The timer thread never drops an alarm without waking it.
    let _ = woken.await;
}
