//! Letting other daemons in: who may join here, as what, and where the others are sent.

use crate::event::Event;
use crate::joining::REDIRECT_PAUSE_MS;
use crate::link::{Link, LinkId, LinkKind, LinkState};
use crate::message::{DaemonInfo, Hello, Message, Purpose, Welcome};
use crate::node::Node;
use crate::roles::Role;
use std::net::SocketAddr;

impl Node {
    pub(crate) fn accept_link(&mut self, id: LinkId, addr: SocketAddr) {
        let link = Link::new(LinkKind::Unknown, LinkState::Greeting, addr, self.now_ms);
        self.links.insert(id, link);
    }

    pub(crate) fn receive_hello(&mut self, id: LinkId, hello: Hello) {
        let Some(link) = self.links.get(&id) else { return };
        if link.kind != LinkKind::Unknown {
            return self.close_link(id);
        }
        let Some(kind) = self.admitted_as(&hello) else {
            return self.redirect(id, &hello.sender);
        };
        let event = match kind {
            LinkKind::Peer => Event::PeerJoined,
            _ => Event::ChildJoined,
        };
        if kind != LinkKind::Probe {
            self.event(event, format!("instance={}", hello.sender.instance));
        }
        self.drop_older_links(&hello.sender, kind);
        let now_ms = self.now_ms;
        let Some(link) = self.links.get_mut(&id) else { return };
        link.kind = kind;
        link.state = LinkState::Joined;
        link.remote = Some(hello.sender);
        link.remote_version = hello.version;
        link.sent_version = hello.version;
        link.services = hello.services;
        link.heartbeat_due_ms = now_ms;
        self.newest_version = self.newest_version.max(hello.version);
        let welcome = Welcome {
            sender: self.local().clone(),
            version: self.log.version(),
            relays: self.relay_list(),
        };
        self.send(id, Message::Welcome(welcome));
        match kind {
            LinkKind::LeafChild | LinkKind::RelayChild => {
                self.receive_child_records(id, hello.records);
                self.send_all_records(id);
            }
            LinkKind::Peer => self.send_all_records(id),
            _ => {}
        }
    }

    /// What a daemon that says hello may be here, if anything.
    pub(crate) fn admitted_as(&mut self, hello: &Hello) -> Option<LinkKind> {
        if hello.sender.instance == self.local().instance || self.draining {
            return None;
        }
        let is_after_us = hello.sender.instance > self.local().instance;
        match hello.purpose {
            Purpose::Probe => Some(LinkKind::Probe),
            Purpose::Peer => self.is_relay().then_some(LinkKind::Peer),
            Purpose::JoinAsRelay => {
                let may_feed = self.is_relay() && (self.roles.holds(Role::Leader) || is_after_us);
                may_feed.then_some(LinkKind::RelayChild)
            }
            Purpose::JoinAsLeaf => {
                let may_feed = self.is_relay() || (self.is_last_resort() && is_after_us);
                let children = self.joined_links(LinkKind::is_child).len();
                let has_room = children < self.settings.children_max;
                (may_feed && has_room && self.joining.allow_join(self.now_ms))
                    .then_some(LinkKind::LeafChild)
            }
        }
    }

    /// A leaf that holds a configuration feeds others when there is no relay and no store.
    pub(crate) fn is_last_resort(&self) -> bool {
        self.is_store_failing()
            && !self.has_parent()
            && self.known_relays.is_empty()
            && self.is_ready()
    }

    pub(crate) fn redirect(&mut self, id: LinkId, sender: &DaemonInfo) {
        self.event(Event::ChildRedirected, format!("instance={}", sender.instance));
        let relays = self.relay_list();
        self.send(id, Message::Redirect { relays, retry_after_ms: REDIRECT_PAUSE_MS });
        self.close_link(id);
    }

    /// A daemon that comes again has given up its older link.
    pub(crate) fn drop_older_links(&mut self, sender: &DaemonInfo, kind: LinkKind) {
        let older: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| {
                let same = link.remote.as_ref().is_some_and(|r| r.instance == sender.instance);
                same && (link.kind == kind || (link.kind.is_child() && kind.is_child()))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in older {
            self.close_link(id);
        }
    }

    /// Sends every child to the relays that are known.
    pub(crate) fn release_children(&mut self) {
        for link in self.joined_links(LinkKind::is_child) {
            let relays = self.relay_list();
            let retry_after_ms = REDIRECT_PAUSE_MS;
            self.send(link, Message::Redirect { relays, retry_after_ms });
            self.close_link(link);
        }
    }
}
