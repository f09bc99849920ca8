//! The loop that feeds the control plane and carries out what it decides.

use crate::links;
use crate::logging::log_record;
use crate::runtime::Shared;
use async_channel::{Receiver, Sender};
use pomeloreach_core::api::{EditAnswer, StatusAnswer};
use pomeloreach_core::config::Config;
use pomeloreach_core::dump::NodeDump;
use pomeloreach_core::edit::EditRequest;
use pomeloreach_core::matching::RouteTable;
use pomeloreach_core::node::{Input, Node, Output, TICK_MS};
use pomeloreach_wire::clock::sleep_ms;
use pomeloreach_wire::object_store::call_store;
use std::collections::BTreeMap;
use std::sync::Arc;

/// What reaches the control loop.
pub enum ControlInput {
    Node(Input),
    Publish { request: EditRequest, reply: Sender<EditAnswer> },
    Status { reply: Sender<StatusAnswer> },
    Config { reply: Sender<Arc<Config>> },
    Dump { reply: Sender<NodeDump> },
}

/// The control loop.
pub struct ControlLoop {
    shared: Arc<Shared>,
    node: Node,
    received: Receiver<ControlInput>,
    next_ticket: u64,
    edits: BTreeMap<u64, Sender<EditAnswer>>,
    statuses: BTreeMap<u64, Sender<StatusAnswer>>,
}

impl ControlLoop {
    pub fn new(shared: Arc<Shared>, node: Node, received: Receiver<ControlInput>) -> Self {
        Self {
            shared,
            node,
            received,
            next_ticket: 0,
            edits: BTreeMap::new(),
            statuses: BTreeMap::new(),
        }
    }

    pub async fn run(mut self) {
        self.shared.spawn(tick(self.shared.clone()));
        while let Ok(input) = self.received.recv().await {
            self.take(input);
        }
    }

    fn take(&mut self, input: ControlInput) {
        match input {
            ControlInput::Node(input) => self.handle(input),
            ControlInput::Publish { request, reply } => {
                let ticket = self.ticket();
                self.edits.insert(ticket, reply);
                self.handle(Input::Publish { ticket, request });
            }
            ControlInput::Status { reply } => {
                let ticket = self.ticket();
                self.statuses.insert(ticket, reply);
                self.handle(Input::AskStatus { ticket });
            }
            ControlInput::Config { reply } => {
                reply.try_send(self.node.config().clone()).ok();
            }
            ControlInput::Dump { reply } => {
                reply.try_send(self.node.dump()).ok();
            }
        }
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn handle(&mut self, input: Input) {
        let now_ms = self.shared.clock.now_ms();
        for output in self.node.handle(now_ms, input) {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
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
            Output::Published { ticket, answer } => {
                if let Some(reply) = self.edits.remove(&ticket) {
                    reply.try_send(answer).ok();
                }
            }
            Output::Status { ticket, answer } => {
                if let Some(reply) = self.statuses.remove(&ticket) {
                    reply.try_send(answer).ok();
                }
            }
            Output::Event(record) => log_record(&record),
        }
    }
}

async fn tick(shared: Arc<Shared>) {
    loop {
        sleep_ms(TICK_MS).await;
        shared.send_input(Input::Tick).await;
    }
}
