//! The logic of pomeloreach as deterministic state machines that use no sockets and no clock, and
//! no randomness except from a given seed.
//!
//! A process passes inputs and the current time to [`node::Node`] for the control plane, and to
//! [`balancer::Balancer`], [`attempt::Attempts`] and [`admission::Admission`] for the data plane,
//! and carries out the outputs. Randomised tests run the same code; see `docs/PROOFS.md`.

mod accepting;
pub mod account;
pub mod account_index;
pub mod admission;
pub mod api;
pub mod attempt;
pub mod balancer;
pub mod call;
pub mod check;
pub mod code;
mod compaction;
pub mod config;
pub mod digest;
mod displacement;
pub mod dump;
pub mod edit;
pub mod endpoint;
mod endpoint_records;
pub mod event;
pub mod fair_order;
mod joining;
pub mod link;
pub mod log;
pub mod log_rate_limit;
pub mod matching;
pub mod membership;
pub mod mesh;
pub mod message;
pub mod minimum_version;
pub mod node;
pub mod publisher;
pub mod reader;
pub mod retry_budget;
pub mod roles;
pub mod row;
pub mod status;
mod status_gathering;
pub mod store;
mod sync;
mod versions;
