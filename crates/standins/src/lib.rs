//! Small stand-ins for what lies outside pomeloreach, and tools to try it with. Not shipped.

pub mod baseline;
pub mod figures;
pub mod fleet;
pub mod keys;
pub mod load;
pub mod replay;
pub mod serving;
pub mod store;
pub mod store_server;
pub mod target;
