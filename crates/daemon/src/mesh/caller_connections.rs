//! The open connections of callers. Their number is bounded by the daemon's descriptors and memory.

use super::Mesh;
use crate::settings::MeshSettings;
use async_channel::{Receiver, Sender};
use pomeloreach_wire::clock::Clock;
use pomeloreach_wire::h1::ConnectionActivity;
use pomeloreach_wire::memory::budget::CONNECTION_BYTES;
use pomeloreach_wire::memory::{Charge, Memory};
use rustix::process::{Resource, getrlimit};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// One descriptor of this many is kept for links, the target, the store and operators.
const RESERVED_DIVISOR: u64 = 4;
/// The least number of descriptors that are kept for these.
const RESERVED_MIN: u64 = 64;

struct OpenConnection {
    activity: Rc<ConnectionActivity>,
    /// Dropped to close the connection at once.
    _closing: Sender<()>,
}

/// The open connections of callers, also those whose callers are still receiving a response.
pub struct CallerConnections {
    clock: Clock,
    open: RefCell<BTreeMap<u64, OpenConnection>>,
    last_id: Cell<u64>,
    max: usize,
}

/// The result of adding a connection.
pub enum Admission {
    /// The connection is served. `has_closed` tells whether another one is closed for it.
    Served { connection: CallerConnection, has_closed: bool },
    /// Requests run on all open connections, or take all of the memory budget.
    Full,
}

impl CallerConnections {
    pub fn new(settings: &MeshSettings, memory: &Memory, clock: Clock) -> Self {
        let system_max = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let descriptors = settings.descriptors_max.min(system_max);
        let reserved = (descriptors / RESERVED_DIVISOR).max(RESERVED_MIN);
        let max = usize::try_from(descriptors.saturating_sub(reserved)).unwrap_or(usize::MAX);
        let max = max.min(memory.connections_max());
        Self { clock, open: RefCell::default(), last_id: Cell::new(0), max: max.max(1) }
    }

    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection. If there are as many as there may be, one is closed for it on which no
    /// request runs or whose client reads no responses: the one without progress for longest. It is
    /// charged like a small request, for which incomplete requests and unread responses give way.
    pub fn add(mesh: &Rc<Mesh>) -> Admission {
        let connections = &mesh.caller_connections;
        let has_closed = connections.count() >= connections.max;
        if has_closed && !connections.close_one() {
            return Admission::Full;
        }
        let Some(charge) = mesh.memory.try_charge(CONNECTION_BYTES) else {
            return Admission::Full;
        };
        let id = connections.last_id.get() + 1;
        connections.last_id.set(id);
        let activity = Rc::new(ConnectionActivity::new(connections.clock));
        let (sender, closing) = async_channel::bounded(1);
        let open = OpenConnection { activity: activity.clone(), _closing: sender };
        connections.open.borrow_mut().insert(id, open);
        let connection =
            CallerConnection { mesh: mesh.clone(), id, activity, closing, _charge: charge };
        Admission::Served { connection, has_closed }
    }

    fn close_one(&self) -> bool {
        let mut open = self.open.borrow_mut();
        let closable = open
            .iter()
            .filter_map(|(id, connection)| Some((connection.activity.closable_since_ms()?, *id)));
        let Some((_, id)) = closable.min() else { return false };
        open.remove(&id);
        true
    }
}

/// A connection that is counted as open until it is dropped.
pub struct CallerConnection {
    mesh: Rc<Mesh>,
    id: u64,
    pub activity: Rc<ConnectionActivity>,
    closing: Receiver<()>,
    _charge: Charge,
}

impl CallerConnection {
    /// Completes when the connection must be closed at once.
    pub async fn closed(&self) {
        // Nothing is sent on the channel.
        self.closing.recv().await.ok();
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        self.mesh.caller_connections.open.borrow_mut().remove(&self.id);
    }
}
