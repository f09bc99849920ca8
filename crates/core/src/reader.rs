//! Reads the log of edits from the platform's store, for the few daemons that do.
//!
//! A watch only hints that something changed. What counts is the ordered list behind the version
//! held, which is also asked for at a steady pace in case watch events are late or lost.

use crate::store::{
    EDITS_PREFIX, SNAPSHOTS_PREFIX, StoreFailure, StoreOp, StoreReply, StoredObject, edit_key,
    version_of_key,
};
use rand_chacha::ChaCha8Rng;
use rand_core::RngCore;

/// Edits in one list.
const LIST_LIMIT: u32 = 64;
/// Snapshots in one list; only the newest two are kept in the store.
const SNAPSHOT_LIST_LIMIT: u32 = 8;
/// How often the log is listed even when no watch says so, in milliseconds.
const LIST_EVERY_MS: u64 = 2_000;
/// How often a relay lists the log although its parent feeds it, in milliseconds on average.
const CHECK_EVERY_MS: u64 = 20_000;
/// How often a daemon without a parent lists the log, in milliseconds on average.
const POLL_EVERY_MS: u64 = 3_000;
/// How long a watch waits, in milliseconds.
const WATCH_WAIT_MS: u32 = 10_000;
/// Pauses after failures grow from this one, in milliseconds.
const FAILURE_PAUSE_MS: u64 = 200;
/// The longest pause after failures, in milliseconds.
const FAILURE_PAUSE_MAX_MS: u64 = 4_000;

/// How much of the log this daemon reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReadMode {
    #[default]
    Off,
    /// Lists rarely, in case the parent is wrong: a relay.
    Check,
    /// Lists from time to time: a daemon that has been without a parent for a while.
    Poll,
    /// Lists and watches: a lead, or a relay without one.
    Follow,
}

/// What a call to the store by this system was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadCall {
    Snapshots,
    Edits,
    Watch,
}

/// What the store's answer brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    Nothing,
    /// Objects of the log in key order. `reaches_end` when the list went to the end of the log.
    Edits {
        objects: Vec<StoredObject>,
        reaches_end: bool,
    },
    Snapshots(Vec<StoredObject>),
}

/// The reader's table.
#[derive(Debug, Default)]
pub struct LogReader {
    list_due_ms: u64,
    listing: bool,
    watching: bool,
    want_snapshots: bool,
    revision: Option<u64>,
    failures: u32,
    mode: ReadMode,
}

impl LogReader {
    pub fn new() -> Self {
        Self { want_snapshots: true, ..Self::default() }
    }

    /// Asks for snapshots before the next list, since edits behind the version held are missing.
    pub fn request_snapshots(&mut self) {
        self.want_snapshots = true;
    }

    /// Lists at the next tick.
    pub fn list_now(&mut self, now_ms: u64) {
        self.list_due_ms = self.list_due_ms.min(now_ms);
    }

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
        if !self.listing && now_ms >= self.list_due_ms {
            self.listing = true;
            self.list_due_ms = now_ms + self.pause_ms(mode, rng);
            calls.push(self.list_call(held_version));
        }
        if mode == ReadMode::Follow
            && !self.watching
            && self.failures == 0
            && let Some(after_revision) = self.revision
        {
            self.watching = true;
            let prefix = EDITS_PREFIX.into();
            let op = StoreOp::Watch { prefix, after_revision, wait_ms: WATCH_WAIT_MS };
            calls.push((ReadCall::Watch, op));
        }
        calls
    }

    fn pause_ms(&mut self, mode: ReadMode, rng: &mut ChaCha8Rng) -> u64 {
        let pause_ms = match mode {
            ReadMode::Off | ReadMode::Follow => return LIST_EVERY_MS,
            ReadMode::Check => CHECK_EVERY_MS,
            ReadMode::Poll => POLL_EVERY_MS,
        };
        pause_ms / 2 + rng.next_u64() % pause_ms
    }

    fn list_call(&self, held_version: u64) -> (ReadCall, StoreOp) {
        if self.want_snapshots {
            let prefix = SNAPSHOTS_PREFIX.into();
            let limit = SNAPSHOT_LIST_LIMIT;
            return (ReadCall::Snapshots, StoreOp::List { prefix, start_after: None, limit });
        }
        let start_after = Some(edit_key(held_version));
        let op = StoreOp::List { prefix: EDITS_PREFIX.into(), start_after, limit: LIST_LIMIT };
        (ReadCall::Edits, op)
    }

    /// Takes in the store's answer.
    pub fn handle_reply(
        &mut self,
        call: ReadCall,
        result: Result<StoreReply, StoreFailure>,
        held_version: u64,
        now_ms: u64,
    ) -> ReadResult {
        match call {
            ReadCall::Watch => self.watching = false,
            ReadCall::Snapshots | ReadCall::Edits => self.listing = false,
        }
        match (call, result) {
            (ReadCall::Watch, Ok(StoreReply::Changed { objects, revision })) => {
                self.succeeded();
                self.revision = self.revision.max(Some(revision));
                self.hinted(&objects, held_version, now_ms)
            }
            (ReadCall::Snapshots, Ok(StoreReply::Listed { objects, .. })) => {
                self.succeeded();
                self.want_snapshots = false;
                self.list_now(now_ms);
                ReadResult::Snapshots(objects)
            }
            (ReadCall::Edits, Ok(StoreReply::Listed { objects, revision })) => {
                self.succeeded();
                self.revision = Some(revision);
                let reaches_end = objects.len() < LIST_LIMIT as usize;
                if !reaches_end {
                    self.list_now(now_ms);
                }
                ReadResult::Edits { objects, reaches_end }
            }
            (call, _) => {
                self.failed(call, now_ms);
                ReadResult::Nothing
            }
        }
    }

    /// Edits that follow the version held are taken from the event; for others the log is listed.
    fn hinted(&mut self, objects: &[StoredObject], held_version: u64, now_ms: u64) -> ReadResult {
        let mut next = held_version + 1;
        let mut following = Vec::new();
        let mut newer = 0;
        for object in objects {
            let Some(version) = version_of_key(EDITS_PREFIX, &object.key) else { continue };
            newer += u32::from(version > held_version);
            if version == next {
                following.push(object.clone());
                next += 1;
            }
        }
        if newer as usize > following.len() {
            self.list_now(now_ms);
        }
        ReadResult::Edits { objects: following, reaches_end: false }
    }

    fn succeeded(&mut self) {
        self.failures = 0;
    }

    fn failed(&mut self, call: ReadCall, now_ms: u64) {
        self.failures += 1;
        let pause_ms = (FAILURE_PAUSE_MS << self.failures.min(5)).min(FAILURE_PAUSE_MAX_MS);
        if call != ReadCall::Watch {
            self.list_due_ms = now_ms + pause_ms;
        }
    }
}
