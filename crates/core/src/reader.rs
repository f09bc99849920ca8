//! Reads the log of edits from the platform's store. Only some daemons do, see [`ReadMode`].
//!
//! Watch events can be late or lost, so the reader relies on ordered lists of the edits after the
//! version held, which it also requests at intervals. Edits from a watch event are used only if
//! they follow the version held without a gap; another newer edit makes the reader list the log.

use crate::store::{
    EDITS_PREFIX, SNAPSHOTS_PREFIX, StoreFailure, StoreOp, StoreReply, StoredObject, edit_key,
    version_of_key,
};
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;

/// Most edits that one list call returns.
const LIST_LIMIT: u32 = 64;
/// Most snapshots that one list call returns; only the newest two are kept in the store.
const SNAPSHOT_LIST_LIMIT: u32 = 8;
/// How often the log is listed in mode [`ReadMode::Follow`], in milliseconds.
const FOLLOW_INTERVAL_MS: u64 = 2_000;
/// How often a relay that gets versions from its parent lists the log, in milliseconds on average.
const CHECK_INTERVAL_MS: u64 = 20_000;
/// How often a daemon without a parent lists the log, in milliseconds on average.
const POLL_INTERVAL_MS: u64 = 3_000;
/// How long the store holds a watch call open without a change, in milliseconds.
const WATCH_WAIT_MS: u32 = 10_000;
/// The base of the pause after failed calls, in milliseconds. Each failure in a row doubles it, so
/// the pause after the first one is twice the base.
const BACKOFF_BASE_MS: u64 = 200;
/// The longest pause after failed calls, in milliseconds.
const BACKOFF_MS_MAX: u64 = 4_000;

/// How this daemon reads the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadMode {
    /// Makes no calls.
    #[default]
    Off,
    /// Lists rarely, in case the parent does not send the newest versions. For a relay with a
    /// parent.
    Check,
    /// Lists more often. For a daemon that has been without a parent for a while.
    Poll,
    /// Lists most often and watches. For a leader, or a relay without a parent.
    Follow,
}

/// The purpose of a store call made by the reader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadCall {
    /// Lists the snapshots.
    Snapshots,
    /// Lists the edits after the version held.
    Edits,
    /// Waits for a change of the log.
    Watch,
}

/// What a reply of the store contains for the caller to apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    Nothing,
    /// Edits in key order. `reaches_end` tells whether the log has no later ones.
    Edits {
        objects: Vec<StoredObject>,
        reaches_end: bool,
    },
    Snapshots(Vec<StoredObject>),
}

/// The state of the reader: which calls are in flight, and when the next one is due.
#[derive(Debug, Default)]
pub struct LogReader {
    list_due_ms: u64,
    list_in_flight: bool,
    watch_in_flight: bool,
    /// Whether the next list call lists snapshots instead of edits.
    snapshots_needed: bool,
    /// The store's revision at the last list of edits or watch event, after which the next watch
    /// starts.
    revision: Option<u64>,
    /// Failed calls in a row.
    failures: u32,
    mode: ReadMode,
}

impl LogReader {
    pub fn new() -> Self {
        Self { snapshots_needed: true, ..Self::default() }
    }

    /// Makes the next list call list snapshots, since edits after the version held are missing from
    /// the log.
    pub fn request_snapshots(&mut self) {
        self.snapshots_needed = true;
    }

    /// Makes the next list call due at once.
    pub fn list_now(&mut self, now_ms: u64) {
        self.list_due_ms = self.list_due_ms.min(now_ms);
    }

    /// Returns the store calls that are due. A change of mode makes a list due at once, except a
    /// change to [`ReadMode::Check`].
    pub fn tick(
        &mut self,
        now_ms: u64,
        held_version: u64,
        mode: ReadMode,
        rng: &mut ChaCha8Rng,
    ) -> Vec<(ReadCall, StoreOp)> {
        let mut calls = Vec::new();
        if mode == ReadMode::Off {
            self.mode = mode;
            return calls;
        }
        if self.mode != mode && mode != ReadMode::Check {
            self.list_due_ms = now_ms;
        }
        self.mode = mode;
        if !self.list_in_flight && now_ms >= self.list_due_ms {
            self.list_in_flight = true;
            self.list_due_ms = now_ms + self.list_interval_ms(mode, rng);
            calls.push(self.list_call(held_version));
        }
        if mode == ReadMode::Follow
            && !self.watch_in_flight
            && self.failures == 0
            && let Some(after_revision) = self.revision
        {
            self.watch_in_flight = true;
            let prefix = EDITS_PREFIX.into();
            let op = StoreOp::Watch { prefix, after_revision, wait_ms: WATCH_WAIT_MS };
            calls.push((ReadCall::Watch, op));
        }
        calls
    }

    /// The time until the next list call. It is random from half to one and a half of the average,
    /// except in mode `Follow`.
    fn list_interval_ms(&mut self, mode: ReadMode, rng: &mut ChaCha8Rng) -> u64 {
        let mean_ms = match mode {
            ReadMode::Off | ReadMode::Follow => return FOLLOW_INTERVAL_MS,
            ReadMode::Check => CHECK_INTERVAL_MS,
            ReadMode::Poll => POLL_INTERVAL_MS,
        };
        mean_ms / 2 + rng.next_u64() % mean_ms
    }

    fn list_call(&self, held_version: u64) -> (ReadCall, StoreOp) {
        if self.snapshots_needed {
            let prefix = SNAPSHOTS_PREFIX.into();
            let limit = SNAPSHOT_LIST_LIMIT;
            return (ReadCall::Snapshots, StoreOp::List { prefix, start_after: None, limit });
        }
        let start_after = Some(edit_key(held_version));
        let op = StoreOp::List { prefix: EDITS_PREFIX.into(), start_after, limit: LIST_LIMIT };
        (ReadCall::Edits, op)
    }

    /// Handles the reply to a store call.
    pub fn handle_reply(
        &mut self,
        call: ReadCall,
        result: Result<StoreReply, StoreFailure>,
        held_version: u64,
        now_ms: u64,
    ) -> ReadResult {
        match call {
            ReadCall::Watch => self.watch_in_flight = false,
            ReadCall::Snapshots | ReadCall::Edits => self.list_in_flight = false,
        }
        match (call, result) {
            (ReadCall::Watch, Ok(StoreReply::Changed { objects, revision })) => {
                self.record_success();
                self.revision = self.revision.max(Some(revision));
                self.handle_watch_event(&objects, held_version, now_ms)
            }
            (ReadCall::Snapshots, Ok(StoreReply::Listed { objects, .. })) => {
                self.record_success();
                self.snapshots_needed = false;
                self.list_now(now_ms);
                ReadResult::Snapshots(objects)
            }
            (ReadCall::Edits, Ok(StoreReply::Listed { objects, revision })) => {
                self.record_success();
                self.revision = Some(revision);
                let reaches_end = objects.len() < LIST_LIMIT as usize;
                if !reaches_end {
                    self.list_now(now_ms);
                }
                ReadResult::Edits { objects, reaches_end }
            }
            (call, _) => {
                self.record_failure(call, now_ms);
                ReadResult::Nothing
            }
        }
    }

    /// Returns the edits of a watch event that follow the version held without a gap. Lists the log
    /// if the event has other newer edits.
    fn handle_watch_event(
        &mut self,
        objects: &[StoredObject],
        held_version: u64,
        now_ms: u64,
    ) -> ReadResult {
        let mut next_version = held_version + 1;
        let mut following = Vec::new();
        let mut newer_count = 0;
        for object in objects {
            let Some(version) = version_of_key(EDITS_PREFIX, &object.key) else { continue };
            newer_count += u32::from(version > held_version);
            if version == next_version {
                following.push(object.clone());
                next_version += 1;
            }
        }
        if newer_count as usize > following.len() {
            self.list_now(now_ms);
        }
        ReadResult::Edits { objects: following, reaches_end: false }
    }

    fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Counts a failed call. A failed list call also delays the next one. A failed watch does not,
    /// but no watch is started again until a list has succeeded.
    fn record_failure(&mut self, call: ReadCall, now_ms: u64) {
        self.failures += 1;
        let pause_ms = (BACKOFF_BASE_MS << self.failures.min(5)).min(BACKOFF_MS_MAX);
        if call != ReadCall::Watch {
            self.list_due_ms = now_ms + pause_ms;
        }
    }
}
