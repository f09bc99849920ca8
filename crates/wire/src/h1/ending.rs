//! Decides how a client's connection ends: which requests may still start, and which response is the
//! last one.

use super::activity::ConnectionActivity;
use async_channel::{Receiver, Sender};
use std::cell::Cell;
use std::rc::Rc;

/// The end of a client's connection. A stop of the service, an idle connection, a refused request and
/// `Connection: close` all end it through this type, so that a request that has started is never left
/// without its response: requests stop first, and only then is a response chosen as the last one. See
/// "The end of a connection" in `docs/HTTP.md`.
pub struct ConnectionEnding {
    activity: Rc<ConnectionActivity>,
    /// No further request may start.
    is_closing: Cell<bool>,
    /// Closed when the last response was chosen.
    last_chosen: (Sender<()>, Receiver<()>),
}

impl ConnectionEnding {
    pub fn new(activity: Rc<ConnectionActivity>) -> Self {
        let last_chosen = async_channel::bounded(1);
        Self { activity, is_closing: Cell::new(false), last_chosen }
    }

    /// Counts a request as started. Returns false if the request must not start, because the
    /// connection is ending.
    pub fn start_request(&self) -> bool {
        if self.is_closing.get() {
            return false;
        }
        self.activity.request_started();
        true
    }

    /// Ends the connection after the responses to the requests that have started.
    pub fn close(&self) {
        self.is_closing.set(true);
    }

    pub fn is_closing(&self) -> bool {
        self.is_closing.get()
    }

    /// Decides whether the response that is sent next is the last one. On a draining connection that is
    /// the first response behind which no request has started.
    pub fn choose_last(&self, is_draining: bool) -> bool {
        let is_last = self.activity.in_flight() <= 1 && (is_draining || self.is_closing.get());
        if is_last {
            self.close();
            self.last_chosen.0.close();
        }
        is_last
    }

    /// Completes when the last response was chosen.
    pub async fn last_chosen(&self) {
        // Nothing is sent on the channel.
        self.last_chosen.1.recv().await.ok();
    }
}
