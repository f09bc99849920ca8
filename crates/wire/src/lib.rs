//! Transport between processes: framed messages between daemons, HTTP/1.1 with every body length
//! checked, and the client of the object store.

pub mod clock;
pub mod close;
pub mod compress;
pub mod frame;
pub mod h1;
pub mod http;
pub mod memory;
pub mod object_store;
