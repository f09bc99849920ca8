//! The signals that stop the daemon or make it read its settings again.

use crate::error::DaemonError;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::poll_once;
use nix::sys::signal::{SigSet, Signal as BlockedSignal};
use std::io;

/// What a signal asks the daemon to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

/// The handled signals. Those that arrive before the daemon serves are kept until then.
pub struct DaemonSignals {
    signals: Signals,
    /// Whether a SIGHUP arrived before the daemon served.
    is_reload_pending: bool,
}

impl DaemonSignals {
    /// Installs the handlers, then unblocks the signals. A process that starts the daemon can block
    /// them, so that none takes effect before the handlers are installed: the blocked signals are
    /// inherited.
    pub fn install() -> Result<Self, DaemonError> {
        let handled = [Signal::Term, Signal::Int, Signal::Hup];
        let signals = Signals::new(handled).map_err(DaemonError::Signals)?;
        let mut blocked = SigSet::empty();
        for signal in [BlockedSignal::SIGTERM, BlockedSignal::SIGINT, BlockedSignal::SIGHUP] {
            blocked.add(signal);
        }
        blocked.thread_unblock().map_err(|error| DaemonError::Signals(io::Error::from(error)))?;
        Ok(Self { signals, is_reload_pending: false })
    }

    /// Whether a signal to stop has arrived before the daemon serves.
    pub async fn is_stop_pending(&mut self) -> Result<bool, DaemonError> {
        while let Some(request) = poll_once(next_request(&mut self.signals)).await {
            match request? {
                SignalRequest::Stop => return Ok(true),
                SignalRequest::Reload => self.is_reload_pending = true,
            }
        }
        Ok(false)
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Result<SignalRequest, DaemonError> {
        if std::mem::take(&mut self.is_reload_pending) {
            return Ok(SignalRequest::Reload);
        }
        next_request(&mut self.signals).await
    }
}

async fn next_request(signals: &mut Signals) -> Result<SignalRequest, DaemonError> {
    match signals.next().await {
        Some(Ok(Signal::Hup)) => Ok(SignalRequest::Reload),
        Some(Err(error)) => Err(DaemonError::Signals(error)),
        Some(Ok(_)) | None => Ok(SignalRequest::Stop),
    }
}
