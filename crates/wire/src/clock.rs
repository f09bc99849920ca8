//! Clocks and timers. A process reads the time only through this module.

use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts when it is created, at the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { started: Instant::now() }
    }
}

impl Clock {
    /// Milliseconds since the clock started.
    pub fn now_ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }
}

/// Milliseconds since the VM started, including the time for which it was suspended, which
/// [`Clock::now_ms`] does not count.
pub fn boot_ms() -> u64 {
    let since_boot = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(since_boot.tv_sec).unwrap_or_default();
    let ms = u64::try_from(since_boot.tv_nsec).unwrap_or_default() / 1_000_000;
    seconds.saturating_mul(1_000).saturating_add(ms)
}

/// Milliseconds since the Unix epoch by the system clock, which can jump forwards or backwards.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

pub async fn sleep_ms(ms: u64) {
    async_io::Timer::after(Duration::from_millis(ms)).await;
}

/// Runs a future for at most `ms` milliseconds. Returns `None` if it has not finished by then.
pub async fn within_ms<F: Future>(ms: u64, future: F) -> Option<F::Output> {
    let timeout = async {
        sleep_ms(ms).await;
        None
    };
    futures_lite::future::or(async { Some(future.await) }, timeout).await
}
