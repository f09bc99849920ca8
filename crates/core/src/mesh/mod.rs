//! A mesh of daemons whose configuration is one object in the platform's store.
//!
//! Daemons have no roles. Each daemon keeps a table of its peers and chooses the target of a
//! request from that table. Any daemon that holds a newer configuration sends it to peers that
//! request it. See `docs/MESH.md`.

pub mod attempts;
pub mod body_transfers;
pub mod delta;
pub mod departures;
pub mod dissemination;
pub mod heartbeat;
pub mod history;
pub mod link_pacer;
pub mod message;
pub mod own_record;
pub mod peers;
pub mod placer;
pub mod published;
pub mod quota;
pub mod readers;
pub mod removed_daemons;
pub mod response_size;
pub mod retry_after;
pub mod round_robin;
pub mod state;
pub mod stop_schedule;
pub mod topology;
pub mod transit;
pub mod typical_times;
