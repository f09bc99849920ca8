//! Takes in what the store answers and what others send: versions, one by one or as a snapshot.

use crate::event::Event;
use crate::floor::FloorSource;
use crate::log::Offer;
use crate::node::{CallOwner, Node, Output, StoreCallId};
use crate::reader::{ReadCall, ReadResult};
use crate::store::{
    EDITS_PREFIX, SNAPSHOTS_PREFIX, StoreFailure, StoreReply, StoredObject, version_of_key,
};
use std::sync::Arc;

impl Node {
    pub(crate) fn store_answered(
        &mut self,
        call: StoreCallId,
        result: Result<StoreReply, StoreFailure>,
    ) {
        let Some(owner) = self.store_calls.remove(&call) else { return };
        self.note_store_health(result.is_ok());
        match owner {
            CallOwner::Read(read) => self.log_read(read, result),
            CallOwner::Role(role_call) => {
                self.roles.handle_reply(role_call, result, self.now_ms);
                self.apply_role_changes();
            }
            CallOwner::Publish { ticket, call } => {
                let held = self.log.config().clone();
                let objects = self.publisher.answered(ticket, call, result, &held, self.now_ms);
                self.take_objects(&objects);
                self.run_publisher();
            }
            CallOwner::Floor => self.floor_answered(result),
            CallOwner::Keep(keep) => {
                let events = self.keeper.answered(keep, result);
                for (event, detail) in events {
                    self.event(event, detail);
                }
                self.run_keeper();
            }
        }
    }

    pub(crate) fn note_store_health(&mut self, is_ok: bool) {
        let was_failing = self.is_store_failing();
        self.store_failures = if is_ok { 0 } else { self.store_failures.saturating_add(1) };
        match (was_failing, self.is_store_failing()) {
            (false, true) => self.event(Event::StoreFailing, String::new()),
            (true, false) => self.event(Event::StoreRecovered, String::new()),
            _ => {}
        }
    }

    pub(crate) fn log_read(&mut self, call: ReadCall, result: Result<StoreReply, StoreFailure>) {
        let held_version = self.log.version();
        match self.reader.answered(call, result, held_version, self.now_ms) {
            ReadResult::Nothing => {}
            ReadResult::Edits { objects, is_whole } => {
                let before = self.log.version();
                self.take_objects(&objects);
                if is_whole && !self.floor.is_known() {
                    let newest = self.newest_version.max(self.log.version());
                    self.floor.learn(newest, FloorSource::Store);
                }
                if self.log.version() != before {
                    self.reader.list_now(self.now_ms);
                }
            }
            ReadResult::Snapshots(objects) => self.take_snapshots(&objects),
        }
        self.run_reader();
    }

    /// Takes in the newest snapshot that passes every check.
    pub(crate) fn take_snapshots(&mut self, objects: &[StoredObject]) {
        for object in objects.iter().rev() {
            let Some(version) = version_of_key(SNAPSHOTS_PREFIX, &object.key) else { continue };
            if self.take_snapshot(object.value.as_bytes(), Some(version)) {
                return;
            }
        }
    }

    /// Tells whether nothing newer than the snapshot remains to be tried.
    pub(crate) fn take_snapshot(&mut self, raw: &[u8], key_version: Option<u64>) -> bool {
        match self.log.offer_snapshot(raw, key_version) {
            Ok(false) => true,
            Ok(true) => {
                let version = self.log.version();
                self.event(Event::SnapshotApplied, format!("version={version}"));
                self.version_changed();
                true
            }
            Err(refusal) => {
                self.event(Event::SnapshotRefused, format!("reason=\"{refusal}\""));
                false
            }
        }
    }

    pub(crate) fn take_objects(&mut self, objects: &[StoredObject]) {
        for object in objects {
            let Some(version) = version_of_key(EDITS_PREFIX, &object.key) else { continue };
            let raw: Arc<[u8]> = object.value.as_bytes().into();
            if self.take_edit(version, &raw) == Offer::Gap {
                self.reader.want_snapshots();
                self.reader.list_now(self.now_ms);
                return;
            }
        }
    }

    pub(crate) fn take_edit(&mut self, version: u64, raw: &Arc<[u8]>) -> Offer {
        let offer = self.log.offer(version, raw);
        match &offer {
            Offer::Stale | Offer::Gap => {}
            Offer::Applied => {
                self.event(Event::VersionApplied, format!("version={version}"));
                self.version_changed();
            }
            Offer::Refused(refusal) => {
                let detail = format!("version={version} reason=\"{refusal}\"");
                self.event(Event::VersionRefused, detail);
                self.version_changed();
            }
        }
        offer
    }

    pub(crate) fn version_changed(&mut self) {
        self.newest_version = self.newest_version.max(self.log.version());
        self.put_in_force();
    }

    /// Hands the configuration to the data plane, once the version to start from is reached.
    pub(crate) fn put_in_force(&mut self) {
        self.floor.reach(self.log.version());
        if !self.floor.is_reached() {
            return;
        }
        let version = self.log.version();
        if self.in_force_version == Some(version) {
            return;
        }
        if self.in_force_version.is_none() {
            self.event(Event::DaemonReady, format!("version={version}"));
        }
        assert!(Some(version) > self.in_force_version, "what is in force never moves back");
        self.in_force_version = Some(version);
        let config = self.log.config().clone();
        self.output(Output::ConfigInForce(config));
    }
}
