//! Gathers over the tree which version is in force on which daemon.

use crate::api::StatusAnswer;
use crate::link::{LinkId, LinkKind};
use crate::message::{Message, RelayInfo};
use crate::node::{Node, Output};
use crate::roles::Role;
use crate::status::{Asker, StatusAsk, StatusRow};
use std::collections::BTreeSet;

impl Node {
    /// Asks up, down and across the tree, each daemon only the ones that were not yet asked.
    pub(crate) fn ask_status(&mut self, asker: Asker, from: Option<LinkId>) {
        let from_kind = from.and_then(|link| self.links.get(&link)).map(|link| link.kind);
        let asks_up = from_kind.is_none_or(LinkKind::is_child);
        let waiting_for: BTreeSet<LinkId> = self
            .joined_links(|kind| match kind {
                LinkKind::RelayChild => true,
                LinkKind::Parent | LinkKind::Peer => asks_up,
                _ => false,
            })
            .into_iter()
            .filter(|link| Some(*link) != from)
            .collect();
        let wait_ms = match (asker, from_kind) {
            (Asker::Operator { .. }, _) => crate::status::STATUS_WAIT_MS,
            (_, Some(LinkKind::LeafChild)) => {
                crate::status::STATUS_WAIT_MS - crate::status::STATUS_WAIT_STEP_MS
            }
            (_, Some(LinkKind::RelayChild)) => {
                crate::status::STATUS_WAIT_MS - 2 * crate::status::STATUS_WAIT_STEP_MS
            }
            _ => crate::status::STATUS_WAIT_MS - 3 * crate::status::STATUS_WAIT_STEP_MS,
        };
        let ask = StatusAsk {
            asker,
            deadline_ms: self.now_ms + wait_ms,
            waiting_for: waiting_for.clone(),
            rows: self.own_status_rows(),
            complete: !asks_up || self.reaches_fleet(),
        };
        let ask = self.asks.insert(ask);
        for link in waiting_for {
            self.send(link, Message::StatusAsk { ask });
        }
        self.finish_asks();
    }

    /// Whether a question from here can reach every daemon: over a parent, or as a lead over the
    /// leads of all other regions.
    pub(crate) fn reaches_fleet(&self) -> bool {
        if self.has_parent() {
            return true;
        }
        let linked = self.links.values().filter(|link| link.is_joined(LinkKind::Peer));
        let linked: BTreeSet<&RelayInfo> = linked.filter_map(|link| link.remote.as_ref()).collect();
        let peers = self.roles.live_peers();
        self.roles.holds(Role::Lead) && peers.iter().all(|peer| linked.contains(peer))
    }

    /// This daemon and the leaves that it feeds.
    pub(crate) fn own_status_rows(&self) -> Vec<StatusRow> {
        let own = &self.settings.own;
        let role = match (self.roles.holds(Role::Lead), self.is_relay()) {
            (true, _) => "lead",
            (false, true) => "relay",
            (false, false) => "leaf",
        };
        let own_row = StatusRow {
            region: own.region.clone(),
            zone: own.zone.clone(),
            instance: own.instance.clone(),
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
                heard_ms_ago: self.now_ms - link.heard_ms,
            })
        });
        std::iter::once(own_row).chain(leaf_rows).collect()
    }

    pub(crate) fn finish_asks(&mut self) {
        for finished in self.asks.take_finished(self.now_ms) {
            match finished.asker {
                Asker::Operator { ticket } => {
                    let answer = StatusAnswer {
                        newest_version: self.newest_version,
                        complete: finished.complete,
                        rows: finished.rows,
                        refusals: self.log.config().refusals.clone(),
                    };
                    self.output(Output::Status { ticket, answer });
                }
                Asker::Link { link, ask } => {
                    let (rows, complete) = (finished.rows, finished.complete);
                    self.send(link, Message::StatusReply { ask, rows, complete });
                }
            }
        }
    }
}
