//! Structured logs on standard output: one JSON object per line, with the number of its event.
//!
//! Logging never blocks the daemon. Lines wait in a bounded buffer and are written only while
//! standard output accepts them; lines that do not fit into the buffer are dropped.
//! [`LogRateLimiter`] limits the rate of each event's lines and suppresses those above it. The
//! numbers of dropped and suppressed lines are logged.

use crate::settings::LogLevel;
use logforth::append::Append;
use logforth::diagnostic::Diagnostic;
use logforth::layout::{JsonLayout, Layout};
use logforth::record::{Level, LevelFilter, Record};
use pomeloreach_core::event::{Event, EventRecord};
use pomeloreach_core::log_rate_limit::LogRateLimiter;
use pomeloreach_wire::clock::{Clock, sleep_ms};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::VecDeque;
use std::sync::{LazyLock, Mutex, MutexGuard, PoisonError};

/// The size of the buffer, in bytes: about a thousand lines.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// The most bytes that one call writes. A pipe that is reported as writable accepts this many
/// without blocking (`PIPE_BUF` on Linux).
const WRITE_BYTES_MAX: usize = 4_096;
/// The time after which buffered lines are written even if they are few, in milliseconds.
const FLUSH_INTERVAL_MS: u64 = 200;

static STDOUT_BUFFER: LazyLock<Mutex<StdoutBuffer>> = LazyLock::new(Mutex::default);
static CLOCK: LazyLock<Clock> = LazyLock::new(Clock::default);

/// Log lines that are waiting to be written to standard output, and the limits on them.
#[derive(Debug, Default)]
struct StdoutBuffer {
    limiter: LogRateLimiter,
    /// The bytes of the lines, each with its line feed.
    pending: VecDeque<u8>,
    /// Lines that did not fit into the buffer since this number was last logged.
    dropped_lines: u64,
}

impl StdoutBuffer {
    /// Adds a line to the buffer, or counts it as dropped if it does not fit.
    fn push(&mut self, line: &[u8]) {
        if self.pending.len() + line.len() > BUFFER_BYTES_MAX {
            self.dropped_lines += 1;
            return;
        }
        self.pending.extend(line);
        if self.pending.len() >= WRITE_BYTES_MAX {
            self.write();
        }
    }

    /// Writes as much as standard output accepts without blocking.
    fn write(&mut self) {
        while !self.pending.is_empty() && stdout_is_writable() {
            let (front, _) = self.pending.as_slices();
            let bytes = &front[..front.len().min(WRITE_BYTES_MAX)];
            match rustix::io::write(rustix::stdio::stdout(), bytes) {
                Ok(written) => drop(self.pending.drain(..written)),
                Err(rustix::io::Errno::INTR) => {}
                Err(_) => {
                    // Usually the reader has closed the pipe, so the error cannot be logged either.
                    self.pending.clear();
                    return;
                }
            }
        }
    }
}

/// Whether a write to standard output would not block.
fn stdout_is_writable() -> bool {
    let stdout = rustix::stdio::stdout();
    let mut polled = [PollFd::new(&stdout, PollFlags::OUT)];
    let zero_timeout = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut polled, Some(&zero_timeout)), Ok(ready) if ready > 0)
}

fn lock_stdout_buffer() -> MutexGuard<'static, StdoutBuffer> {
    STDOUT_BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Formats log records as JSON and adds them to the buffer.
#[derive(Debug)]
struct StdoutAppender(JsonLayout);

impl Append for StdoutAppender {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.0.format(record, diagnostics)?;
        line.push(b'\n');
        lock_stdout_buffer().push(&line);
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        lock_stdout_buffer().write();
        Ok(())
    }
}

/// Sets up logging to standard output, for records of at least this level.
pub fn init(log_level: LogLevel) {
    let level = match log_level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(level))
                .append(StdoutAppender(JsonLayout::default()))
        })
        .apply();
}

/// Writes buffered lines periodically, so that a line does not wait until enough others follow.
pub async fn flush_periodically() {
    loop {
        sleep_ms(FLUSH_INTERVAL_MS).await;
        flush();
    }
}

/// Writes buffered lines, and logs how many lines were suppressed or dropped.
fn flush() {
    let (suppressed, dropped) = {
        let mut buffer = lock_stdout_buffer();
        (buffer.limiter.take_due_report(CLOCK.now_ms()), std::mem::take(&mut buffer.dropped_lines))
    };
    log_suppressed(suppressed, dropped);
    log::logger().flush();
}

/// Writes the remaining lines when the daemon stops, as far as standard output accepts them.
pub fn finish() {
    let suppressed = lock_stdout_buffer().limiter.take_suppressed();
    log_suppressed(suppressed, 0);
    log::logger().flush();
}

/// Logs how many lines of each event the rate limit suppressed, and how many a full buffer dropped.
fn log_suppressed(suppressed: Vec<(Event, u64)>, dropped: u64) {
    for (event, count) in suppressed {
        write_event(Event::LogsLeftOut, &format!("of={event} count={count} reason=rate"));
    }
    if dropped > 0 {
        write_event(Event::LogsLeftOut, &format!("count={dropped} reason=reader is slow"));
    }
}

/// Logs an event of the control plane.
pub fn log_record(record: &EventRecord) {
    log_event(record.event, &record.detail);
}

/// Logs an event, subject to the rate limit of that event.
pub fn log_event(event: Event, detail: &str) {
    log_with(event, || detail.to_string());
}

/// Logs an event; `detail` is called only if the rate limit admits the line.
pub fn log_with(event: Event, detail: impl FnOnce() -> String) {
    if lock_stdout_buffer().limiter.allows(event, CLOCK.now_ms()) {
        write_event(event, &detail());
    }
}

/// Logs an event at its level, without a rate limit.
fn write_event(event: Event, detail: &str) {
    let (number, name) = (event.number(), event.to_string());
    match event {
        Event::VersionRefused
        | Event::SnapshotRefused
        | Event::StoreFailing
        | Event::StoreRestored
        | Event::PeerRefused
        | Event::SettingsRefused
        | Event::LogsLeftOut
        | Event::HeartbeatRefused
        | Event::LeaveNotStored
        | Event::TargetUnreachable
        | Event::HeaderDropped
        | Event::AcceptFailed
        | Event::ClientBounded
        | Event::InputRefused => log::warn!(event = number, name = name.as_str(); "{detail}"),
        _ => log::info!(event = number, name = name.as_str(); "{detail}"),
    }
}
