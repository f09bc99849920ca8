//! Gathers the status of all daemons over the distribution tree: which version each one holds.

use crate::api::StatusResponse;
use crate::link::{LinkId, LinkKind};
use crate::message::{DaemonInfo, Message};
use crate::node::{Node, Output};
use crate::roles::Role;
use crate::status::{PendingStatusRequest, ReplyTo, StatusRow};
use std::collections::BTreeSet;

impl Node {
    /// Starts a status request. Relay children are queried always, the parent and peers only if the
    /// request is from an operator or a child. The link that the request came from is not queried.
    pub(crate) fn gather_status(&mut self, reply_to: ReplyTo, from: Option<LinkId>) {
        let from_kind = from.and_then(|link| self.links.get(&link)).map(|link| link.kind);
        let queries_up = from_kind.is_none_or(LinkKind::is_child);
        let waiting_for: BTreeSet<LinkId> = self
            .joined_links(|kind| match kind {
                LinkKind::RelayChild => true,
                LinkKind::Parent | LinkKind::Peer => queries_up,
                _ => false,
            })
            .into_iter()
            .filter(|link| Some(*link) != from)
            .collect();
        let wait_ms = match (reply_to, from_kind) {
            (ReplyTo::Operator { .. }, _) => crate::status::STATUS_WAIT_MS,
            (_, Some(LinkKind::LeafChild)) => {
                crate::status::STATUS_WAIT_MS - crate::status::STATUS_WAIT_STEP_MS
            }
            (_, Some(LinkKind::RelayChild)) => {
                crate::status::STATUS_WAIT_MS - 2 * crate::status::STATUS_WAIT_STEP_MS
            }
            _ => crate::status::STATUS_WAIT_MS - 3 * crate::status::STATUS_WAIT_STEP_MS,
        };
        let request = PendingStatusRequest {
            reply_to,
            deadline_ms: self.now_ms + wait_ms,
            waiting_for: waiting_for.clone(),
            rows: self.local_status_rows(),
            complete: !queries_up || self.reaches_all_daemons(),
        };
        let id = self.status_requests.insert(request);
        for link in waiting_for {
            self.send(link, Message::GetStatus { id });
        }
        self.finish_status_requests();
    }

    /// Whether a request from this daemon can reach all daemons: through a parent, or as the leader
    /// through the leaders of all other regions.
    pub(crate) fn reaches_all_daemons(&self) -> bool {
        if self.has_parent() {
            return true;
        }
        let linked = self.links.values().filter(|link| link.is_joined(LinkKind::Peer));
        let linked: BTreeSet<&DaemonInfo> =
            linked.filter_map(|link| link.remote.as_ref()).collect();
        let peers = self.roles.peer_leaders();
        self.roles.holds(Role::Leader) && peers.iter().all(|peer| linked.contains(peer))
    }

    /// The status of this daemon and of its leaf children.
    pub(crate) fn local_status_rows(&self) -> Vec<StatusRow> {
        let local = &self.settings.local;
        let role = match (self.roles.holds(Role::Leader), self.is_relay()) {
            (true, _) => "lead",
            (false, true) => "relay",
            (false, false) => "leaf",
        };
        let local_row = StatusRow {
            region: local.region.clone(),
            zone: local.zone.clone(),
            instance: local.instance.clone(),
            role: role.into(),
            version: self.log.version(),
            ready: self.is_ready(),
            refused_versions: self.refused_versions(),
            heard_ms_ago: 0,
        };
        let leaves = self.links.values().filter(|link| link.is_joined(LinkKind::LeafChild));
        let leaf_rows = leaves.filter_map(|link| {
            let remote = link.remote.as_ref()?;
            Some(StatusRow {
                region: remote.region.clone(),
                zone: remote.zone.clone(),
                instance: remote.instance.clone(),
                role: "leaf".into(),
                version: link.remote_version,
                ready: link.remote_ready,
                refused_versions: link.remote_refused_versions,
                heard_ms_ago: self.now_ms - link.last_received_ms,
            })
        });
        std::iter::once(local_row).chain(leaf_rows).collect()
    }

    /// Answers the status requests that are complete or past their deadline.
    pub(crate) fn finish_status_requests(&mut self) {
        for finished in self.status_requests.take_finished(self.now_ms) {
            match finished.reply_to {
                ReplyTo::Operator { ticket } => {
                    let response = StatusResponse {
                        newest_version: self.newest_version,
                        complete: finished.complete,
                        rows: finished.rows,
                        refusals: self.log.config().refusals.clone(),
                    };
                    self.output(Output::Status { ticket, response });
                }
                ReplyTo::Link { link, id } => {
                    let (rows, complete) = (finished.rows, finished.complete);
                    self.send(link, Message::StatusReply { id, rows, complete });
                }
            }
        }
    }
}
