//! Replays load patterns with the placer and with baseline policies, on the same arrivals. Orders
//! are the requests that are not idempotent.

use pomeloreach_standins::replay::{Pattern, Policy, Results, patterns, replay};

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
