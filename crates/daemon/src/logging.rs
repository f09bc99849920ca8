//! Structured logs: one JSON object a line, each with the number of its event.

use crate::settings::LogLevel;
use logforth::append::Stderr;
use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter};
use pomeloreach_core::event::{Event, EventRecord};

/// Sends logs to standard error from now on.
pub fn start(log_level: LogLevel) {
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
                .append(Stderr::default().with_layout(JsonLayout::default()))
        })
        .apply();
}

/// Logs an event of the control plane.
pub fn log_record(record: &EventRecord) {
    log_event(record.event, &record.detail);
}

pub fn log_event(event: Event, detail: &str) {
    let (number, name) = (event.number(), event.to_string());
    match event {
        Event::VersionRefused
        | Event::SnapshotRefused
        | Event::StoreFailing
        | Event::PeerRefused
        | Event::SettingsRefused
        | Event::HeartbeatRefused
        | Event::TargetUnreachable
        | Event::HeaderDropped
        | Event::AcceptFailed
        | Event::InputRefused => log::warn!(event = number, name = name.as_str(); "{detail}"),
        _ => log::info!(event = number, name = name.as_str(); "{detail}"),
    }
}
