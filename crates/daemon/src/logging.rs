//! Structured logs: one JSON object a line on standard output, each with the number of its event.
//!
//! Logging never holds a daemon up. Lines wait in a bounded buffer and are written only while the
//! reader of the pipe takes them; [`LogRateLimiter`] bounds how many there are. What is left out, for
//! either reason, is counted and logged.

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

/// Bytes of lines that wait for the reader: about a thousand lines.
const BUFFER_BYTES_MAX: usize = 256 * 1024;
/// Bytes that are written at once. A pipe that is ready takes this many without blocking
/// (`PIPE_BUF` on Linux).
const WRITE_BYTES_MAX: usize = 4_096;
/// How often waiting lines should be written in any case, in milliseconds.
const FLUSH_INTERVAL_MS: u64 = 200;

static STDOUT_BUFFER: LazyLock<Mutex<StdoutBuffer>> = LazyLock::new(Mutex::default);
static CLOCK: LazyLock<Clock> = LazyLock::new(Clock::default);

/// Lines on their way to standard output.
#[derive(Debug, Default)]
struct StdoutBuffer {
    limiter: LogRateLimiter,
    pending: VecDeque<u8>,
    /// Lines that the reader was too slow for.
    dropped_lines: u64,
}

impl StdoutBuffer {
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

    /// Writes what the reader takes now.
    fn write(&mut self) {
        while !self.pending.is_empty() && stdout_is_writable() {
            let (front, _) = self.pending.as_slices();
            let bytes = &front[..front.len().min(WRITE_BYTES_MAX)];
            match rustix::io::write(rustix::stdio::stdout(), bytes) {
                Ok(written) => drop(self.pending.drain(..written)),
                Err(rustix::io::Errno::INTR) => {}
                Err(_) => {
                    // Nobody reads any more, and there is nowhere to say so.
                    self.pending.clear();
                    return;
                }
            }
        }
    }
}

fn stdout_is_writable() -> bool {
    let stdout = rustix::stdio::stdout();
    let mut polled = [PollFd::new(&stdout, PollFlags::OUT)];
    let zero_timeout = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut polled, Some(&zero_timeout)), Ok(ready) if ready > 0)
}

fn lock_stdout_buffer() -> MutexGuard<'static, StdoutBuffer> {
    STDOUT_BUFFER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Hands formatted records to the outlet.
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

/// Sends logs to standard output from now on.
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

/// Writes waiting lines at a steady pace, so that none waits for the next one.
pub async fn flush_periodically() {
    loop {
        sleep_ms(FLUSH_INTERVAL_MS).await;
        flush();
    }
}

/// Writes waiting lines, and says which were left out.
fn flush() {
    let (suppressed, dropped) = {
        let mut buffer = lock_stdout_buffer();
        (buffer.limiter.take_due_report(CLOCK.now_ms()), std::mem::take(&mut buffer.dropped_lines))
    };
    log_suppressed(suppressed, dropped);
    log::logger().flush();
}

/// Writes what can be written of the last lines.
pub fn finish() {
    let suppressed = lock_stdout_buffer().limiter.take_left_out();
    log_suppressed(suppressed, 0);
    log::logger().flush();
}

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

pub fn log_event(event: Event, detail: &str) {
    log_with(event, || detail.to_string());
}

/// Logs an event whose detail is only worked out if the line is written.
pub fn log_with(event: Event, detail: impl FnOnce() -> String) {
    if lock_stdout_buffer().limiter.allows(event, CLOCK.now_ms()) {
        write_event(event, &detail());
    }
}

fn write_event(event: Event, detail: &str) {
    let (number, name) = (event.number(), event.to_string());
    match event {
        Event::VersionRefused
        | Event::SnapshotRefused
        | Event::StoreFailing
        | Event::PeerRefused
        | Event::SettingsRefused
        | Event::LogsLeftOut
        | Event::HeartbeatRefused
        | Event::TargetUnreachable
        | Event::HeaderDropped
        | Event::AcceptFailed
        | Event::InputRefused => log::warn!(event = number, name = name.as_str(); "{detail}"),
        _ => log::info!(event = number, name = name.as_str(); "{detail}"),
    }
}
