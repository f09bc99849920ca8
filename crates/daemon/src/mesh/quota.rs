//! The quotas of client accounts: the check at the origin, and the messages between daemons.
//!
//! The decisions are made in [`pomeloreach_core::mesh::quota`]. Nothing is sent and nothing runs
//! periodically while no account has a quota.

use super::Mesh;
use super::links::encode;
use super::response::refusal_response;
use crate::logging::{log_event, log_with};
use bytes::Bytes;
use event_listener::Event as Notify;
use futures_lite::future::or;
use http::Response;
use pomeloreach_core::account::QuotaLimit;
use pomeloreach_core::code::ResultCode;
use pomeloreach_core::event::Event;
use pomeloreach_core::mesh::message::LinkMessage;
use pomeloreach_core::mesh::quota::{
    CREDIT_WAIT_MS, Credit, CreditGrant, CreditRequest, LoanGrant, LoanMessage, LoanRequest,
    QuotaNode, QuotaTerms, Take,
};
use pomeloreach_core::mesh::retry_after::{self, RefusedRequest};
use pomeloreach_wire::clock::{boot_ms, sleep_ms};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// How often the keeper, the number of daemons and the loans are brought up to date, in
/// milliseconds.
const TICK_MS: u64 = 125;
/// How often a waiting request looks for credit, in milliseconds, if no grant arrives.
const WAIT_POLL_MS: u64 = 25;
/// The wait that is assumed if the keeper has not said when there will be credit, in milliseconds.
const UNKNOWN_WAIT_MS: u64 = 250;

/// The quotas of this daemon.
pub struct Quotas {
    node: RefCell<QuotaNode>,
    /// Notified when credit has arrived.
    credit_arrived: Notify,
    /// Notified when the limits have changed.
    limits_changed: Notify,
    /// Whether this daemon has known the other daemons since it started.
    knows_daemons: Cell<bool>,
}

impl Quotas {
    pub fn new(terms: QuotaTerms) -> Self {
        Self {
            node: RefCell::new(QuotaNode::new(terms, boot_ms())),
            credit_arrived: Notify::new(),
            limits_changed: Notify::new(),
            knows_daemons: Cell::new(false),
        }
    }

    /// Whether no account has a quota.
    pub fn is_idle(&self) -> bool {
        self.node.borrow().is_idle()
    }
}

/// Credit for one request. A permit that is dropped counts as used, because a request that was
/// cancelled may have run.
#[derive(Debug)]
pub struct QuotaPermit {
    account: Arc<str>,
    /// Absent if the account has no quota.
    credit: Option<Credit>,
}

impl QuotaPermit {
    /// Records whether the request reached a target, and returns its credit if it did not.
    pub fn finish(self, mesh: &Mesh, has_run: bool) {
        match self.credit {
            None => {}
            Some(_) if has_run => mesh.metrics.quota_used(&self.account),
            Some(credit) => {
                let mut node = mesh.quotas.node.borrow_mut();
                node.give_back(&self.account, credit, boot_ms());
            }
        }
    }

    /// Takes credit for a further attempt of the same request, without waiting for it.
    pub fn take_retry(&self, mesh: &Mesh) -> bool {
        let mut node = mesh.quotas.node.borrow_mut();
        self.credit.is_none()
            || !matches!(node.try_take(&self.account, boot_ms()), Take::Empty { .. })
    }
}

/// A request over the quota of its account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub account: Arc<str>,
    limit: Option<QuotaLimit>,
    /// The keeper that had no credit; absent if this daemon is the keeper or has none.
    keeper: Option<Arc<str>>,
    /// When credit is expected.
    pub wait_ms: u64,
}

impl Refusal {
    /// The refusal as log fields.
    fn detail(&self) -> String {
        let limit = self.limit.unwrap_or(QuotaLimit { rate_milli_per_s: 0, burst_milli: 0 });
        format!(
            "account={} rate_per_s={} burst={} keeper={} credit_wait_ms={}",
            self.account,
            limit.rate_milli_per_s as f64 / 1_000.0,
            limit.burst_milli as f64 / 1_000.0,
            self.keeper.as_deref().unwrap_or("self"),
            self.wait_ms
        )
    }
}

/// Takes credit for a request of an account. Waits for it for [`CREDIT_WAIT_MS`] at most.
pub async fn acquire(
    mesh: &Rc<Mesh>,
    account: &Arc<str>,
    left_ms: u64,
) -> Result<QuotaPermit, Refusal> {
    let node = &mesh.quotas.node;
    let started_ms = boot_ms();
    let end_ms = started_ms + CREDIT_WAIT_MS.min(left_ms);
    node.borrow_mut().record_arrival(account, started_ms);
    let mut waiting = None;
    loop {
        let credit_arrived = mesh.quotas.credit_arrived.listen();
        let now_ms = boot_ms();
        let take = node.borrow_mut().try_take(account, now_ms);
        let wait_ms = match take {
            Take::Unlimited => {
                return Ok(QuotaPermit { account: account.clone(), credit: None });
            }
            Take::Taken(credit) => {
                drop(waiting);
                send_credit_request(mesh);
                return Ok(QuotaPermit { account: account.clone(), credit: Some(credit) });
            }
            Take::Empty { wait_ms } => wait_ms,
        };
        if now_ms >= end_ms || wait_ms.is_some_and(|wait_ms| now_ms + wait_ms > end_ms) {
            mesh.metrics.quota_refused(account);
            let limit = node.borrow().limit(account);
            let keeper = node.borrow().keeper().cloned();
            let wait_ms = wait_ms.unwrap_or(UNKNOWN_WAIT_MS);
            return Err(Refusal { account: account.clone(), limit, keeper, wait_ms });
        }
        if waiting.is_none() {
            waiting = Some(WaitingRequest::new(mesh, account));
        }
        send_credit_request(mesh);
        let poll_ms = wait_ms.unwrap_or(WAIT_POLL_MS).clamp(1, WAIT_POLL_MS);
        or(credit_arrived, sleep_ms(poll_ms.min(end_ms - now_ms))).await;
    }
}

/// Counts a request as waiting for credit until it is dropped.
struct WaitingRequest {
    mesh: Rc<Mesh>,
    account: Arc<str>,
}

impl WaitingRequest {
    fn new(mesh: &Rc<Mesh>, account: &Arc<str>) -> Self {
        mesh.quotas.node.borrow_mut().add_waiting(account);
        Self { mesh: mesh.clone(), account: account.clone() }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        self.mesh.quotas.node.borrow_mut().remove_waiting(&self.account);
    }
}

/// Refuses a request over the quota. The caller is told when to repeat it.
pub fn refuse(
    mesh: &Mesh,
    request_id: &str,
    route: &str,
    refusal: &Refusal,
    (took_ms, left_ms): (u64, u64),
) -> Response<Bytes> {
    let code = ResultCode::QuotaExceeded;
    mesh.metrics.request_ended(code, took_ms);
    // At most half of the longest time, so that the random part still spreads the callers.
    let wait_ms = refusal.wait_ms.min(left_ms / 6);
    let refused = RefusedRequest { wait_ms, left_ms, rank: 0, random: mesh.random() };
    let retry_after_ms = retry_after::retry_after_ms(refused);
    log_with(Event::RequestFailed, || {
        format!(
            "request={request_id} route={route} version={} code={code} took_ms={took_ms} \
             left_ms={left_ms} retry_after_ms={retry_after_ms} {}",
            mesh.config.version(),
            refusal.detail()
        )
    });
    refusal_response(request_id, code, retry_after_ms)
}

/// Applies the limits of the version in force and the terms of the settings.
pub fn apply_limits(mesh: &Mesh) {
    let settings = mesh.mesh_settings.borrow().clone();
    let limits = mesh.config.quota_limits();
    let (was_idle, count) = (mesh.quotas.is_idle(), limits.len());
    mesh.quotas.node.borrow_mut().set_limits(limits, settings.quota_terms(), boot_ms());
    if was_idle && count > 0 {
        log_event(Event::QuotasInForce, &format!("accounts={count}"));
        update_keeper(mesh);
    }
    mesh.peers.borrow_mut().set_has_quotas(count > 0);
    mesh.quotas.limits_changed.notify(usize::MAX);
}

/// Keeps the quotas up to date while an account has one.
pub async fn run(mesh: Rc<Mesh>) {
    loop {
        let limits_changed = mesh.quotas.limits_changed.listen();
        if mesh.quotas.is_idle() {
            limits_changed.await;
            continue;
        }
        update_keeper(&mesh);
        send_credit_request(&mesh);
        request_loans(&mesh);
        or(limits_changed, sleep_ms(TICK_MS)).await;
    }
}

/// Brings the keeper of the zone and the number of daemons up to date.
fn update_keeper(mesh: &Mesh) {
    let now_ms = boot_ms();
    let peers = mesh.peers.borrow();
    let mut node = mesh.quotas.node.borrow_mut();
    let knows_daemons = mesh.has_listed_daemons.get() || peers.linked().next().is_some();
    if knows_daemons {
        mesh.quotas.knows_daemons.set(true);
    } else if !mesh.quotas.knows_daemons.get() {
        node.postpone_own_share(now_ms);
    }
    node.set_daemons(u32::try_from(peers.daemon_count()).unwrap_or(u32::MAX), now_ms);
    let previous = node.keeper().cloned();
    let keeper = peers.zone_keeper();
    node.set_keeper(keeper.map(|record| (&record.name, record.start_id)));
    if keeper.map(|record| &record.name) != previous.as_ref() {
        let keeper = keeper.map_or("self", |record| &*record.name);
        log_event(Event::QuotaKeeperChanged, &format!("keeper={keeper}"));
    }
}

fn send_credit_request(mesh: &Mesh) {
    let request = mesh.quotas.node.borrow_mut().credit_request(boot_ms());
    if let Some((keeper, request)) = request {
        mesh.links.send(&keeper, &LinkMessage::CreditRequest(request));
    }
}

fn request_loans(mesh: &Mesh) {
    let lenders = mesh.peers.borrow().quota_lenders();
    let requests = mesh.quotas.node.borrow_mut().loan_requests(&lenders, boot_ms());
    for (lender, request) in requests {
        mesh.links.send(&lender, &LinkMessage::Loan(LoanMessage::Request(request)));
    }
}

/// Grants credit to a peer of the zone.
pub fn serve_credit_request(mesh: &Mesh, peer: &Arc<str>, request: &CreditRequest) -> Bytes {
    let mut node = mesh.quotas.node.borrow_mut();
    encode(&LinkMessage::CreditGrant(node.handle_credit_request(peer, request, boot_ms())))
}

/// Lends to the keeper of another zone.
pub fn serve_loan_request(mesh: &Mesh, peer: &Arc<str>, request: &LoanRequest) -> Option<Bytes> {
    let grant = mesh.quotas.node.borrow_mut().handle_loan_request(peer, request, boot_ms());
    let is_empty = grant.rates.is_empty();
    (!is_empty).then(|| encode(&LinkMessage::Loan(LoanMessage::Grant(grant))))
}

pub fn handle_credit_grant(mesh: &Mesh, peer: &str, grant: &CreditGrant) {
    mesh.quotas.node.borrow_mut().handle_credit_grant(peer, grant, boot_ms());
    mesh.quotas.credit_arrived.notify(usize::MAX);
}

pub fn handle_loan_grant(mesh: &Mesh, peer: &Arc<str>, grant: &LoanGrant) {
    mesh.quotas.node.borrow_mut().handle_loan_grant(peer, grant, boot_ms());
    mesh.quotas.credit_arrived.notify(usize::MAX);
}
