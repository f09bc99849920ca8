//! Counts the requests that have no response yet, for which a stopping daemon waits.

use super::Mesh;
use std::cell::Cell;
use std::rc::Rc;

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    pub mesh: Rc<Mesh>,
    counter: fn(&Mesh) -> &Cell<u32>,
}

impl InFlightGuard {
    pub fn new(mesh: &Rc<Mesh>, counter: fn(&Mesh) -> &Cell<u32>) -> Self {
        counter(mesh).set(counter(mesh).get() + 1);
        Self { mesh: mesh.clone(), counter }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let count = (self.counter)(&self.mesh);
        count.set(count.get() - 1);
    }
}
