//! A fleet whose configuration is one object in the platform's store.
//!
//! No daemon has a role here. Each one holds a table of its peers, the requests' path chooses from
//! that table, and any daemon that holds a newer configuration hands it on. See `docs/MESH.md`.

pub mod attempts;
pub mod delta;
pub mod heartbeat;
pub mod history;
pub mod message;
pub mod peers;
pub mod placer;
pub mod published;
pub mod readers;
pub mod retry_after;
pub mod round_robin;
pub mod state;
pub mod topology;
pub mod typical_times;
