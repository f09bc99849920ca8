//! Replays load patterns with the placer and with baseline policies, on the same arrivals. Orders
//! are the requests that are not idempotent.

use pomeloreach_standins::replay::{AccountResults, Pattern, Policy, Results, patterns, replay};

const SEED: u64 = 7;

fn find_pattern(name: &str) -> Pattern {
    patterns().into_iter().find(|pattern| pattern.name == name).expect("the pattern exists")
}

/// The results of the pattern with this name.
fn results_of(name: &str, policy: Policy) -> Results {
    replay(&find_pattern(name), policy, SEED)
}

/// The responses under the placer have a higher total value than under any baseline policy.
#[yare::parameterized(
    steady = { "steady" },
    burst = { "burst" },
    zone_burst = { "zone-burst" },
    slow_third = { "slow-third" },
    failing_third = { "failing-third" },
    lost_third = { "lost-third" },
    herd = { "herd" },
    overload = { "overload" },
    impatient = { "impatient" },
)]
fn placer_compared_with_baselines(name: &str) {
    let placer = results_of(name, Policy::Placer).value_share();
    for policy in [Policy::Random, Policy::RoundRobin, Policy::LeastLoaded, Policy::NoGuard] {
        let baseline = results_of(name, policy).value_share();
        assert!(placer > baseline, "{name}: placer {placer:.3}, {policy} {baseline:.3}");
    }
}

/// More requests are in time if a target's daemon refuses those that are better served by another
/// target. Load reports are always old, so the placer alone cannot know the present queue.
#[yare::parameterized(
    burst = { "burst" },
    zone_burst = { "zone-burst" },
    slow_third = { "slow-third" },
    failing_third = { "failing-third" },
    lost_third = { "lost-third" },
)]
fn placer_compared_without_refusals(name: &str) {
    let with = results_of(name, Policy::Placer);
    let without = results_of(name, Policy::PlacerWithoutBounce);
    assert!(
        with.in_time > without.in_time,
        "in time: {} with refusals, {} without",
        with.in_time,
        without.in_time
    );
}

/// At a steady load below the capacity nearly all requests are in time and stay in their region.
#[test]
fn steady_load_in_time() {
    let results = results_of("steady", Policy::Placer);
    assert!(results.in_time_share() > 0.98, "{}", results.in_time_share());
    assert_eq!(results.refused, 0);
    assert!(results.cross_region * 100 < results.requests, "{} cross-region", results.cross_region);
}

/// At 1.3 times the capacity at most 77 of 100 requests can run. Nearly as many are in time, since
/// requests that would miss their latency goal are overtaken by the others.
#[test]
fn overload_in_time() {
    let results = results_of("overload", Policy::Placer);
    assert!(results.in_time_share() > 0.77 * 0.85, "{}", results.in_time_share());
}

/// Orders have the better rank and are in time under any overload.
#[yare::parameterized(
    burst = { "burst" },
    herd = { "herd" },
    overload = { "overload" },
    impatient = { "impatient" },
)]
fn orders_in_time(name: &str) {
    let results = results_of(name, Policy::Placer);
    assert!(results.rank_in_time_share(1) > 0.98, "{}", results.rank_in_time_share(1));
}

/// The results of all accounts but the one that surges.
fn other_accounts(results: &Results) -> AccountResults {
    results.by_account[1..].iter().copied().sum()
}

/// The other accounts want 0.60 of the capacity, so there is room for them beside any surge. Guards
/// against a surge that takes the room of other accounts, as it does in the order of arrival.
#[test]
fn surge_leaves_others_in_time() {
    let fair = other_accounts(&results_of("account-surge", Policy::Placer));
    let arrival_order = other_accounts(&results_of("account-surge", Policy::ArrivalOrder));
    assert!(fair.in_time_share() > 0.95, "{}", fair.in_time_share());
    assert!(arrival_order.in_time_share() < 0.5, "{}", arrival_order.in_time_share());
}

/// With two ranks, the orders of the account that surges run before the lookups of the others, and
/// the fair order only divides the rest.
#[test]
fn surge_with_ranks_serves_others_more() {
    let fair = other_accounts(&results_of("account-surge-ranks", Policy::Placer)).served_share();
    let arrival_order =
        other_accounts(&results_of("account-surge-ranks", Policy::ArrivalOrder)).served_share();
    assert!(fair > 1.25 * arrival_order, "{fair} in fair order, {arrival_order} without");
}

/// Guards against an account that is served less than a quarter as often as all together, which the
/// page on accounts excludes. This also holds for the one that surges.
#[yare::parameterized(
    one_rank = { "account-surge" },
    two_ranks = { "account-surge-ranks" },
)]
fn every_account_is_served(name: &str) {
    let results = results_of(name, Policy::Placer);
    let all: AccountResults = results.by_account.iter().copied().sum();
    for (account, own) in results.by_account.iter().enumerate() {
        let (own, all) = (own.served_share(), all.served_share());
        assert!(own >= all / 4.0, "account {}: {own}, all {all}", account + 1);
    }
}
