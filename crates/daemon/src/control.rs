//! The control loop: passes inputs to the control plane ([`Node`]) and performs its outputs.

use crate::links;
use crate::logging::log_record;
use crate::runtime::Shared;
use async_channel::{Receiver, Sender};
use pomeloreach_core::api::{EditResponse, StatusResponse};
use pomeloreach_core::config::Config;
use pomeloreach_core::dump::NodeDump;
use pomeloreach_core::edit::EditRequest;
use pomeloreach_core::matching::RouteTable;
use pomeloreach_core::node::{Input, Node, Output, TICK_MS};
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::object_store::call_store;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An input of the control loop: an event for the control plane, or a request of an operator with
/// the channel for its reply.
pub enum ControlInput {
    Node(Input),
    Publish { request: EditRequest, reply: Sender<EditResponse> },
    Status { reply: Sender<StatusResponse> },
    Config { reply: Sender<Arc<Config>> },
    Dump { reply: Sender<NodeDump> },
}

/// The control loop with the requests that wait for a reply, by ticket.
pub struct ControlLoop {
    shared: Arc<Shared>,
    node: Node,
    inputs: Receiver<ControlInput>,
    last_ticket: u64,
    pending_edits: BTreeMap<u64, Sender<EditResponse>>,
    pending_statuses: BTreeMap<u64, Sender<StatusResponse>>,
}

impl ControlLoop {
    pub fn new(shared: Arc<Shared>, node: Node, inputs: Receiver<ControlInput>) -> Self {
        Self {
            shared,
            node,
            inputs,
            last_ticket: 0,
            pending_edits: BTreeMap::new(),
            pending_statuses: BTreeMap::new(),
        }
    }

    pub async fn run(mut self) {
        self.shared.spawn(send_ticks(self.shared.clone()));
        while let Ok(input) = self.inputs.recv().await {
            self.handle_input(input);
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Node(input) => self.handle_node_input(input),
            ControlInput::Publish { request, reply } => {
                let ticket = self.new_ticket();
                self.pending_edits.insert(ticket, reply);
                self.handle_node_input(Input::Publish { ticket, request });
            }
            ControlInput::Status { reply } => {
                let ticket = self.new_ticket();
                self.pending_statuses.insert(ticket, reply);
                self.handle_node_input(Input::GetStatus { ticket });
            }
            ControlInput::Config { reply } => {
                reply.try_send(self.node.config().clone()).ok();
            }
            ControlInput::Dump { reply } => {
                reply.try_send(self.node.dump()).ok();
            }
        }
    }

    fn new_ticket(&mut self) -> u64 {
        self.last_ticket += 1;
        self.last_ticket
    }

    fn handle_node_input(&mut self, input: Input) {
        let now_ms = self.shared.clock.now_ms();
        for output in self.node.handle(now_ms, input) {
            self.perform(output);
        }
    }

    fn perform(&mut self, output: Output) {
        match output {
            Output::Connect { link, addr } => links::open(&self.shared, link, addr),
            Output::Send { link, message } => self.shared.links.send(link, &message),
            Output::Close { link } => self.shared.links.close(link),
            Output::CallStore { call, op } => {
                let shared = self.shared.clone();
                self.shared.metrics.count("store.calls", 1);
                self.shared.spawn(async move {
                    let result = call_store(shared.settings.platform_addr, &op).await;
                    shared.send_input(Input::StoreAnswered { call, result }).await;
                });
            }
            Output::ConfigInForce(config) => self.shared.apply_routes(RouteTable::new(&config)),
            Output::Endpoints { service, entries } => self.shared.directory.set(service, entries),
            Output::Published { ticket, response } => {
                if let Some(reply) = self.pending_edits.remove(&ticket) {
                    reply.try_send(response).ok();
                }
            }
            Output::Status { ticket, response } => {
                if let Some(reply) = self.pending_statuses.remove(&ticket) {
                    reply.try_send(response).ok();
                }
            }
            Output::Event(record) => log_record(&record),
        }
    }
}

/// Sends a tick to the control plane every [`TICK_MS`].
async fn send_ticks(shared: Arc<Shared>) {
    loop {
        sleep_ms(TICK_MS).await;
        shared.send_input(Input::Tick).await;
    }
}
