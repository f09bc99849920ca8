//! How messages travel: frames between daemons, and HTTP with every length checked.

pub mod clock;
pub mod compress;
pub mod frame;
pub mod h1;
pub mod http;
pub mod object_store;
