//! Publishes operators' edits to the log in the platform's store, one object per version.
//!
//! An object is created only if its key is absent, so only one edit can become a given version.
//! When a reply of the store is lost, the publisher reads the log again and looks for the edit's
//! id. The operator is answered with the true outcome, or with "unknown" if it could not be read
//! in time. The steps and the alternatives that were considered are in `docs/CONFIGURATION.md`.

use crate::api::EditResponse;
use crate::code::ResultCode;
use crate::config::{Config, Refusal};
use crate::edit::{Edit, EditRequest};
use crate::store::{
    COMPACTED_KEY, EDITS_PREFIX, StoreFailure, StoreOp, StoreReply, StoredObject, edit_key,
};
use std::collections::VecDeque;
use std::sync::Arc;

/// How long a publication may take before it ends with the outcome known by then, in milliseconds.
pub const PUBLISH_TIMEOUT_MS: u64 = 10_000;
/// Most publications in the queue, the one in progress included.
const QUEUE_MAX: usize = 64;
/// The pause before the next store call after a failed one, in milliseconds.
const RETRY_PAUSE_MS: u64 = 250;
/// Most edits that one list call returns.
const LIST_LIMIT: u32 = 64;

/// The purpose of a store call made by the publisher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishCall {
    /// Lists the edits after the version held.
    ReadLog,
    /// Creates the object of the next version.
    Create,
    /// Reads up to which version the log has been compacted.
    CheckCompacted,
}

/// The stage of a publication.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// The log is being read to its end.
    ReadingLog,
    /// The log was read to its end, so the edit can be written as the version after the one held.
    Writing,
    /// The store confirmed the write, which counts only if `version` is not yet compacted.
    CheckingCompacted { version: u64 },
}

/// An edit in the queue.
#[derive(Clone, Debug)]
struct Publication {
    /// Identifies the operator's request, to which the response belongs.
    ticket: u64,
    request: EditRequest,
    /// When the publication times out, by the daemon's clock in milliseconds.
    deadline_ms: u64,
    step: Step,
    call_in_flight: Option<PublishCall>,
    next_call_due_ms: u64,
    /// Whether any write was sent. If its reply was lost, the edit may be in the log.
    write_sent: bool,
    /// The version and the encoded edit of the last write.
    last_write: Option<(u64, Arc<str>)>,
}

/// A publication that has ended, with the response for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedPublication {
    pub ticket: u64,
    pub response: EditResponse,
}

/// The queue of this daemon's publications. Only the first one makes store calls. The `config` that
/// the methods take is the configuration that the daemon holds.
#[derive(Debug, Default)]
pub struct Publisher {
    queue: VecDeque<Publication>,
}

impl Publisher {
    /// Queues an edit, or answers at once if it is in force already or the queue is full.
    pub fn submit(
        &mut self,
        ticket: u64,
        request: EditRequest,
        config: &Config,
        now_ms: u64,
    ) -> Option<FinishedPublication> {
        if let Some(version) = config.version_of_edit(&request.edit_id) {
            return Some(FinishedPublication { ticket, response: accepted_response(version) });
        }
        if self.queue.len() >= QUEUE_MAX {
            let reason = format!("{QUEUE_MAX} edits wait at this daemon already");
            let response = EditResponse::new(ResultCode::PublisherBusy, 0, reason);
            return Some(FinishedPublication { ticket, response });
        }
        self.queue.push_back(Publication {
            ticket,
            request,
            deadline_ms: now_ms + PUBLISH_TIMEOUT_MS,
            step: Step::ReadingLog,
            call_in_flight: None,
            next_call_due_ms: now_ms,
            write_sent: false,
            last_write: None,
        });
        None
    }

    /// Whether any publication is queued.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the next store call of the first publication in the queue, and the publications that
    /// have ended.
    pub fn tick(
        &mut self,
        now_ms: u64,
        config: &Config,
    ) -> (Vec<(PublishCall, StoreOp)>, Vec<FinishedPublication>) {
        let mut finished = self.expire(now_ms, config);
        let mut calls = Vec::new();
        while let Some(front) = self.queue.front_mut() {
            if front.call_in_flight.is_some() || now_ms < front.next_call_due_ms {
                break;
            }
            match next_action(front, config) {
                Action::Call(call, op) => {
                    front.call_in_flight = Some(call);
                    calls.push((call, op));
                    break;
                }
                Action::Done(response) => {
                    finished.push(FinishedPublication { ticket: front.ticket, response });
                    self.queue.pop_front();
                }
            }
        }
        (calls, finished)
    }

    /// Ends every publication that is past its deadline, also one with a call in flight. The reply
    /// to that call is ignored later, since the next publication has another ticket.
    fn expire(&mut self, now_ms: u64, config: &Config) -> Vec<FinishedPublication> {
        let mut finished = Vec::new();
        self.queue.retain(|publication| {
            if now_ms < publication.deadline_ms {
                return true;
            }
            let response = timed_out_response(publication, config);
            finished.push(FinishedPublication { ticket: publication.ticket, response });
            false
        });
        finished
    }

    /// Handles the reply to a store call. Returns edits of the log, which the caller must apply
    /// before the next tick.
    pub fn handle_reply(
        &mut self,
        ticket: u64,
        call: PublishCall,
        result: Result<StoreReply, StoreFailure>,
        config: &Config,
        now_ms: u64,
    ) -> Vec<StoredObject> {
        let Some(front) = self.queue.front_mut() else { return Vec::new() };
        if front.ticket != ticket || front.call_in_flight != Some(call) {
            return Vec::new();
        }
        front.call_in_flight = None;
        match (call, result) {
            (PublishCall::ReadLog, Ok(StoreReply::Listed { objects, .. })) => {
                if objects.len() < LIST_LIMIT as usize {
                    front.step = Step::Writing;
                }
                objects
            }
            (PublishCall::Create, Ok(StoreReply::Written { .. })) => {
                let Some((version, value)) = front.last_write.clone() else { return Vec::new() };
                front.step = Step::CheckingCompacted { version };
                vec![StoredObject { key: edit_key(version), object_version: 0, value }]
                    .into_iter()
                    .filter(|_| version == config.version + 1)
                    .collect()
            }
            (PublishCall::Create, Ok(StoreReply::Conflict)) => {
                front.step = Step::ReadingLog;
                Vec::new()
            }
            (PublishCall::CheckCompacted, Ok(reply)) => {
                handle_compacted_version(front, &reply, config);
                Vec::new()
            }
            (_, Ok(_) | Err(_)) => {
                front.step = match front.step {
                    Step::CheckingCompacted { version } => Step::CheckingCompacted { version },
                    Step::ReadingLog | Step::Writing => Step::ReadingLog,
                };
                front.next_call_due_ms = now_ms + RETRY_PAUSE_MS;
                Vec::new()
            }
        }
    }

    /// The ticket of the publication that makes the store calls.
    pub fn current_ticket(&self) -> Option<u64> {
        self.queue.front().map(|publication| publication.ticket)
    }
}

/// What to do next for a publication.
enum Action {
    Call(PublishCall, StoreOp),
    Done(EditResponse),
}

fn next_action(publication: &mut Publication, config: &Config) -> Action {
    match publication.step {
        Step::ReadingLog => {
            let start_after = Some(edit_key(config.version));
            let prefix = EDITS_PREFIX.into();
            Action::Call(
                PublishCall::ReadLog,
                StoreOp::List { prefix, start_after, limit: LIST_LIMIT },
            )
        }
        Step::Writing => write_action(publication, config),
        Step::CheckingCompacted { .. } => {
            Action::Call(PublishCall::CheckCompacted, StoreOp::Get { key: COMPACTED_KEY.into() })
        }
    }
}

/// Accepts the edit if it is in the log already, refuses it if it is not valid, or else writes it
/// as the version after the one held.
fn write_action(publication: &mut Publication, config: &Config) -> Action {
    if let Some(version) = config.version_of_edit(&publication.request.edit_id) {
        return Action::Done(accepted_response(version));
    }
    if publication.request.changes.is_empty() {
        let reason = "the edit changes no row".to_string();
        return Action::Done(EditResponse::new(ResultCode::EditUnchanged, config.version, reason));
    }
    match Edit::build(config, &publication.request) {
        Err(refusal) => Action::Done(refused_response(&refusal, config.version)),
        Ok((edit, raw)) => {
            let value: Arc<str> = String::from_utf8(raw).expect("JSON is UTF-8").into();
            publication.write_sent = true;
            publication.last_write = Some((edit.version, value.clone()));
            let key = edit_key(edit.version);
            Action::Call(PublishCall::Create, StoreOp::Put { key, value, expected_version: 0 })
        }
    }
}

/// Handles the reply with the compacted version: a confirmed write to a compacted version does not
/// count.
///
/// If the writer was paused for long, other daemons can have written that version and compaction
/// can have deleted it, so that creating its object succeeds again. No daemon reads an object
/// there, so the edit is written again as a later version.
fn handle_compacted_version(publication: &mut Publication, reply: &StoreReply, config: &Config) {
    let Step::CheckingCompacted { version } = publication.step else { return };
    let compacted_version = match reply {
        StoreReply::Object(object) => object.value.parse().unwrap_or(0),
        _ => 0,
    };
    let in_force = config.version_of_edit(&publication.request.edit_id).is_some();
    if compacted_version < version || in_force {
        // The next action finds the edit's id in the configuration held and accepts the edit.
        publication.step = Step::Writing;
        return;
    }
    publication.step = Step::ReadingLog;
}

fn accepted_response(version: u64) -> EditResponse {
    EditResponse::new(ResultCode::EditAccepted, version, format!("in force as version {version}"))
}

/// The response to a refused edit. A row that has changed since it was read is a conflict here.
fn refused_response(refusal: &Refusal, held_version: u64) -> EditResponse {
    let code = match refusal.code {
        ResultCode::VersionRowChanged => ResultCode::EditConflict,
        other => other,
    };
    EditResponse::new(code, held_version, refusal.reason.clone())
}

/// The response to a publication that did not end before its deadline.
fn timed_out_response(publication: &Publication, config: &Config) -> EditResponse {
    if let Some(version) = config.version_of_edit(&publication.request.edit_id) {
        return accepted_response(version);
    }
    if publication.write_sent || publication.request.asked_before {
        let reason = "the platform's store did not say whether it took the edit; \
                      ask again with the same edit id"
            .to_string();
        return EditResponse::new(ResultCode::EditUnknown, 0, reason);
    }
    let reason = "the platform's store gives no answer; nothing was written".to_string();
    EditResponse::new(ResultCode::StoreAway, 0, reason)
}
