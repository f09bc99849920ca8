//! Test doubles for the systems around pomeloreach (object store, targets, callers), a harness that
//! runs them with real daemons, and a replay of load patterns. Not part of a release.

pub mod baseline_watchers;
pub mod daemon_usage;
pub mod fleet;
pub mod key_files;
pub mod load;
pub mod replay;
pub mod serve_http;
pub mod store_objects;
pub mod store_server;
pub mod target;
