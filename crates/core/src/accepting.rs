//! Accepts links that other daemons open: decides the kind of each link, or redirects the daemon to
//! relays.

use crate::event::Event;
use crate::joining::REDIRECT_PAUSE_MS;
use crate::link::{Link, LinkId, LinkKind, LinkState};
use crate::message::{DaemonInfo, Hello, Message, Purpose, Welcome};
use crate::node::Node;
use crate::roles::Role;
use std::net::SocketAddr;

impl Node {
    /// Adds a link that another daemon opened. Its kind is unknown until the hello.
    pub(crate) fn accept_link(&mut self, id: LinkId, addr: SocketAddr) {
        let link = Link::new(LinkKind::Unknown, LinkState::Greeting, addr, self.now_ms);
        self.links.insert(id, link);
    }

    /// Replies to a hello with a welcome and this daemon's records, or with a redirect.
    pub(crate) fn receive_hello(&mut self, id: LinkId, hello: Hello) {
        let Some(link) = self.links.get(&id) else { return };
        if link.kind != LinkKind::Unknown {
            return self.close_link(id);
        }
        let Some(kind) = self.accepted_kind(&hello) else {
            return self.redirect(id, &hello.sender);
        };
        let event = match kind {
            LinkKind::Peer => Event::PeerJoined,
            _ => Event::ChildJoined,
        };
        if kind != LinkKind::Probe {
            self.event(event, format!("instance={}", hello.sender.instance));
        }
        self.close_older_links(&hello.sender, kind);
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

    /// The kind of the link to the sender of a hello, or nothing if it is not accepted.
    ///
    /// A relay that is not a leader accepts other relays, and a fallback parent accepts leaves,
    /// only if the instance name of the sender sorts after the local one. Otherwise two daemons
    /// could become each other's parent.
    pub(crate) fn accepted_kind(&mut self, hello: &Hello) -> Option<LinkKind> {
        if hello.sender.instance == self.local().instance || self.draining {
            return None;
        }
        let is_sender_after = hello.sender.instance > self.local().instance;
        match hello.purpose {
            Purpose::Probe => Some(LinkKind::Probe),
            Purpose::Peer => self.is_relay().then_some(LinkKind::Peer),
            Purpose::JoinAsRelay => {
                let may_be_parent =
                    self.is_relay() && (self.roles.holds(Role::Leader) || is_sender_after);
                may_be_parent.then_some(LinkKind::RelayChild)
            }
            Purpose::JoinAsLeaf => {
                let may_be_parent =
                    self.is_relay() || (self.is_fallback_parent() && is_sender_after);
                let children = self.joined_links(LinkKind::is_child).len();
                let below_children_max = children < self.settings.children_max;
                (may_be_parent && below_children_max && self.joining.allow_join(self.now_ms))
                    .then_some(LinkKind::LeafChild)
            }
        }
    }

    /// Whether this leaf may be a parent although it is no relay: it is ready, the store fails, it
    /// has no parent and knows no relay.
    pub(crate) fn is_fallback_parent(&self) -> bool {
        self.is_store_failing()
            && !self.has_parent()
            && self.known_relays.is_empty()
            && self.is_ready()
    }

    /// Sends a daemon the relays to try instead of this daemon, and closes its link.
    pub(crate) fn redirect(&mut self, id: LinkId, sender: &DaemonInfo) {
        self.event(Event::ChildRedirected, format!("instance={}", sender.instance));
        let relays = self.relay_list();
        self.send(id, Message::Redirect { relays, retry_after_ms: REDIRECT_PAUSE_MS });
        self.close_link(id);
    }

    /// Closes the older links to a daemon that has connected again, if they are of the same kind or
    /// both are child links.
    pub(crate) fn close_older_links(&mut self, sender: &DaemonInfo, kind: LinkKind) {
        let older_links: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(_, link)| {
                let is_same_daemon =
                    link.remote.as_ref().is_some_and(|r| r.instance == sender.instance);
                is_same_daemon && (link.kind == kind || (link.kind.is_child() && kind.is_child()))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in older_links {
            self.close_link(id);
        }
    }

    /// Redirects every child to the known relays, and closes its link.
    pub(crate) fn redirect_children(&mut self) {
        for link in self.joined_links(LinkKind::is_child) {
            let relays = self.relay_list();
            let retry_after_ms = REDIRECT_PAUSE_MS;
            self.send(link, Message::Redirect { relays, retry_after_ms });
            self.close_link(link);
        }
    }
}
