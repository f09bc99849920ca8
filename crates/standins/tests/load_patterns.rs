//! Every load pattern, with each decision on and off, on the same arrivals.

use pomeloreach_standins::replay::{Pattern, Policy, Results, patterns, replay};

const SEED: u64 = 7;

fn pattern(name: &str) -> Pattern {
    patterns().into_iter().find(|pattern| pattern.name == name).expect("the pattern exists")
}

fn played(name: &str, policy: Policy) -> Results {
    replay(&pattern(name), policy, SEED)
}

/// The placer earns more for callers than every baseline.
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
fn placer_beats_baselines(name: &str) {
    let ours = played(name, Policy::Placer).value_share();
    for policy in [Policy::Random, Policy::RoundRobin, Policy::LeastLoaded, Policy::NoGuard] {
        let theirs = played(name, policy).value_share();
        assert!(ours > theirs, "{name}: {ours:.3}, and {policy} {theirs:.3}");
    }
}

/// A door that refuses what is better placed elsewhere earns more, since reports are always old.
#[yare::parameterized(
    burst = { "burst" },
    zone_burst = { "zone-burst" },
    slow_third = { "slow-third" },
    failing_third = { "failing-third" },
    lost_third = { "lost-third" },
)]
fn bounce_finds_room(name: &str) {
    let with = played(name, Policy::Placer);
    let without = played(name, Policy::PlacerWithoutBounce);
    assert!(with.in_time > without.in_time, "{} and {}", with.in_time, without.in_time);
}

/// At a steady load below capacity nearly everything is in time and stays in its region.
#[test]
fn steady_is_in_time() {
    let results = played("steady", Policy::Placer);
    assert!(results.in_time_share() > 0.98, "{}", results.in_time_share());
    assert_eq!(results.refused, 0);
    assert!(results.cross_region * 100 < results.requests, "{} sent far", results.cross_region);
}

/// At 1.3 times the capacity at most 77 of 100 requests fit. Nearly as many are in time, since
/// those that wait too long let the others pass.
#[test]
fn overload_stays_useful() {
    let results = played("overload", Policy::Placer);
    assert!(results.in_time_share() > 0.77 * 0.85, "{}", results.in_time_share());
}

/// Orders are served first, whatever the overload.
#[yare::parameterized(
    burst = { "burst" },
    herd = { "herd" },
    overload = { "overload" },
    impatient = { "impatient" },
)]
fn orders_go_first(name: &str) {
    let results = played(name, Policy::Placer);
    assert!(results.rank_in_time_share(1) > 0.98, "{}", results.rank_in_time_share(1));
}
