//! Sends versions to the linked daemons that lack them, and heartbeats that report the version held
//! and a digest of the endpoint records.

use crate::link::{HEARTBEAT_MS, LinkId, LinkKind, LinkState};
use crate::log::{CatchUp, EditOutcome};
use crate::message::{EditBytes, Heartbeat, Message};
use crate::node::Node;
use std::sync::Arc;

/// How long a parent or peer may hold an older version before it is sent the newer ones, in
/// milliseconds. It normally receives them from elsewhere, and each copy costs traffic.
const UPSTREAM_SEND_AFTER_MS: u64 = 1_500;
/// Minimum time before versions are sent again, in milliseconds.
const RESEND_MS: u64 = 800;
/// Consecutive heartbeats with a mismatched digest after which all records are requested.
const DIGEST_MISMATCHES_MAX: u8 = 3;

impl Node {
    /// Sends each linked daemon the versions that it lacks.
    pub(crate) fn send_versions(&mut self) {
        let held = self.log.version();
        if held == 0 {
            return;
        }
        let behind: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| {
                link.state == LinkState::Joined
                    && link.kind != LinkKind::Probe
                    && link.sent_version < held
            })
            .map(|(id, _)| *id)
            .collect();
        for id in behind {
            self.send_versions_to(id);
        }
    }

    /// Sends edits or a snapshot on one link. A parent is never sent a snapshot.
    fn send_versions_to(&mut self, id: LinkId) {
        let now_ms = self.now_ms;
        let Some(link) = self.links.get_mut(&id) else { return };
        let is_child = link.kind.is_child();
        if !is_child {
            let since_ms = *link.behind_since_ms.get_or_insert(now_ms);
            if now_ms < since_ms + UPSTREAM_SEND_AFTER_MS {
                return;
            }
        }
        let Some(catch_up) = self.log.catch_up(link.sent_version) else { return };
        let message = match catch_up {
            CatchUp::Edits(edits) => Message::Edits(
                edits.into_iter().map(|(version, raw)| EditBytes { version, raw }).collect(),
            ),
            CatchUp::Snapshot(_) if link.kind == LinkKind::Parent => return,
            CatchUp::Snapshot(raw) => Message::Snapshot(raw),
        };
        link.sent_version = self.log.version();
        link.sent_ms = now_ms;
        self.send(id, message);
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn send_heartbeats(&mut self) {
        let due: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| {
                link.state == LinkState::Joined && self.now_ms >= link.heartbeat_due_ms
            })
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let heartbeat = Heartbeat {
                version: self.log.version(),
                newest_version: self.newest_version,
                records_digest: self.sent_records_digest(id),
                ready: self.is_ready(),
                refused_versions: self.refused_versions(),
            };
            if let Some(link) = self.links.get_mut(&id) {
                link.heartbeat_due_ms = self.now_ms + HEARTBEAT_MS;
            }
            self.send(id, Message::Heartbeat(heartbeat));
        }
    }

    /// Updates what is known of the other daemon, and requests all records if digests keep
    /// differing.
    pub(crate) fn receive_heartbeat(&mut self, id: LinkId, heartbeat: &Heartbeat) {
        self.newest_version = self.newest_version.max(heartbeat.newest_version);
        let expected = self.received_records_digest(id);
        let (held, now_ms) = (self.log.version(), self.now_ms);
        let Some(link) = self.links.get_mut(&id) else { return };
        link.remote_version = heartbeat.version;
        link.remote_ready = heartbeat.ready;
        link.remote_refused_versions = heartbeat.refused_versions;
        if heartbeat.version >= held {
            link.behind_since_ms = None;
            link.sent_version = heartbeat.version;
        } else if now_ms >= link.sent_ms + RESEND_MS {
            link.sent_version = heartbeat.version;
        }
        if expected == heartbeat.records_digest {
            link.digest_mismatches = 0;
            return;
        }
        link.digest_mismatches += 1;
        if link.digest_mismatches < DIGEST_MISMATCHES_MAX {
            return;
        }
        link.digest_mismatches = 0;
        self.event(crate::event::Event::RecordsResynced, format!("link={:x}", id.0));
        self.send(id, Message::ResyncRequest);
    }

    /// Applies received versions in order, up to the first gap. The sender sends the missing ones
    /// after a later heartbeat, which shows the version held here.
    pub(crate) fn receive_edits(&mut self, edits: Vec<EditBytes>) {
        for EditBytes { version, raw } in edits {
            self.newest_version = self.newest_version.max(version);
            if self.apply_edit(version, &raw) == EditOutcome::Gap {
                return;
            }
        }
    }

    /// Applies a received snapshot if it is newer.
    pub(crate) fn receive_snapshot(&mut self, raw: &Arc<[u8]>) {
        self.apply_snapshot(raw, None);
    }
}
