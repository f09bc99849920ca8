//! Small stand-ins for what lies outside pomeloreach, and tools to try it with. Not shipped.

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
