//! Publishes operators' edits: one object per version, created only if it is absent.
//!
//! Every way an answer can be lost ends in the truth or in "unknown": an edit keeps its id, the
//! position it was written to can be won only once, and the log remembers ids. The steps and the
//! ways that were weighed are in `docs/CONFIGURATION.md`.

use crate::api::EditAnswer;
use crate::code::ResultCode;
use crate::config::{Config, Refusal};
use crate::edit::{Edit, EditRequest};
use crate::store::{
    COMPACTED_KEY, EDITS_PREFIX, StoreFailure, StoreOp, StoreReply, StoredObject, edit_key,
};
use std::collections::VecDeque;
use std::sync::Arc;

/// How long a publication may take before its answer is given as it stands, in milliseconds.
pub const PUBLISH_TIMEOUT_MS: u64 = 10_000;
/// Publications that may wait for the one under way.
const WAITING_MAX: usize = 64;
/// The pause before the store is asked again after a failure, in milliseconds.
const RETRY_PAUSE_MS: u64 = 250;
/// Edits in one list.
const LIST_LIMIT: u32 = 64;

/// What a call to the store by this system was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishCall {
    ReadLog,
    Create,
    CheckCompacted,
}

/// Where a publication stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    /// Reading the log to its end.
    Reading,
    /// The edit can be written on top of the configuration held.
    Writing,
    /// The write was confirmed; what remains is whether its position was still open.
    Confirming { version: u64 },
}

#[derive(Clone, Debug)]
struct Publication {
    ticket: u64,
    request: EditRequest,
    deadline_ms: u64,
    step: Step,
    call: Option<PublishCall>,
    retry_due_ms: u64,
    /// Whether a write has been sent whose fate is not known.
    write_sent: bool,
    written: Option<(u64, Arc<str>)>,
}

/// A publication that has come to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedPublication {
    pub ticket: u64,
    pub answer: EditAnswer,
}

/// The publications of this daemon, one after the other.
#[derive(Debug, Default)]
pub struct Publisher {
    queue: VecDeque<Publication>,
}

impl Publisher {
    /// Takes a request, unless the edit is in force already or too many wait.
    pub fn submit(
        &mut self,
        ticket: u64,
        request: EditRequest,
        held: &Config,
        now_ms: u64,
    ) -> Option<FinishedPublication> {
        if let Some(version) = held.version_of_edit(&request.edit_id) {
            return Some(FinishedPublication { ticket, answer: accepted(version) });
        }
        if self.queue.len() >= WAITING_MAX {
            let reason = format!("{WAITING_MAX} edits wait at this daemon already");
            let answer = EditAnswer::new(ResultCode::PublisherBusy, 0, reason);
            return Some(FinishedPublication { ticket, answer });
        }
        self.queue.push_back(Publication {
            ticket,
            request,
            deadline_ms: now_ms + PUBLISH_TIMEOUT_MS,
            step: Step::Reading,
            call: None,
            retry_due_ms: now_ms,
            write_sent: false,
            written: None,
        });
        None
    }

    /// Whether the log is being read or written by this daemon for an operator.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Decides the next call, or ends the publication that is first in the queue.
    pub fn tick(
        &mut self,
        now_ms: u64,
        held: &Config,
    ) -> (Vec<(PublishCall, StoreOp)>, Vec<FinishedPublication>) {
        let mut finished = self.expire(now_ms, held);
        let mut calls = Vec::new();
        while let Some(front) = self.queue.front_mut() {
            if front.call.is_some() || now_ms < front.retry_due_ms {
                break;
            }
            match next_step(front, held) {
                NextStep::Call(call, op) => {
                    front.call = Some(call);
                    calls.push((call, op));
                    break;
                }
                NextStep::Finish(answer) => {
                    finished.push(FinishedPublication { ticket: front.ticket, answer });
                    self.queue.pop_front();
                }
            }
        }
        (calls, finished)
    }

    /// A publication whose call is still out is kept from being overtaken by dropping it; its late
    /// answer is then ignored, since the calls of the next one carry other numbers.
    fn expire(&mut self, now_ms: u64, held: &Config) -> Vec<FinishedPublication> {
        let mut finished = Vec::new();
        self.queue.retain(|publication| {
            if now_ms < publication.deadline_ms {
                return true;
            }
            let answer = expired_answer(publication, held);
            finished.push(FinishedPublication { ticket: publication.ticket, answer });
            false
        });
        finished
    }

    /// Takes in the store's answer. Objects of the log are returned for the daemon to take in
    /// before the next tick.
    pub fn handle_reply(
        &mut self,
        ticket: u64,
        call: PublishCall,
        result: Result<StoreReply, StoreFailure>,
        held: &Config,
        now_ms: u64,
    ) -> Vec<StoredObject> {
        let Some(front) = self.queue.front_mut() else { return Vec::new() };
        if front.ticket != ticket || front.call != Some(call) {
            return Vec::new();
        }
        front.call = None;
        match (call, result) {
            (PublishCall::ReadLog, Ok(StoreReply::Listed { objects, .. })) => {
                if objects.len() < LIST_LIMIT as usize {
                    front.step = Step::Writing;
                }
                objects
            }
            (PublishCall::Create, Ok(StoreReply::Written { .. })) => {
                let Some((version, value)) = front.written.clone() else { return Vec::new() };
                front.step = Step::Confirming { version };
                vec![StoredObject { key: edit_key(version), object_version: 0, value }]
                    .into_iter()
                    .filter(|_| version == held.version + 1)
                    .collect()
            }
            (PublishCall::Create, Ok(StoreReply::Conflict)) => {
                front.step = Step::Reading;
                Vec::new()
            }
            (PublishCall::CheckCompacted, Ok(reply)) => {
                confirm(front, &reply, held);
                Vec::new()
            }
            (_, Ok(_) | Err(_)) => {
                front.step = match front.step {
                    Step::Confirming { version } => Step::Confirming { version },
                    Step::Reading | Step::Writing => Step::Reading,
                };
                front.retry_due_ms = now_ms + RETRY_PAUSE_MS;
                Vec::new()
            }
        }
    }

    /// The ticket that calls of this system belong to.
    pub fn current_ticket(&self) -> Option<u64> {
        self.queue.front().map(|publication| publication.ticket)
    }
}

enum NextStep {
    Call(PublishCall, StoreOp),
    Finish(EditAnswer),
}

fn next_step(publication: &mut Publication, held: &Config) -> NextStep {
    match publication.step {
        Step::Reading => {
            let start_after = Some(edit_key(held.version));
            let prefix = EDITS_PREFIX.into();
            NextStep::Call(
                PublishCall::ReadLog,
                StoreOp::List { prefix, start_after, limit: LIST_LIMIT },
            )
        }
        Step::Writing => write_step(publication, held),
        Step::Confirming { .. } => {
            NextStep::Call(PublishCall::CheckCompacted, StoreOp::Get { key: COMPACTED_KEY.into() })
        }
    }
}

/// Finds the edit in the log, refuses it, or writes it to the position after the version held.
fn write_step(publication: &mut Publication, held: &Config) -> NextStep {
    if let Some(version) = held.version_of_edit(&publication.request.edit_id) {
        return NextStep::Finish(accepted(version));
    }
    if publication.request.changes.is_empty() {
        let reason = "the edit changes no row".to_string();
        return NextStep::Finish(EditAnswer::new(ResultCode::EditUnchanged, held.version, reason));
    }
    match Edit::build(held, &publication.request) {
        Err(refusal) => NextStep::Finish(refused(&refusal, held.version)),
        Ok((edit, raw)) => {
            let value: Arc<str> = String::from_utf8(raw).expect("JSON is UTF-8").into();
            publication.write_sent = true;
            publication.written = Some((edit.version, value.clone()));
            let key = edit_key(edit.version);
            NextStep::Call(PublishCall::Create, StoreOp::Put { key, value, expected_version: 0 })
        }
    }
}

/// A write can succeed at a position that was collected long ago, when the writer was paused for
/// that long. Nobody reads it there, so it does not count and the edit is written again.
fn confirm(publication: &mut Publication, reply: &StoreReply, held: &Config) {
    let Step::Confirming { version } = publication.step else { return };
    let collected = match reply {
        StoreReply::Object(object) => object.value.parse().unwrap_or(0),
        _ => 0,
    };
    let in_force = held.version_of_edit(&publication.request.edit_id).is_some();
    if collected < version || in_force {
        // The next step finds the id in the log that is held.
        publication.step = Step::Writing;
        return;
    }
    publication.step = Step::Reading;
}

fn accepted(version: u64) -> EditAnswer {
    EditAnswer::new(ResultCode::EditAccepted, version, format!("in force as version {version}"))
}

fn refused(refusal: &Refusal, held_version: u64) -> EditAnswer {
    let code = match refusal.code {
        ResultCode::VersionRowChanged => ResultCode::EditConflict,
        other => other,
    };
    EditAnswer::new(code, held_version, refusal.reason.clone())
}

fn expired_answer(publication: &Publication, held: &Config) -> EditAnswer {
    if let Some(version) = held.version_of_edit(&publication.request.edit_id) {
        return accepted(version);
    }
    if publication.write_sent || publication.request.asked_before {
        let reason = "the platform's store did not say whether it took the edit; \
                      ask again with the same edit id"
            .to_string();
        return EditAnswer::new(ResultCode::EditUnknown, 0, reason);
    }
    let reason = "the platform's store gives no answer; nothing was written".to_string();
    EditAnswer::new(ResultCode::StoreAway, 0, reason)
}
