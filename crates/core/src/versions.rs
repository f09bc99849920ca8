//! Handles replies of the store, and applies the versions that come from it or from other daemons.

use crate::event::Event;
use crate::log::EditOutcome;
use crate::minimum_version::MinimumVersionSource;
use crate::node::{CallOwner, Node, Output, StoreCallId};
use crate::reader::{ReadCall, ReadResult};
use crate::store::{
    EDITS_PREFIX, SNAPSHOTS_PREFIX, StoreFailure, StoreReply, StoredObject, version_of_key,
};
use std::sync::Arc;

impl Node {
    /// Passes a reply to the part of the node that made the call.
    pub(crate) fn handle_store_reply(
        &mut self,
        call: StoreCallId,
        result: Result<StoreReply, StoreFailure>,
    ) {
        let Some(owner) = self.store_calls.remove(&call) else { return };
        self.record_store_result(result.is_ok());
        match owner {
            CallOwner::Read(read_call) => self.handle_log_reply(read_call, result),
            CallOwner::Role(role_call) => {
                self.roles.handle_reply(role_call, result, self.now_ms);
                self.apply_role_changes();
            }
            CallOwner::Publish { ticket, call } => {
                let config = self.log.config().clone();
                let objects =
                    self.publisher.handle_reply(ticket, call, result, &config, self.now_ms);
                self.apply_edit_objects(&objects);
                self.run_publisher();
            }
            CallOwner::MinimumVersion => self.handle_minimum_version_reply(result),
            CallOwner::Compaction(compaction_call) => {
                let events = self.compactor.handle_reply(compaction_call, result);
                for (event, detail) in events {
                    self.event(event, detail);
                }
                self.run_compactor();
            }
        }
    }

    /// Counts failed calls in a row, and logs when the store starts failing and when it recovers.
    pub(crate) fn record_store_result(&mut self, is_ok: bool) {
        let was_failing = self.is_store_failing();
        self.store_failures = if is_ok { 0 } else { self.store_failures.saturating_add(1) };
        match (was_failing, self.is_store_failing()) {
            (false, true) => self.event(Event::StoreFailing, String::new()),
            (true, false) => self.event(Event::StoreRecovered, String::new()),
            _ => {}
        }
    }

    /// Applies what the log reader received. The end of the log also sets the minimum version if it
    /// is not known yet.
    pub(crate) fn handle_log_reply(
        &mut self,
        call: ReadCall,
        result: Result<StoreReply, StoreFailure>,
    ) {
        let held_version = self.log.version();
        match self.reader.handle_reply(call, result, held_version, self.now_ms) {
            ReadResult::Nothing => {}
            ReadResult::Edits { objects, reaches_end } => {
                let version_before = self.log.version();
                self.apply_edit_objects(&objects);
                if reaches_end && !self.minimum_version.is_known() {
                    let newest_version = self.newest_version.max(self.log.version());
                    self.minimum_version.set(newest_version, MinimumVersionSource::Store);
                }
                if self.log.version() != version_before {
                    self.reader.list_now(self.now_ms);
                }
            }
            ReadResult::Snapshots(objects) => self.apply_snapshots(&objects),
        }
        self.run_reader();
    }

    /// Applies the newest snapshot that passes every check.
    pub(crate) fn apply_snapshots(&mut self, objects: &[StoredObject]) {
        for object in objects.iter().rev() {
            let Some(version) = version_of_key(SNAPSHOTS_PREFIX, &object.key) else { continue };
            if self.apply_snapshot(object.value.as_bytes(), Some(version)) {
                return;
            }
        }
    }

    /// Applies a snapshot if it is newer than the version held and passes every check. Returns
    /// false if a check failed, so that an older snapshot should be tried. A snapshot that is not
    /// newer is not checked further, and the result is true.
    pub(crate) fn apply_snapshot(&mut self, raw: &[u8], key_version: Option<u64>) -> bool {
        match self.log.apply_snapshot(raw, key_version) {
            Ok(false) => true,
            Ok(true) => {
                let version = self.log.version();
                self.event(Event::SnapshotApplied, format!("version={version}"));
                self.after_version_change();
                true
            }
            Err(refusal) => {
                self.event(Event::SnapshotRefused, format!("reason=\"{refusal}\""));
                false
            }
        }
    }

    /// Applies edits from the store in key order. If one is missing, snapshots are listed instead.
    pub(crate) fn apply_edit_objects(&mut self, objects: &[StoredObject]) {
        for object in objects {
            let Some(version) = version_of_key(EDITS_PREFIX, &object.key) else { continue };
            let raw: Arc<[u8]> = object.value.as_bytes().into();
            if self.apply_edit(version, &raw) == EditOutcome::Gap {
                self.reader.request_snapshots();
                self.reader.list_now(self.now_ms);
                return;
            }
        }
    }

    /// Applies one edit to the configuration log and logs the outcome.
    pub(crate) fn apply_edit(&mut self, version: u64, raw: &Arc<[u8]>) -> EditOutcome {
        let outcome = self.log.apply_edit(version, raw);
        match &outcome {
            EditOutcome::Stale | EditOutcome::Gap => {}
            EditOutcome::Applied => {
                self.event(Event::VersionApplied, format!("version={version}"));
                self.after_version_change();
            }
            EditOutcome::Refused(refusal) => {
                let detail = format!("version={version} reason=\"{refusal}\"");
                self.event(Event::VersionRefused, detail);
                self.after_version_change();
            }
        }
        outcome
    }

    /// Updates what depends on the version held.
    pub(crate) fn after_version_change(&mut self) {
        self.newest_version = self.newest_version.max(self.log.version());
        self.put_in_force();
    }

    /// Passes the configuration held to the data plane, if the minimum version has been reached and
    /// this version is not in force yet.
    pub(crate) fn put_in_force(&mut self) {
        self.minimum_version.update_reached(self.log.version());
        if !self.minimum_version.is_reached() {
            return;
        }
        let version = self.log.version();
        if self.in_force_version == Some(version) {
            return;
        }
        if self.in_force_version.is_none() {
            self.event(Event::DaemonReady, format!("version={version}"));
        }
        assert!(Some(version) > self.in_force_version, "the version in force must increase");
        self.in_force_version = Some(version);
        let config = self.log.config().clone();
        self.output(Output::ConfigInForce(config));
    }
}
