//! Quotas between two daemons, message by message: what each delay and each loss may change.

use pomeloreach_core::account::QuotaLimit;
use pomeloreach_core::mesh::quota::{
    AccountRate, CREDIT_LIFE_MS, Credit, DELEGATION_MS, LOAN_MS, LoanGrant, LoanRequest, QuotaNode,
    QuotaTerms, START_MS, Take,
};
use std::collections::BTreeMap;
use std::sync::Arc;

const ACCOUNT: &str = "account";
/// The capacity of all buckets together is the burst and half of the slack.
const CAPACITY: f64 = 110.0;
/// The start of the keeper's process.
const KEEPER_START: u64 = 7;

fn name(name: &str) -> Arc<str> {
    name.into()
}

fn limits(rate_per_s: u64) -> BTreeMap<Arc<str>, QuotaLimit> {
    let limit = QuotaLimit { rate_milli_per_s: rate_per_s * 1_000, burst_milli: 100_000 };
    BTreeMap::from([(name(ACCOUNT), limit)])
}

/// One of two daemons, which started at time 0 of its clock.
fn node(rate_per_s: u64) -> QuotaNode {
    let mut node = QuotaNode::new(QuotaTerms::default(), 0);
    node.set_daemons(2, 0);
    node.set_limits(limits(rate_per_s), QuotaTerms::default(), 0);
    node
}

/// A daemon that draws from the keeper `keeper`.
fn member(rate_per_s: u64) -> QuotaNode {
    let mut node = node(rate_per_s);
    node.set_keeper(Some((&name("keeper"), KEEPER_START)));
    node
}

/// Takes all credit that a daemon has.
fn drain(node: &mut QuotaNode, now_ms: u64) -> usize {
    (0..10_000).take_while(|_| matches!(node.try_take(ACCOUNT, now_ms), Take::Taken(_))).count()
}

/// Exchanges one request for credit and its grant without delay. `member_ms` and `keeper_ms` are the
/// times of the two clocks.
fn exchange(member: &mut QuotaNode, keeper: &mut QuotaNode, member_ms: u64, keeper_ms: u64) {
    let (_, request) = member.credit_request(member_ms).expect("a request is due");
    let grant = keeper.handle_credit_request(&name("member"), &request, keeper_ms);
    member.handle_credit_grant("keeper", &grant, member_ms);
}

/// A daemon starts with credit, or before the others count it.
#[test]
fn starts_empty() {
    let mut node = node(100);
    assert_eq!(drain(&mut node, START_MS), 0);
    assert_eq!(drain(&mut node, START_MS + 1_000), 50);
}

/// A daemon that was paused runs requests on credit from before the pause.
#[test]
fn credit_lapses() {
    let (mut member, mut keeper) = (member(1), node(1_000));
    for wait in [CREDIT_LIFE_MS - 1, CREDIT_LIFE_MS] {
        let sent_ms = 11_000 + wait * 100;
        drain(&mut member, sent_ms);
        (0..5).for_each(|_| member.add_waiting(&name(ACCOUNT)));
        exchange(&mut member, &mut keeper, sent_ms, sent_ms);
        (0..5).for_each(|_| member.remove_waiting(ACCOUNT));
        let expected = if wait < CREDIT_LIFE_MS { 5 } else { 0 };
        assert_eq!(drain(&mut member, sent_ms + wait), expected);
    }
}

/// A delegation that arrives late ends late, when its owner uses the share again.
#[test]
fn late_delegation() {
    let (mut member, mut keeper) = (member(1_000), node(1_000));
    exchange(&mut member, &mut keeper, 10_000, 90_000);
    // The keeper's clock is 80,000 ms ahead. This request arrives 800 ms later.
    let (_, request) = member.credit_request(10_300).unwrap();
    assert_eq!(request.delegated_ms, Some(90_000));
    keeper.handle_credit_request(&name("member"), &request, 91_100);
    assert_eq!(drain(&mut member, 10_000 + DELEGATION_MS - 1), 0, "used while delegated");
    assert_eq!(drain(&mut member, 10_000 + DELEGATION_MS + 500), CAPACITY as usize / 2);
    let at_keeper = drain(&mut keeper, 90_000 + DELEGATION_MS + 500);
    assert_eq!(at_keeper, CAPACITY as usize / 2, "the keeper still uses the share");
}

/// After the keeper has changed, the share is given to the new one while the old one uses it.
#[test]
fn delegated_to_one_keeper() {
    let (mut member, mut keeper) = (member(1_000), node(1_000));
    exchange(&mut member, &mut keeper, 10_000, 10_000);
    exchange(&mut member, &mut keeper, 10_500, 10_500);
    member.set_keeper(Some((&name("next"), KEEPER_START)));
    for (sent_ms, expected) in [(10_600, None), (10_900, None), (11_700, Some(12_000))] {
        let (_, request) = member.credit_request(sent_ms).unwrap();
        assert_eq!(request.delegated_ms, expected, "at {sent_ms}");
        let mut next = node(1_000);
        let grant = next.handle_credit_request(&name("member"), &request, 12_000);
        member.handle_credit_grant("next", &grant, sent_ms);
    }
}

fn loan_request(sent_ms: u64, per_s: u64) -> LoanRequest {
    let rates = vec![AccountRate { account: name(ACCOUNT), milli_per_s: per_s * 1_000 }];
    LoanRequest { sent_ms, daemons: 2, rates }
}

fn lent_per_s(grant: &LoanGrant) -> u64 {
    grant.rates.iter().map(|rate| rate.milli_per_s / 1_000).sum()
}

/// A loan that arrives late is used after the lender has taken its rate back.
#[test]
fn late_loan() {
    let (mut lender, mut borrower) = (node(100), node(100));
    drain(&mut borrower, 10_000);
    let grant = lender.handle_loan_request(&name("b"), &loan_request(10_000, 40), 70_000);
    assert_eq!(lent_per_s(&grant), 40);
    borrower.handle_loan_grant(&name("l"), &grant, 10_400);
    // Half a second of the own 50 a second, and 100 ms of the loan.
    drain(&mut borrower, 10_400);
    assert_eq!(drain(&mut borrower, 10_900), 29);
}

/// The lender uses the rate that it has lent, or takes a larger loan back when it makes a smaller one,
/// which the borrower may not receive.
#[test]
fn lender_uses_the_rest() {
    let mut lender = node(100);
    drain(&mut lender, 10_000);
    assert_eq!(
        lent_per_s(&lender.handle_loan_request(&name("b"), &loan_request(1, 40), 10_000)),
        40
    );
    lender.handle_loan_request(&name("b"), &loan_request(2, 5), 10_010);
    let kept = drain(&mut lender, 10_000 + LOAN_MS);
    assert!((4..=5).contains(&kept), "{kept} of 25 although 20 are lent");
}

/// A share is lent that its owner resumes before the loan ends.
#[test]
fn delegated_share_is_lent_while_it_lasts() {
    let (mut member, mut keeper) = (member(100), node(100));
    exchange(&mut member, &mut keeper, 10_000, 10_000);
    exchange(&mut member, &mut keeper, 10_250, 10_250);
    let lasting = keeper.handle_loan_request(&name("b"), &loan_request(1, 500), 10_250);
    assert_eq!(lent_per_s(&lasting), 100);
    // The delegation ends at 11,000, and this loan at 11,001.
    let ending = keeper.handle_loan_request(&name("b"), &loan_request(2, 500), 10_501);
    assert_eq!(lent_per_s(&ending), 50);
}

/// A daemon that has lent a part of its share delegates all of it.
#[test]
fn lender_does_not_delegate() {
    let (mut member, mut keeper) = (member(100), node(100));
    exchange(&mut member, &mut keeper, 10_000, 10_000);
    member.handle_loan_request(&name("b"), &loan_request(1, 10), 10_100);
    let (_, request) = member.credit_request(10_300).unwrap();
    assert_eq!(request.delegated_ms, None);
    let (_, request) = member.credit_request(11_200).unwrap();
    assert_eq!(request.delegated_ms, Some(10_000));
}

/// A full bucket, or a borrowed rate, of the higher limit stays after the limit was lowered.
#[test]
fn lowered_limit() {
    let mut node = node(1_000);
    node.record_arrival(&name(ACCOUNT), 10_000);
    let rates = vec![AccountRate { account: name(ACCOUNT), milli_per_s: 400_000 }];
    let grant = LoanGrant { request_sent_ms: 10_000, daemons: 2, rates };
    node.handle_loan_grant(&name("l"), &grant, 10_000);
    let mut lower = limits(10);
    lower.get_mut(ACCOUNT).unwrap().burst_milli = 0;
    node.set_limits(lower, QuotaTerms::default(), 10_001);
    assert_eq!(drain(&mut node, 10_001), 5, "half of the slack of two daemons");
    assert_eq!(drain(&mut node, 10_901), 4);
}

/// Credit of a request that did not run is lost at once, or returned so late that it adds to the use
/// of another window.
#[test]
fn returned_credit() {
    let mut node = node(1);
    let Take::Taken(credit) = node.try_take(ACCOUNT, 300_000) else { panic!("a full bucket") };
    drain(&mut node, 300_000);
    node.give_back(&name(ACCOUNT), credit, 300_000 + CREDIT_LIFE_MS + 1);
    assert_eq!(drain(&mut node, 300_300), 0);
    node.give_back(&name(ACCOUNT), Credit::Own { taken_ms: 300_300 }, 300_400);
    assert_eq!(drain(&mut node, 300_400), 1);
}

/// The same for credit of the keeper, which goes back to the keeper that granted it only.
#[test]
fn credit_returned_to_the_keeper() {
    let (mut member, mut keeper) = (member(1), node(1));
    member.add_waiting(&name(ACCOUNT));
    exchange(&mut member, &mut keeper, 300_000, 900_000);
    member.remove_waiting(ACCOUNT);
    let Take::Taken(credit) = member.try_take(ACCOUNT, 300_000) else { panic!("granted") };
    drain(&mut keeper, 900_000);
    member.give_back(&name(ACCOUNT), credit, 300_050);
    exchange(&mut member, &mut keeper, 300_050, 900_050);
    assert_eq!(drain(&mut keeper, 900_060), 1);
    member.set_keeper(Some((&name("keeper"), KEEPER_START + 1)));
    member.give_back(&name(ACCOUNT), credit, 300_060);
    let (_, request) = member.credit_request(300_060).unwrap();
    assert!(request.returned.is_empty());
}

/// An idle daemon asks for credit although nobody waits, or a busy one asks for each request.
#[test]
fn requests_are_few() {
    let (mut member, mut keeper) = (member(10_000), node(10_000));
    let mut idle = 0;
    for now_ms in (10_000..20_000).step_by(5) {
        if let Some((_, request)) = member.credit_request(now_ms) {
            idle += 1;
            assert!(request.wanted.is_empty());
            let grant = keeper.handle_credit_request(&name("member"), &request, now_ms);
            member.handle_credit_grant("keeper", &grant, now_ms);
        }
    }
    assert_eq!(idle, 40, "one renewal each 250 ms");
    let mut requests = 0;
    for now_ms in (20_000..22_000).step_by(5) {
        member.record_arrival(&name(ACCOUNT), now_ms);
        let is_waiting = matches!(member.try_take(ACCOUNT, now_ms), Take::Empty { .. });
        if is_waiting {
            member.add_waiting(&name(ACCOUNT));
        }
        if let Some((_, request)) = member.credit_request(now_ms) {
            requests += 1;
            let grant = keeper.handle_credit_request(&name("member"), &request, now_ms);
            member.handle_credit_grant("keeper", &grant, now_ms);
        }
        if is_waiting {
            member.remove_waiting(ACCOUNT);
            member.try_take(ACCOUNT, now_ms);
        }
    }
    assert!(requests < 40, "{requests} requests for credit for 400 requests");
}

/// An account that a version removes and the next one adds again has a full bucket again.
#[test]
fn added_account_starts_empty() {
    let mut node = node(100);
    assert_eq!(drain(&mut node, 10_000), CAPACITY as usize / 2);
    node.set_limits(BTreeMap::new(), QuotaTerms::default(), 10_000);
    assert_eq!(node.try_take(ACCOUNT, 10_000), Take::Unlimited);
    node.set_limits(limits(100), QuotaTerms::default(), 10_000);
    assert_eq!(drain(&mut node, 10_000), 0);
}
