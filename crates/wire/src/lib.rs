//! How messages travel: frames between daemons, and HTTP with every length checked.

pub mod clock;
pub mod frame;
pub mod http;
pub mod platform;
